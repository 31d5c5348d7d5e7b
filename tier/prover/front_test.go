package prover_test

import (
	"fmt"
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/dispatcher"
	"cicadagrade.example/tier/merger"
	"cicadagrade.example/tier/planner"
)

// query is one search with what its check needs to know.
type query struct {
	vm      *vm
	life    int
	term    string
	plan    *planner.Plan
	tickAt  tier.Millis
	outcome tier.Outcome
	use     use
	calls   int                                                 // leaf calls started for it
	open    map[uint64]bool                                     // parts that wait for their first reply
	served  map[tier.Snapshot]map[string][][]tier.Record        // whole replies that servers sent
	merged  map[tier.Snapshot]map[string]map[string]tier.Record // those that reached the front in time
	asks    map[uint64]*ask
	asked   []string
}

func (q *query) serve(at tier.Snapshot, shard string, records []tier.Record) {
	if q.served[at] == nil {
		q.served[at] = map[string][][]tier.Record{}
	}
	q.served[at][shard] = append(q.served[at][shard], slices.Clone(records))
}

var profiles = func() []*tier.Profile {
	var out []*tier.Profile
	for i, least := range []float64{1, 0.5, 0.3} {
		p, err := tier.NewProfile(fmt.Sprintf("p%d", i), tier.WithRank(tier.Ranks[i]), tier.WithMinCoverage(least), tier.WithQueueLimit(20))
		if err != nil {
			panic(err)
		}
		out = append(out, p)
	}
	return out
}()

// search starts a search on a VM.
func (v *vm) search(patience tier.Millis) {
	w := v.w
	q := &query{
		vm: v, life: v.life, term: fmt.Sprintf("t%d", len(w.queries)), open: map[uint64]bool{}, asks: map[uint64]*ask{},
		served: map[tier.Snapshot]map[string][][]tier.Record{}, merged: map[tier.Snapshot]map[string]map[string]tier.Record{},
	}
	q.use = use{seen: v.ref.Revision(), called: w.stamp()}
	w.queries = append(w.queries, q)
	q.plan = planner.New(w.now, v.dataCentre, profiles[w.random.IntN(3)], v.set, v, w.now+patience, planner.WithBudget(v.budget))
	q.step(&planner.Tick{})
	if w.chance(5) {
		v.deliver(v.life, w.upTo(patience), func() { q.step(&planner.CallerGone{}) })
	}
}

func (q *query) step(e planner.Event) {
	w := q.vm.w
	for _, a := range q.plan.Step(w.now, e) {
		switch a := a.(type) {
		case *planner.SendPart:
			q.open[a.Part()] = true
			q.asked = append(q.asked, a.Shards()...)
			k := &ask{query: q, send: a, answeredBy: map[*vm]bool{}, cancel: func() {}}
			q.asks[a.Part()] = k
			k.next()
		case *planner.CancelPart:
			q.open[a.Part()] = false
			q.asks[a.Part()].cancel()
		case *planner.Finish:
			q.outcome = a.Outcome()
			q.vm.note(q.use)
			w.checkQuery(q)
		}
	}
	next, ok := q.plan.Next()
	if !ok || q.tickAt > w.now && q.tickAt <= next {
		return
	}
	q.tickAt = max(next, w.now+1)
	at := q.tickAt
	q.vm.deliver(q.life, at-w.now, func() {
		if q.tickAt == at {
			q.tickAt = 0
			q.step(&planner.Tick{})
		}
	})
}

// replied notes what a reply brings whole, if its part still waits, and
// passes it to the plan.
func (q *query) replied(part uint64, at tier.Snapshot, results []merger.ShardResult, held []planner.HeldVersions, leafCalls int) {
	if q.outcome == nil && q.open[part] {
		q.open[part] = false
		for _, r := range results {
			for _, whole := range q.served[at][r.Shard()] {
				if r.Miss() == "" && r.Count() == len(r.Records()) && r.Digest() == tier.Digest(whole) && slices.Equal(r.Records(), whole) {
					q.merge(at, r.Shard(), whole)
				}
			}
		}
	}
	q.step(planner.NewPartReplied(part, at, results, held, leafCalls))
}

func (q *query) merge(at tier.Snapshot, shard string, whole []tier.Record) {
	if q.merged[at] == nil {
		q.merged[at] = map[string]map[string]tier.Record{}
	}
	q.merged[at][shard] = map[string]tier.Record{}
	for _, r := range whole {
		q.merged[at][shard][r.Key()] = r
	}
}

func (q *query) lost(part uint64, e planner.Event) {
	q.open[part] = false
	q.step(e)
}

// ask is one part on its way to the owners of a data centre, tried in turn.
type ask struct {
	query *query
	send  *planner.SendPart
	tried int
	lost  bool // an owner that had it died
	over  bool

	answeredBy map[*vm]bool
	cancel     func()
}

// back has the front learn something of the ask, once.
func (k *ask) back(after tier.Millis, do func()) {
	k.query.vm.deliver(k.query.life, after, func() {
		if !k.over {
			do()
		}
	})
}

func (k *ask) end(e planner.Event) {
	k.over = true
	k.query.lost(k.send.Part(), e)
}

// fail ends a part that may have run.
func (k *ask) fail(r tier.MissReason) {
	if k.query.vm.w.faults.refusing {
		k.end(planner.NewPartRefused(k.send.Part(), tier.RefuseUnreachable, 0))
		return
	}
	k.end(planner.NewPartFailed(k.send.Part(), r))
}

