// Package picker picks the VMs that own a shard set, by rendezvous hashing.
package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cicadagrade.example/tier"
)

// scorer scores VMs for one key in one data centre.
type scorer struct{ prefix xxhash.Digest }

func newScorer(key, dataCentre string) scorer {
	var s scorer
	s.prefix.Reset()
	write(&s.prefix, key)
	write(&s.prefix, dataCentre)
	return s
}

func write(d *xxhash.Digest, word string) {
	_, _ = d.WriteString(word)
	_, _ = d.Write([]byte{0})
}

func (s scorer) score(vm string) uint64 {
	d := s.prefix
	write(&d, vm)
	return d.Sum64()
}

// Score is the rendezvous weight of a VM for a key in a data centre.
func Score(key, dataCentre, vm string) uint64 { return newScorer(key, dataCentre).score(vm) }

type scored struct {
	vm    tier.VM
	score uint64
}

func before(a, b scored) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.vm.Name(), b.vm.Name())
}

// Owners lists the n VMs of a data centre that own a set, the highest score
// first. Only live members own; there are fewer owners than n when there are
// fewer live members. A member that joins or leaves moves only the sets that
// it takes or gives up.
func Owners(set, dataCentre string, members []tier.VM, n int) []tier.VM {
	s := newScorer(set, dataCentre)
	var best []scored
	for _, v := range members {
		if v.DataCentre() != dataCentre || v.State() != tier.VMLive {
			continue
		}
		one := scored{vm: v, score: s.score(v.Name())}
		at, _ := slices.BinarySearchFunc(best, one, before)
		if at < n {
			best = slices.Insert(best, at, one)
			best = best[:min(len(best), n)]
		}
	}
	out := make([]tier.VM, len(best))
	for i, b := range best {
		out[i] = b.vm
	}
	return out
}
