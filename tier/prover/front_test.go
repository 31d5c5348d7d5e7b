package prover_test

import (
	"fmt"
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/dispatcher"
	"cicadagrade.example/tier/merger"
	"cicadagrade.example/tier/planner"
)

// search is a search with what is needed to check its answer.
type search struct {
	vm              *vm
	incarnation     int
	term            string
	plan            *planner.Plan
	tickAt          tier.Millis
	outcome         tier.Outcome
	configOperation configOperation
	leafCalls       int                                                 // leaf calls started for it
	waitingParts    map[uint64]bool                                     // parts without a reply so far
	servedRecords   map[tier.Snapshot]map[string][][]tier.Record        // intact replies that servers sent
	expectedMerge   map[tier.Snapshot]map[string]map[string]tier.Record // those that reached the front in time, by key
	partRequests    map[uint64]*partRequest
	askedShards     []string // in all parts, answered or not
}

func (sr *search) recordServed(at tier.Snapshot, shard string, records []tier.Record) {
	if sr.servedRecords[at] == nil {
		sr.servedRecords[at] = map[string][][]tier.Record{}
	}
	sr.servedRecords[at][shard] = append(sr.servedRecords[at][shard], slices.Clone(records))
}

var profiles = func() []*tier.Profile {
	var out []*tier.Profile
	for i, minCoverage := range []float64{1, 0.5, 0.3} {
		p, err := tier.NewProfile(fmt.Sprintf("p%d", i), tier.WithRank(tier.Ranks[i]), tier.WithMinCoverage(minCoverage), tier.WithQueueLimit(20))
		if err != nil {
			panic(err)
		}
		out = append(out, p)
	}
	return out
}()

// startSearch starts a search on a VM.
func (v *vm) startSearch(timeout tier.Millis) {
	cl := v.cluster
	sr := &search{
		vm: v, incarnation: v.incarnation, term: fmt.Sprintf("t%d", len(cl.searches)), waitingParts: map[uint64]bool{}, partRequests: map[uint64]*partRequest{},
		servedRecords: map[tier.Snapshot]map[string][][]tier.Record{}, expectedMerge: map[tier.Snapshot]map[string]map[string]tier.Record{},
	}
	sr.configOperation = configOperation{used: v.ref.Revision(), startedAt: cl.nextTimestamp()}
	cl.searches = append(cl.searches, sr)
	sr.plan = planner.New(cl.now, v.dataCentre, profiles[cl.rng.IntN(3)], v.set, v, cl.now+timeout, planner.WithBudget(v.budget))
	sr.step(&planner.Tick{})
	if cl.withProbability(5) {
		v.scheduleOn(v.incarnation, cl.upTo(timeout), func() { sr.step(&planner.CallerGone{}) })
	}
}

func (sr *search) step(e planner.Event) {
	cl := sr.vm.cluster
	for _, a := range sr.plan.Step(cl.now, e) {
		switch a := a.(type) {
		case *planner.SendPart:
			sr.waitingParts[a.Part()] = true
			sr.askedShards = append(sr.askedShards, a.Shards()...)
			pr := &partRequest{search: sr, send: a, answeredBy: map[*vm]bool{}, cancel: func() {}}
			sr.partRequests[a.Part()] = pr
			pr.tryNextOwner()
		case *planner.CancelPart:
			sr.waitingParts[a.Part()] = false
			sr.partRequests[a.Part()].cancel()
		case *planner.Finish:
			sr.outcome = a.Outcome()
			sr.vm.recordConfigOperation(sr.configOperation)
			cl.checkSearch(sr)
		}
	}
	next, ok := sr.plan.Next()
	if !ok || sr.tickAt > cl.now && sr.tickAt <= next {
		return
	}
	sr.tickAt = max(next, cl.now+1)
	at := sr.tickAt
	sr.vm.scheduleOn(sr.incarnation, at-cl.now, func() {
		if sr.tickAt == at {
			sr.tickAt = 0
			sr.step(&planner.Tick{})
		}
	})
}

