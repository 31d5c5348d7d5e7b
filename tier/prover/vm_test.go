package prover_test

import (
	"slices"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/correlator"
	"cicadagrade.example/tier/dispatcher"
	"cicadagrade.example/tier/merger"
	"cicadagrade.example/tier/picker"
	"cicadagrade.example/tier/planner"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

// vm is a simulated entry VM, both front and owner.
type vm struct {
	cluster             *cluster
	name                string
	dataCentre          string
	incarnation         int
	dead                bool
	pausedUntil         tier.Millis
	believesOwner       bool
	dispatcher          *dispatcher.Dispatcher
	tickAt              tier.Millis
	replicator          *replicator.Replicator
	ref                 replicator.Ref
	set                 *tier.ShardSet
	earlierSet          *tier.ShardSet
	believedDead        map[string]bool // by VM
	believedUnreachable map[string]bool // by data centre
	probedVersions      map[string]map[tier.Epoch][]tier.Version
	reportedHoldings    map[holding][]tier.Version
	backendStates       map[string]tier.BackendState
	budget              *planner.Budget
	parts               map[uint64]*part
	calls               map[uint64]*call
	partRequests        []*partRequest
	lastPart            uint64
	lastAttempt         uint64
}

type holding struct {
	server, shard string
	epoch         tier.Epoch
}

// part is a part of a request as its owner got it, of either a search or a booking. The result
// that finish gets is a booking's receipt as a string, the []merger.ShardResult of a part
// without a receipt, a *dispatcher.PartRefused or a *dispatcher.PartUnknown.
type part struct {
	number   uint64
	search   *search
	booking  *booking
	snapshot tier.Snapshot
	finish   func(result any, leafCalls int)
}

// start starts a new incarnation of the VM, with the latest published set document.
func (v *vm) start() {
	v.incarnation++
	v.dead, v.believesOwner, v.pausedUntil, v.tickAt = false, false, 0, 0
	v.believedDead, v.believedUnreachable = map[string]bool{}, map[string]bool{}
	v.probedVersions, v.reportedHoldings = map[string]map[tier.Epoch][]tier.Version{}, map[holding][]tier.Version{}
	v.backendStates = map[string]tier.BackendState{}
	v.parts, v.calls, v.partRequests = map[uint64]*part{}, map[uint64]*call{}, nil
	v.budget = planner.NewBudget(0.2, 20)
	v.replicator, v.ref, v.set, v.earlierSet, v.dispatcher = replicator.New(v.name), replicator.Ref{}, nil, nil, nil
	v.offerDocument(v.cluster.documentStates[max(0, v.cluster.publishedRevision-1)])
	v.dispatcher = dispatcher.New(v.set, v.dataCentre, dispatcher.WithSeed(v.cluster.rng.Uint64()), dispatcher.WithTakeoverDelay(v.cluster.mutation.takeoverDelay))
	v.step(&dispatcher.Standby{})
	v.updateOwnership()
}

// scheduleOn calls do on an incarnation of the VM after a delay. While the VM is paused the
// call is postponed, and after a crash it is dropped.
func (v *vm) scheduleOn(incarnation int, after tier.Millis, do func()) {
	v.cluster.schedule(after, func() {
		switch {
		case v.dead || v.incarnation != incarnation:
		case v.pausedUntil > v.cluster.now:
			v.scheduleOn(incarnation, v.pausedUntil-v.cluster.now, do)
		default:
			do()
		}
	})
}

// offerDocument passes a set document to the VM's replicator, as if read from the store.
func (v *vm) offerDocument(s *replicator.State) {
	startedAt := v.cluster.nextTimestamp()
	defer func() { v.recordConfigOperation(configOperation{offered: s.Ref().Revision(), startedAt: startedAt}) }()
	if v.cluster.mutation.acceptOlderConfig {
		v.adoptDocument(s)
		return
	}
	for _, a := range v.replicator.Step(v.cluster.now, replicator.NewChanged(storer.NewValue(s.Ref().Key(), v.cluster.encodedStates[s], 1))) {
		if adopted, ok := a.(*replicator.Adopted); ok {
			v.adoptDocument(adopted.State())
		}
	}
}

func (v *vm) adoptDocument(s *replicator.State) {
	set := v.cluster.sets[tier.Epoch(1+(s.Ref().Revision()-1)/2)]
	if v.set != nil && v.set.Epoch() != set.Epoch() {
		v.earlierSet = v.set
	}
	v.set, v.ref = set, s.Ref()
	if v.dispatcher == nil {
		return
	}
	v.step(dispatcher.NewSetChanged(v.set))
	for _, sr := range v.cluster.searches {
		if sr.vm == v && sr.incarnation == v.incarnation && sr.outcome == nil && v.cluster.withProbability(50) {
			sr.step(planner.NewSetChanged(v.set))
		}
	}
}

func (v *vm) owners(dataCentre string) []*vm {
	var members []tier.VM
	byName := map[string]*vm{}
	for _, o := range v.cluster.vms {
		byName[o.name] = o
		if !v.believedDead[o.name] {
			members = append(members, tier.NewVM(o.name, o.dataCentre, "127.0.0.1:1", tier.WithVMState(tier.VMLive)))
		}
	}
	var out []*vm
	for _, m := range picker.Owners(setName, dataCentre, members, 2) {
		out = append(out, byName[m.Name()])
	}
	return out
}

// crash ends an incarnation. Its calls and part requests break off, and the other VMs learn of
// its death with a delay.
func (v *vm) crash() {
	v.dead, v.believesOwner = true, false
	for _, c := range v.calls {
		c.release()
	}
	for _, pr := range v.partRequests {
		if !pr.answeredBy[v] {
			pr.ownerDied = true
			pr.notifyFront(1+v.cluster.upTo(5), pr.tryNextOwner)
		}
	}
	v.announceLiveness()
}

// announceLiveness makes every other VM learn, after a delay, whether this VM is dead.
func (v *vm) announceLiveness() {
	for _, o := range v.cluster.vms {
		if o != v {
			o.scheduleOn(o.incarnation, 50+v.cluster.upTo(700), func() { o.setBelievedDead(v.name, v.dead) })
		}
	}
}

// pause stops the VM for some time, during which some of the others believe that it is dead.
func (v *vm) pause(m tier.Millis) {
	v.pausedUntil = v.cluster.now + m
	for _, o := range v.cluster.vms {
		if o != v && v.cluster.withProbability(70) {
			o.scheduleOn(o.incarnation, v.cluster.upTo(m), func() { o.setBelievedDead(v.name, true) })
			o.scheduleOn(o.incarnation, m+v.cluster.upTo(300), func() { o.setBelievedDead(v.name, v.dead) })
		}
	}
}

// updateOwnership tells the dispatcher whether this VM owns the set according to its own view
// of the members.
func (v *vm) updateOwnership() {
	l := v.owners(v.dataCentre)
	v.believesOwner = len(l) > 0 && l[0] == v
	if v.believesOwner {
		v.step(dispatcher.NewShareChanged(1, 0))
		return
	}
	v.step(&dispatcher.Standby{})
}

// setBelievedDead sets whether the VM believes that another one is dead.
func (v *vm) setBelievedDead(name string, dead bool) {
	v.believedDead[name] = dead
	v.updateOwnership()
}

func (v *vm) step(e dispatcher.Event) {
	for _, a := range v.dispatcher.Step(v.cluster.now, e) {
		v.perform(a)
	}
	next, ok := v.dispatcher.NextTick()
	if !ok || v.tickAt > v.cluster.now && v.tickAt <= next {
		return
	}
	v.tickAt = max(next, v.cluster.now+1)
	at := v.tickAt
	v.scheduleOn(v.incarnation, at-v.cluster.now, func() {
		if v.tickAt == at {
			v.tickAt = 0
			v.step(&dispatcher.Tick{})
		}
	})
}

func (v *vm) perform(a dispatcher.Action) {
	switch a := a.(type) {
	case *dispatcher.Call:
		v.startCall(a)
	case *dispatcher.CancelCall:
		if c := v.calls[a.Attempt()]; c != nil {
			v.scheduleOn(v.incarnation, 6, func() { v.callFailed(c) })
		}
	case *dispatcher.PartDone:
		v.partDone(a)
	case *dispatcher.PartRefused:
		v.endPart(a.Part(), a, 0)
	case *dispatcher.PartUnknown:
		v.endPart(a.Part(), a, 1)
	}
}

// submit hands a part to the dispatcher.
func (v *vm) submit(p *part, profile *tier.Profile, deadline tier.Millis, shards []string) {
	v.lastPart++
	p.number = v.lastPart
	v.parts[p.number] = p
	var opts []dispatcher.SubmitOption
	if p.search != nil {
		opts = append(opts, dispatcher.WithSnapshot(p.snapshot))
	} else if !v.cluster.mutation.hedgeBookings {
		opts = append(opts, dispatcher.NonIdempotent())
	}
	v.step(dispatcher.NewSubmit(p.number, profile, deadline, shards, opts...))
}

func (v *vm) startCall(a *dispatcher.Call) {
	p := v.parts[a.Part()]
	v.lastAttempt++
	c := &call{
		vm: v, incarnation: v.incarnation, attempt: a.Attempt(), part: p, shard: a.Shard(), snapshot: a.Snapshot(), server: v.cluster.serverByName[a.Server()],
		id: tier.NewAttemptID(v.name, tier.Incarnation(v.incarnation), v.lastAttempt),
	}
	v.calls[c.attempt] = c
	if p.search != nil {
		p.search.leafCalls++
	}
	v.cluster.callStarted(c)
	if !v.cluster.withProbability(2) {
		v.cluster.schedule(v.cluster.upTo(2), func() { c.server.handleCall(c) })
	}
	v.scheduleOn(v.incarnation, a.Deadline()-v.cluster.now, func() { v.callFailed(c) })
}

// callFailed ends a call whose deadline passed or that was cancelled.
func (v *vm) callFailed(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	c.release()
	v.step(dispatcher.NewCallEnded(c.attempt, &dispatcher.ReplyFailed{}))
}

// callReplied checks a server's reply in the same way as the daemon does.
func (v *vm) callReplied(c *call, reply *leafReply) {
	if c.ended {
		v.cluster.counts["duplicate reply"]++
		return
	}
	c.ended = true
	var result dispatcher.Result = reply.notRun
	var err error
	switch {
	case reply.search != nil:
		result, err = &dispatcher.ReplyOK{}, correlator.CheckSearchReply(c.expectation(), *reply.search)
		c.records = reply.search.Records()
	case reply.booking != nil:
		result, err = &dispatcher.ReplyOK{}, correlator.CheckBookingReply(c.expectation(), *reply.booking)
		c.receipt = reply.booking.Receipt()
	}
	var m *correlator.MismatchError
	if errors.As(err, &m) && m.Field() != v.cluster.mutation.ignoredField {
		v.cluster.counts["rejected "+string(m.Field())]++
		result = &dispatcher.ReplyRejected{}
	} else if reply.search != nil {
		v.reportHolding(c.server.backend.Name(), c.shard, reply.epoch, reply.held)
	}
	v.step(dispatcher.NewCallEnded(c.attempt, result))
}

// reportHolding tells the dispatcher which versions of a shard a server holds, if that has
// changed.
func (v *vm) reportHolding(server, shard string, e tier.Epoch, held []tier.Version) {
	k := holding{server, shard, e}
	if old, ok := v.reportedHoldings[k]; !ok || !slices.Equal(old, held) {
		v.reportedHoldings[k] = held
		v.step(dispatcher.NewHoldingChanged(server, shard, e, held))
	}
}

func (v *vm) partDone(a *dispatcher.PartDone) {
	var results []merger.ShardResult
	for _, w := range a.Winners() {
		results = append(results, merger.NewShardResult(w.Shard(), v.calls[w.Attempt()].records))
	}
	for _, m := range a.Misses() {
		results = append(results, merger.NewMissingShard(m.Shard(), m.Reason()))
	}
	if p := v.parts[a.Part()]; p.booking != nil && len(a.Winners()) > 0 {
		v.endPart(a.Part(), v.calls[a.Winners()[0].Attempt()].receipt, a.Calls())
		return
	}
	v.endPart(a.Part(), results, a.Calls())
}

func (v *vm) endPart(number uint64, result any, leafCalls int) {
	p := v.parts[number]
	delete(v.parts, number)
	p.finish(result, leafCalls)
}

// probeReplied handles a server's health reply. Only VMs in the server's data centre send it
// leaf calls, so only these pass the reply on to their dispatcher.
func (v *vm) probeReplied(s *server, state tier.BackendState, held map[tier.Epoch][]tier.Version) {
	v.probedVersions[s.backend.Name()] = held
	if v.dataCentre != s.backend.DataCentre() {
		return
	}
	if v.backendStates[s.backend.Name()] != state {
		v.backendStates[s.backend.Name()] = state
		v.step(dispatcher.NewBackendChanged(s.backend.Name(), state))
	}
	for e := tier.Epoch(1); e <= 3; e++ {
		for _, h := range v.cluster.sets[e].Shards() {
			if slices.Contains(h.Replicas(), s.backend.Name()) {
				v.reportHolding(s.backend.Name(), h.ID(), e, held[e])
			}
		}
	}
}

// Set, Earlier, Versions and Reachable implement planner.EarlierView.
func (v *vm) Set(string) (*tier.ShardSet, bool) { return v.set, true }

func (v *vm) Earlier(string) (*tier.ShardSet, bool) { return v.earlierSet, v.earlierSet != nil }

func (v *vm) Versions(_, dataCentre, shard string) (tier.Epoch, []tier.Version) {
	for e := tier.Epoch(3); e > 0; e-- {
		h, ok := shardOf(v.cluster.sets[e], shard)
		if !ok {
			continue
		}
		var out []tier.Version
		for _, r := range h.Replicas() {
			if v.cluster.serverByName[r].backend.DataCentre() == dataCentre {
				out = append(out, v.probedVersions[r][e]...)
			}
		}
		if len(out) > 0 {
			return e, out
		}
	}
	return 0, nil
}

func (v *vm) Reachable(dataCentre string) bool { return !v.believedUnreachable[dataCentre] }
