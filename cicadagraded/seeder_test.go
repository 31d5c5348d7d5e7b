package main

import (
	"slices"
	"testing"
)

func TestVMListSeedsLiveVMs(t *testing.T) {
	got, err := decodeVMList([]byte(`{"vms":[
		{"name":"a","address":"127.0.0.1:1","state":"live"},
		{"name":"b","address":"127.0.0.1:2","state":"leaving"},
		{"name":"c","address":"nowhere","state":"live"}]}`))
	if err != nil || !slices.Equal(got, []string{"127.0.0.1:1"}) {
		t.Errorf("got %v, %v", got, err)
	}
	if _, err := decodeVMList([]byte(`{"vms":`)); err == nil {
		t.Error("a truncated list is accepted")
	}
}

func FuzzDecodeVMList(f *testing.F) {
	f.Add([]byte(`{"vms":[{"name":"a","address":"127.0.0.1:1","state":"live"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		addresses, err := decodeVMList(b)
		for _, a := range addresses {
			if err != nil || !validAddress(a) {
				t.Errorf("address %q, %v", a, err)
			}
		}
	})
}