// partReplied passes an owner's reply to the plan. If it is the first reply of the part and
// the search has no outcome yet, the shard results that arrived intact are expected in the
// answer.
func (sr *search) partReplied(part uint64, at tier.Snapshot, results []merger.ShardResult, held []planner.HeldVersions, leafCalls int) {
	if sr.outcome == nil && sr.waitingParts[part] {
		sr.waitingParts[part] = false
		for _, r := range results {
			for _, served := range sr.servedRecords[at][r.Shard()] {
				if r.Miss() == "" && r.Count() == len(r.Records()) && r.Digest() == tier.Digest(served) && slices.Equal(r.Records(), served) {
					sr.addExpectedMerge(at, r.Shard(), served)
				}
			}
		}
	}
	sr.step(planner.NewPartReplied(part, at, results, held, leafCalls))
}

func (sr *search) addExpectedMerge(at tier.Snapshot, shard string, records []tier.Record) {
	if sr.expectedMerge[at] == nil {
		sr.expectedMerge[at] = map[string]map[string]tier.Record{}
	}
	sr.expectedMerge[at][shard] = map[string]tier.Record{}
	for _, r := range records {
		sr.expectedMerge[at][shard][r.Key()] = r
	}
}

func (sr *search) partLost(part uint64, e planner.Event) {
	sr.waitingParts[part] = false
	sr.step(e)
}

// partRequest sends a part to the owners of a data centre, one after the other, until one
// takes it.
type partRequest struct {
	search      *search
	send        *planner.SendPart
	ownersTried int
	ownerDied   bool // an owner died after it was sent the part
	ended       bool

	answeredBy map[*vm]bool
	cancel     func()
}

// notifyFront calls do at the front after a delay, unless the part request has ended by then.
func (pr *partRequest) notifyFront(after tier.Millis, do func()) {
	pr.search.vm.scheduleOn(pr.search.incarnation, after, func() {
		if !pr.ended {
			do()
		}
	})
}

func (pr *partRequest) end(e planner.Event) {
	pr.ended = true
	pr.search.partLost(pr.send.Part(), e)
}

// fail ends the part request as one that may have run.
func (pr *partRequest) fail(r tier.MissReason) {
	if pr.search.vm.cluster.mutation.lostAsRefused {
		pr.end(planner.NewPartRefused(pr.send.Part(), tier.RefuseUnreachable, 0))
		return
	}
	pr.end(planner.NewPartFailed(pr.send.Part(), r))
}

func (pr *partRequest) tryNextOwner() {
	sr, cl, part := pr.search, pr.search.vm.cluster, pr.send.Part()
	owners := sr.vm.owners(pr.send.DataCentre())
	switch {
	case pr.ownersTried < len(owners):
	case pr.ownerDied:
		pr.notifyFront(0, func() { pr.fail(tier.MissUnreachable) })
		return
	default:
		pr.notifyFront(0, func() { pr.end(planner.NewPartRefused(part, tier.RefuseUnreachable, 0)) })
		return
	}
	to := owners[pr.ownersTried]
	pr.ownersTried++
	if pr.ownersTried == 1 {
		pr.notifyFront(pr.send.Deadline()-cl.now, func() { pr.fail(tier.MissDeadline) })
	}
	if cl.cutLinks[sr.vm.dataCentre+to.dataCentre] && cl.withProbability(50) {
		pr.notifyFront(5, pr.tryNextOwner) // no connection, so nothing was sent
		return
	}
	delay, ok := cl.linkDelay(sr.vm.dataCentre, to.dataCentre)
	if ok {
		cl.schedule(delay, func() { pr.submit(to) })
	}
}

// submit submits the part to an owner that the message reached.
func (pr *partRequest) submit(to *vm) {
	if to.dead {
		pr.notifyFront(1, pr.tryNextOwner)
		return
	}
	to.partRequests = append(to.partRequests, pr)
	to.scheduleOn(to.incarnation, 0, func() {
		p := &part{search: pr.search, snapshot: pr.send.Snapshot()}
		p.finish = func(result any, leafCalls int) { pr.ownerEnded(to, result, leafCalls) }
		to.submit(p, profiles[0], pr.send.Deadline(), pr.send.Shards())
		number := p.number
		pr.cancel = func() {
			to.scheduleOn(to.incarnation, to.cluster.upTo(20), func() { to.step(dispatcher.NewCancelled(number)) })
		}
	})
}