func (k *ask) next() {
	q, w, part := k.query, k.query.vm.w, k.send.Part()
	owners := q.vm.owners(k.send.DataCentre())
	switch {
	case k.tried < len(owners):
	case k.lost:
		k.back(0, func() { k.fail(tier.MissUnreachable) })
		return
	default:
		k.back(0, func() { k.end(planner.NewPartRefused(part, tier.RefuseUnreachable, 0)) })
		return
	}
	to := owners[k.tried]
	k.tried++
	if k.tried == 1 {
		k.back(k.send.Deadline()-w.now, func() { k.fail(tier.MissDeadline) })
	}
	if w.cuts[q.vm.dataCentre+to.dataCentre] && w.chance(50) {
		k.back(5, k.next) // no connection: not sent
		return
	}
	took, ok := w.way(q.vm.dataCentre, to.dataCentre)
	if ok {
		w.after(took, func() { k.reach(to) })
	}
}

// reach submits the part at its owner.
func (k *ask) reach(to *vm) {
	if to.dead {
		k.back(1, k.next)
		return
	}
	to.asks = append(to.asks, k)
	to.deliver(to.life, 0, func() {
		p := &part{query: k.query, snapshot: k.send.Snapshot()}
		p.end = func(end any, leafCalls int) { k.answered(to, end, leafCalls) }
		to.submit(p, profiles[0], k.send.Deadline(), k.send.Shards())
		number := p.number
		k.cancel = func() {
			to.deliver(to.life, to.w.upTo(20), func() { to.step(dispatcher.NewCancelled(number)) })
		}
	})
}

// answered brings an owner's end of the part back: it may be lost, repeated
// or damaged on the way, or name another snapshot.
func (k *ask) answered(from *vm, end any, leafCalls int) {
	q, w, part := k.query, from.w, k.send.Part()
	k.answeredBy[from] = true
	took, ok := w.way(from.dataCentre, q.vm.dataCentre)
	if !ok {
		return
	}
	if r, refused := end.(*dispatcher.PartRefused); refused {
		k.back(took, func() {
			if k.lost && !w.faults.refusing {
				k.fail(tier.MissRefused)
				return
			}
			k.end(planner.NewPartRefused(part, r.Reason(), r.RetryAfter()))
		})
		return
	}
	results := end.([]merger.ShardResult)
	if w.chance(3) {
		results = damage(results)
	}
	held := from.heldOf(results, k.send.Snapshot().Epoch())
	at := k.send.Snapshot()
	if w.chance(2) {
		at = tier.NewSnapshot(at.Epoch(), at.Version()+1)
	}
	deliver := func() {
		k.over = true
		if k.lost && !w.faults.refusing {
			leafCalls = max(leafCalls, 1)
		}
		q.replied(part, at, results, held, leafCalls)
	}
	q.vm.deliver(q.life, took, deliver)
	if w.chance(5) {
		q.vm.deliver(q.life, took+w.upTo(50), deliver)
	}
}

// damage cuts one result short or has it answer for another shard.
func damage(results []merger.ShardResult) []merger.ShardResult {
	out := slices.Clone(results)
	for i, r := range out {
		if n := len(r.Records()); n > 0 {
			out[i] = merger.NewReceivedResult(r.Shard(), r.Records()[:n-1], r.Count(), r.Digest())
			break
		}
	}
	return out
}

func (v *vm) heldOf(results []merger.ShardResult, e tier.Epoch) []planner.HeldVersions {
	var out []planner.HeldVersions
	for _, r := range results {
		if r.Miss() != "" {
			at, held := v.Versions(setName, v.dataCentre, r.Shard())
			out = append(out, planner.NewHeldVersions(r.Shard(), max(at, e), held))
		}
	}
	return out
}

// booking is one booking under its own claim.
type booking struct {
	vm      *vm
	key     string
	runs    int
	outcome tier.Outcome
}

// book sends a booking to its owner once.
func (v *vm) book(patience tier.Millis) {
	w := v.w
	b := &booking{vm: v, key: fmt.Sprintf("b%d", len(w.bookings))}
	w.bookings = append(w.bookings, b)
	to := v
	if l := v.owners(w.dataCentres[w.random.IntN(len(w.dataCentres))]); len(l) > 0 {
		to = l[0]
	}
	took, ok := w.way(v.dataCentre, to.dataCentre)
	if !ok {
		return
	}
	life, deadline, shard := v.life, w.now+patience, v.set.ShardOf(keys[w.random.IntN(len(keys))]).ID()
	w.after(took, func() {
		to.deliver(to.life, 0, func() {
			p := &part{booking: b}
			p.end = func(end any, _ int) {
				if back, ok := w.way(to.dataCentre, v.dataCentre); ok {
					v.deliver(life, back, func() { b.ended(end) })
				}
			}
			to.submit(p, profiles[0], deadline, []string{shard})
		})
	})
}

func (b *booking) ended(end any) {
	switch e := end.(type) {
	case string:
		b.outcome = tier.NewBooked(e, false)
	case *dispatcher.PartRefused:
		b.outcome = tier.NewRefused(e.Reason(), e.RetryAfter())
	default:
		b.outcome = tier.NewUnknown(tier.UnknownLostReply)
	}
}
