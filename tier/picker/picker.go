// Package picker picks the VMs that own a shard set, by rendezvous hashing.
package picker

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"cicadagrade.example/tier"
)

// Score is the rendezvous weight of a VM for a key in a data centre.
func Score(key, dataCentre, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{key, dataCentre, vm} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Owners lists the n VMs of a data centre that own a set, the highest score
// first. Only live members own; there are fewer owners than n when there are
// fewer live members. A member that joins or leaves moves only the sets that
// it takes or gives up.
func Owners(set, dataCentre string, members []tier.VM, n int) []tier.VM {
	type scored struct {
		vm    tier.VM
		score uint64
	}
	var live []scored
	for _, v := range members {
		if v.DataCentre() == dataCentre && v.State() == tier.VMLive {
			live = append(live, scored{vm: v, score: Score(set, dataCentre, v.Name())})
		}
	}
	sort.Slice(live, func(i, j int) bool {
		if live[i].score != live[j].score {
			return live[i].score > live[j].score
		}
		return live[i].vm.Name() < live[j].vm.Name()
	})
	if len(live) > n {
		live = live[:max(n, 0)]
	}
	out := make([]tier.VM, len(live))
	for i, s := range live {
		out[i] = s.vm
	}
	return out
}
