package entry

import (
	"testing"

	"cicadagrade.example/tier/storer"
)

// TestOddRegistrationsOfVMsAreSkipped guards against an entry of another writer that makes all VMs
// small beside it, so that none of them reads the store, or that has no address to call.
func TestOddRegistrationsOfVMsAreSkipped(t *testing.T) {
	const good = `{"address":"10.1.0.9:7380","data-centre":"a","region":"r","cores":0.4,"incarnation":7}`
	for raw, want := range map[string]bool{
		good: true,
		`{"address":"10.1.0.9:7380","data-centre":"a","region":"r","cores":0.4,"incarnation":7,"new":[1]}`: true,
		`{"address":"10.1.0.9:7380","data-centre":"a","region":"r","cores":1e300,"incarnation":7}`:         false,
		`{"address":"10.1.0.9:7380","data-centre":"a","region":"r","cores":0,"incarnation":7}`:             false,
		`{"address":"10.1.0.9:7380","data-centre":"a","region":"r","cores":-1,"incarnation":7}`:            false,
		`{"address":"10.1.0.9:99999","data-centre":"a","region":"r","cores":0.4,"incarnation":7}`:          false,
		`{"address":"10.1.0.9","data-centre":"a","region":"r","cores":0.4,"incarnation":7}`:                false,
		`{"address":":7380","data-centre":"a","region":"r","cores":0.4,"incarnation":7}`:                   false,
		`{"data-centre":"a","region":"r","cores":0.4,"incarnation":7}`:                                     false,
		`{}`: false, `[]`: false, `null`: false, ``: false,
	} {
		if _, err := decodeMember(storer.NewValue(vmsPrefix+"vm-1", []byte(raw), 1)); (err == nil) != want {
			t.Errorf("%s: error %v, readable expected %v", raw, err, want)
		}
	}
}
