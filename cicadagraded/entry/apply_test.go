package entry

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// BenchmarkApply is the work of one change of a leaf's registration, of a leaf
// that is new. The load: an index that is cut anew registers hundreds of leafs in
// a second, on VMs with a fifth of a core.
func BenchmarkApply(b *testing.B) {
	raw, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		b.Fatal(err)
	}
	settings, err := platform.DecodeSettings([]byte(strings.ReplaceAll(string(raw), "STORE", "127.0.0.1:9")))
	if err != nil {
		b.Fatal(err)
	}
	clock := tier.NewClock()
	e, err := New(settings, clock, eventlog.New(io.Discard, clock))
	if err != nil {
		b.Fatal(err)
	}
	i := 0
	for b.Loop() {
		i++
		key := fmt.Sprintf("%si-%d", platform.LeafsPrefix, i%1200)
		value := fmt.Sprintf(`{"service":"s%d","address":"10.0.%d.%d:80","zone":"depot-a","slots":2,"state":"ready",`+
			`"coldRemainingMs":0,"sequence":1,"born":%d}`, i%400, i%1200/250, i%250, i)
		e.apply(storer.NewValue(key, []byte(value), int64(i)), int64(i))
	}
}
