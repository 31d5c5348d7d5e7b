package prover_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"cicadagrade.example/tier"
)

// checkSearch compares the outcome of a search with the replies that servers sent and that
// reached the front.
func (cl *cluster) checkSearch(sr *search) {
	switch o := sr.outcome.(type) {
	case *tier.Answered:
		cl.counts["answered"]++
		if !o.Coverage().Complete() {
			cl.counts["partial"]++
		}
		cl.checkAnswer(sr, cl.applyNaiveMerge(sr, o))
	case *tier.Unknown:
		cl.counts["unknown"]++
		if s, c, ok := o.Partial(); ok {
			cl.checkCoverage(sr, s, c)
		}
	case *tier.Refused:
		cl.counts["refused"]++
	}
}

// applyNaiveMerge replaces an answer by that of a naive implementation, if the mutation says
// so.
func (cl *cluster) applyNaiveMerge(sr *search, a *tier.Answered) *tier.Answered {
	records, coverage := a.Records(), a.Coverage()
	if cl.mutation.coverAsked {
		covered := slices.Compact(slices.Sorted(slices.Values(sr.askedShards)))
		missing := slices.DeleteFunc(slices.Clone(coverage.Missing()), func(m tier.Miss) bool { return slices.Contains(covered, m.Shard()) })
		coverage = tier.NewCoverage(covered, missing)
	}
	if cl.mutation.keepDuplicates {
		records = nil
		for _, shard := range a.Coverage().Covered() {
			for _, served := range sr.servedRecords[a.Snapshot()][shard][:1] {
				records = append(records, served...)
			}
		}
	}
	return tier.NewAnswered(a.Snapshot(), coverage, records)
}

// checkAnswer checks that the records are those of the covered shards at the snapshot, for
// this search and without duplicate keys. If several shards returned a key, the value has to
// be that of the shard that holds the key according to the shard map.
func (cl *cluster) checkAnswer(sr *search, a *tier.Answered) {
	cl.checkCoverage(sr, a.Snapshot(), a.Coverage())
	merged := sr.expectedMerge[a.Snapshot()]
	set := cl.sets[a.Snapshot().Epoch()]
	got := map[string]bool{}
	for _, r := range a.Records() {
		if got[r.Key()] {
			cl.violationf("duplicate: %s has the key %s twice", sr.term, r.Key())
		}
		got[r.Key()] = true
		_, current := merged[set.ShardOf(r.Key()).ID()]
		if r != recordAt(r.Key(), a.Snapshot(), sr.term, current) {
			cl.violationf("record: %s at %s has %s = %q", sr.term, a.Snapshot(), r.Key(), r.Value())
		}
	}
	want := map[string]bool{}
	for _, recordsByKey := range merged {
		for k := range recordsByKey {
			want[k] = true
		}
	}
	if len(want) != len(got) {
		cl.violationf("complete: %s has %d keys, expected %d", sr.term, len(got), len(want))
	}
}

// checkCoverage checks that the covered shards are exactly those that were merged, and that
// every other shard of the shard map is missing with a reason.
func (cl *cluster) checkCoverage(sr *search, at tier.Snapshot, c tier.Coverage) {
	var got []string
	for _, id := range c.Covered() {
		got = append(got, id+"+")
	}
	for _, m := range c.Missing() {
		got = append(got, m.Shard()+"-")
		if m.Reason() == "" {
			cl.violationf("coverage: %s misses %s without a reason", sr.term, m.Shard())
		}
	}
	var want []string
	for _, h := range cl.sets[at.Epoch()].Shards() {
		if _, ok := sr.expectedMerge[at][h.ID()]; ok {
			want = append(want, h.ID()+"+")
		} else {
			want = append(want, h.ID()+"-")
		}
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		cl.violationf("coverage: %s at %s says %v, not %v", sr.term, at, got, want)
	}
}

// checkHistory makes the checks that need the whole history: that each request and VM came to
// an end, that bookings ran at most once, and that no VM went back to an older configuration.
func (cl *cluster) checkHistory() {
	for _, sr := range cl.searches {
		if _, ok := sr.outcome.(*tier.Refused); ok && sr.leafCalls > 0 {
			cl.violationf("refused: %s made %d leaf calls", sr.term, sr.leafCalls)
		}
		if sr.outcome == nil && !sr.vm.dead && sr.vm.incarnation == sr.incarnation {
			cl.violationf("ended: %s has no outcome", sr.term)
		}
	}
	for _, b := range cl.bookings {
		cl.checkBooking(b)
	}
	for _, v := range cl.vms {
		if !v.dead && !v.dispatcher.Idle() {
			cl.violationf("ended: %s is not idle", v.name)
		}
	}
	for vm, operations := range cl.configOperations {
		if !isMaxRegisterHistory(operations) {
			cl.violationf("config: %s went back to a lower revision", vm)
		}
	}
}

func (cl *cluster) checkBooking(b *booking) {
	if b.runs > 1 {
		cl.violationf("once: %s ran %d times", b.key, b.runs)
	}
	switch o := b.outcome.(type) {
	case *tier.Booked:
		cl.counts["booked"]++
		if o.Receipt() != b.key || b.runs == 0 {
			cl.violationf("receipt: %s got the receipt of %s after %d runs", b.key, o.Receipt(), b.runs)
		}
	case *tier.Refused:
		cl.counts["booking refused"]++
		if b.runs > 0 {
			cl.violationf("refused: %s ran", b.key)
		}
	}
}

// configOperation is an operation on the configuration of a VM: a document offered to it, or a
// search and the revision that it used. The times are logical timestamps.
type configOperation struct {
	offered   uint64
	used      uint64
	startedAt int64
	endedAt   int64
}

func (cl *cluster) nextTimestamp() int64 {
	cl.lastTimestamp++
	return cl.lastTimestamp
}

func (v *vm) recordConfigOperation(o configOperation) {
	o.endedAt = v.cluster.nextTimestamp()
	id := fmt.Sprintf("%s/%d", v.name, v.incarnation)
	v.cluster.configOperations[id] = append(v.cluster.configOperations[id], o)
}

// maxRegister is the sequential model of a VM's configuration: a register that adopts an
// offered revision if it is higher than the current one. A search reads the register.
var maxRegister = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		held, o := state.(uint64), input.(configOperation)
		if o.offered > 0 {
			return true, max(held, o.offered)
		}
		return o.used == held, held
	},
}

// isMaxRegisterHistory reports whether the operations are linearisable with respect to
// maxRegister.
func isMaxRegisterHistory(operations []configOperation) bool {
	var ops []porcupine.Operation
	for i, o := range operations {
		ops = append(ops, porcupine.Operation{ClientId: i, Input: o, Call: o.startedAt, Return: o.endedAt})
	}
	return porcupine.CheckOperationsTimeout(maxRegister, ops, 10*time.Second) == porcupine.Ok
}