// ownerEnded sends the owner's result of the part back to the front. The reply may be lost,
// duplicated or truncated on the way, or name another snapshot.
func (pr *partRequest) ownerEnded(from *vm, result any, leafCalls int) {
	sr, cl, part := pr.search, from.cluster, pr.send.Part()
	pr.answeredBy[from] = true
	delay, ok := cl.linkDelay(from.dataCentre, sr.vm.dataCentre)
	if !ok {
		return
	}
	if r, refused := result.(*dispatcher.PartRefused); refused {
		pr.notifyFront(delay, func() {
			if pr.ownerDied && !cl.mutation.lostAsRefused {
				pr.fail(tier.MissRefused)
				return
			}
			pr.end(planner.NewPartRefused(part, r.Reason(), r.RetryAfter()))
		})
		return
	}
	results := result.([]merger.ShardResult)
	if cl.withProbability(3) {
		results = truncateResult(results)
	}
	held := from.heldVersions(results, pr.send.Snapshot().Epoch())
	at := pr.send.Snapshot()
	if cl.withProbability(2) {
		at = tier.NewSnapshot(at.Epoch(), at.Version()+1)
	}
	deliver := func() {
		pr.ended = true
		if pr.ownerDied && !cl.mutation.lostAsRefused {
			leafCalls = max(leafCalls, 1)
		}
		sr.partReplied(part, at, results, held, leafCalls)
	}
	sr.vm.scheduleOn(sr.incarnation, delay, deliver)
	if cl.withProbability(5) {
		sr.vm.scheduleOn(sr.incarnation, delay+cl.upTo(50), deliver)
	}
}

// truncateResult returns a copy of results in which the first result that has records lacks
// its last one.
func truncateResult(results []merger.ShardResult) []merger.ShardResult {
	out := slices.Clone(results)
	for i, r := range out {
		if n := len(r.Records()); n > 0 {
			out[i] = merger.NewReceivedResult(r.Shard(), r.Records()[:n-1], r.Count(), r.Digest())
			break
		}
	}
	return out
}

func (v *vm) heldVersions(results []merger.ShardResult, e tier.Epoch) []planner.HeldVersions {
	var out []planner.HeldVersions
	for _, r := range results {
		if r.Miss() != "" {
			at, held := v.Versions(setName, v.dataCentre, r.Shard())
			out = append(out, planner.NewHeldVersions(r.Shard(), max(at, e), held))
		}
	}
	return out
}

// booking is a booking with an idempotency key of its own.
type booking struct {
	vm      *vm
	key     string
	runs    int
	outcome tier.Outcome
}

// startBooking sends a booking to an owner, without retries.
func (v *vm) startBooking(timeout tier.Millis) {
	cl := v.cluster
	b := &booking{vm: v, key: fmt.Sprintf("b%d", len(cl.bookings))}
	cl.bookings = append(cl.bookings, b)
	to := v
	if l := v.owners(cl.dataCentres[cl.rng.IntN(len(cl.dataCentres))]); len(l) > 0 {
		to = l[0]
	}
	delay, ok := cl.linkDelay(v.dataCentre, to.dataCentre)
	if !ok {
		return
	}
	incarnation, deadline, shard := v.incarnation, cl.now+timeout, v.set.ShardOf(keys[cl.rng.IntN(len(keys))]).ID()
	cl.schedule(delay, func() {
		to.scheduleOn(to.incarnation, 0, func() {
			p := &part{booking: b}
			p.finish = func(result any, _ int) {
				if replyDelay, ok := cl.linkDelay(to.dataCentre, v.dataCentre); ok {
					v.scheduleOn(incarnation, replyDelay, func() { b.setOutcome(result) })
				}
			}
			to.submit(p, profiles[0], deadline, []string{shard})
		})
	})
}

func (b *booking) setOutcome(result any) {
	switch r := result.(type) {
	case string:
		b.outcome = tier.NewBooked(r, false)
	case *dispatcher.PartRefused:
		b.outcome = tier.NewRefused(r.Reason(), r.RetryAfter())
	default:
		b.outcome = tier.NewUnknown(tier.UnknownLostReply)
	}
}
