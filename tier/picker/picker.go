// Package picker chooses the VMs that own a shard set by rendezvous hashing.
package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cicadagrade.example/tier"
)

// scorer computes the scores of VMs for one key in one data centre. It keeps the hash
// state after the parts that all VMs share.
type scorer struct{ prefix xxhash.Digest }

func newScorer(key, dataCentre string) scorer {
	var s scorer
	s.prefix.Reset()
	writeWord(&s.prefix, key)
	writeWord(&s.prefix, dataCentre)
	return s
}

// writeWord adds a word and a terminator, so that adjacent words can't run together.
func writeWord(d *xxhash.Digest, word string) {
	_, _ = d.WriteString(word)
	_, _ = d.Write([]byte{0})
}

func (s scorer) score(vm string) uint64 {
	d := s.prefix
	writeWord(&d, vm)
	return d.Sum64()
}

// Score is the rendezvous hash of a VM for a key in a data centre; the VM with the
// highest score comes first.
func Score(key, dataCentre, vm string) uint64 { return newScorer(key, dataCentre).score(vm) }

type candidate struct {
	vm    tier.VM
	score uint64
}

// compareScores orders candidates by descending score, then by name.
func compareScores(a, b candidate) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.vm.Name(), b.vm.Name())
}

// Owners returns the n VMs of a data centre that own a set, by descending score. Only
// live members are owners; if there are fewer than n, all of them are. When a member joins
// or leaves, only the sets that it gains or loses change owners.
func Owners(set, dataCentre string, members []tier.VM, n int) []tier.VM {
	s := newScorer(set, dataCentre)
	var best []candidate
	for _, v := range members {
		if v.DataCentre() != dataCentre || v.State() != tier.VMLive {
			continue
		}
		c := candidate{vm: v, score: s.score(v.Name())}
		at, _ := slices.BinarySearchFunc(best, c, compareScores)
		if at < n {
			best = slices.Insert(best, at, c)
			best = best[:min(len(best), n)]
		}
	}
	out := make([]tier.VM, len(best))
	for i, b := range best {
		out[i] = b.vm
	}
	return out
}
