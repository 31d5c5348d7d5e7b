package prover_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"cicadagrade.example/tier"
)

// checkQuery compares an outcome with what was served and arrived.
func (w *world) checkQuery(q *query) {
	switch o := q.outcome.(type) {
	case *tier.Answered:
		w.counts["answered"]++
		if !o.Coverage().Complete() {
			w.counts["partial"]++
		}
		w.checkAnswer(q, w.tamper(q, o))
	case *tier.Unknown:
		w.counts["unknown"]++
		if s, c, ok := o.Partial(); ok {
			w.checkCoverage(q, s, c)
		}
	case *tier.Refused:
		w.counts["refused"]++
	}
}

// tamper stands for naive makers of answers.
func (w *world) tamper(q *query, a *tier.Answered) *tier.Answered {
	records, coverage := a.Records(), a.Coverage()
	if w.faults.asked {
		covered := slices.Compact(slices.Sorted(slices.Values(q.asked)))
		missing := slices.DeleteFunc(slices.Clone(coverage.Missing()), func(m tier.Miss) bool { return slices.Contains(covered, m.Shard()) })
		coverage = tier.NewCoverage(covered, missing)
	}
	if w.faults.doubled {
		records = nil
		for _, shard := range a.Coverage().Covered() {
			for _, whole := range q.served[a.Snapshot()][shard][:1] {
				records = append(records, whole...)
			}
		}
	}
	return tier.NewAnswered(a.Snapshot(), coverage, records)
}

// checkAnswer: the records are those of the covered shards at one snapshot,
// for this caller, each key once, and the map's owner of a key has the say.
func (w *world) checkAnswer(q *query, a *tier.Answered) {
	w.checkCoverage(q, a.Snapshot(), a.Coverage())
	merged := q.merged[a.Snapshot()]
	set := w.sets[a.Snapshot().Epoch()]
	got := map[string]bool{}
	for _, r := range a.Records() {
		if got[r.Key()] {
			w.objectf("doubled: %s holds %s twice", q.term, r.Key())
		}
		got[r.Key()] = true
		_, owned := merged[set.ShardOf(r.Key()).ID()]
		if r != record(r.Key(), a.Snapshot(), q.term, owned) {
			w.objectf("record: %s at %s holds %s = %q", q.term, a.Snapshot(), r.Key(), r.Value())
		}
	}
	want := map[string]bool{}
	for _, whole := range merged {
		for k := range whole {
			want[k] = true
		}
	}
	if len(want) != len(got) {
		w.objectf("whole: %s holds %d keys of %d", q.term, len(got), len(want))
	}
}

// checkCoverage: covered is what was merged, no more and no less, and every
// other shard of the map is missing with a reason.
func (w *world) checkCoverage(q *query, at tier.Snapshot, c tier.Coverage) {
	var told []string
	for _, id := range c.Covered() {
		told = append(told, id+"+")
	}
	for _, m := range c.Missing() {
		told = append(told, m.Shard()+"-")
		if m.Reason() == "" {
			w.objectf("coverage: %s misses %s without a reason", q.term, m.Shard())
		}
	}
	var want []string
	for _, h := range w.sets[at.Epoch()].Shards() {
		if _, ok := q.merged[at][h.ID()]; ok {
			want = append(want, h.ID()+"+")
		} else {
			want = append(want, h.ID()+"-")
		}
	}
	slices.Sort(told)
	slices.Sort(want)
	if !slices.Equal(told, want) {
		w.objectf("coverage: %s at %s says %v, not %v", q.term, at, told, want)
	}
}

// checkEnd looks at what only the whole history shows.
func (w *world) checkEnd() {
	for _, q := range w.queries {
		if _, ok := q.outcome.(*tier.Refused); ok && q.calls > 0 {
			w.objectf("refused: %s made %d leaf calls", q.term, q.calls)
		}
		if q.outcome == nil && !q.vm.dead && q.vm.life == q.life {
			w.objectf("ended: %s never did", q.term)
		}
	}
	for _, b := range w.bookings {
		w.checkBooking(b)
	}
	for _, v := range w.vms {
		if !v.dead && !v.core.Idle() {
			w.objectf("ended: %s is not idle", v.name)
		}
	}
	for vm, uses := range w.config {
		if !registers(uses) {
			w.objectf("config: %s used a lower revision", vm)
		}
	}
}

func (w *world) checkBooking(b *booking) {
	if b.runs > 1 {
		w.objectf("once: %s ran %d times", b.key, b.runs)
	}
	switch o := b.outcome.(type) {
	case *tier.Booked:
		w.counts["booked"]++
		if o.Receipt() != b.key || b.runs == 0 {
			w.objectf("receipt: %s got that of %s, %d runs", b.key, o.Receipt(), b.runs)
		}
	case *tier.Refused:
		w.counts["booking refused"]++
		if b.runs > 0 {
			w.objectf("refused: %s ran", b.key)
		}
	}
}

// use is an operation on the configuration of a VM: a document offered to it,
// or a search and the revision that it went by. The times are stamps.
type use struct {
	offered uint64
	seen    uint64
	called  int64
	ended   int64
}

func (w *world) stamp() int64 {
	w.stamps++
	return w.stamps
}

func (v *vm) note(u use) {
	u.ended = v.w.stamp()
	id := fmt.Sprintf("%s/%d", v.name, v.life)
	v.w.config[id] = append(v.w.config[id], u)
}

// highest is the model: a register that takes a revision if it is higher.
var highest = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		held, u := state.(uint64), input.(use)
		if u.offered > 0 {
			return true, max(held, u.offered)
		}
		return u.seen == held, held
	},
}

// registers reports whether the operations are those of such a register.
func registers(uses []use) bool {
	var ops []porcupine.Operation
	for i, u := range uses {
		ops = append(ops, porcupine.Operation{ClientId: i, Input: u, Call: u.called, Return: u.ended})
	}
	return porcupine.CheckOperationsTimeout(highest, ops, 10*time.Second) == porcupine.Ok
}
