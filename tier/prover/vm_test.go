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

// vm is an entry VM: front and owner at once.
type vm struct {
	w          *world
	name       string
	dataCentre string
	life       int
	dead       bool
	paused     tier.Millis // until then
	owns       bool
	core       *dispatcher.Dispatcher
	tickAt     tier.Millis
	keeper     *replicator.Replicator
	ref        replicator.Ref
	set        *tier.ShardSet
	former     *tier.ShardSet
	gone       map[string]bool // VMs believed dead
	cut        map[string]bool // data centres believed cut off
	reports    map[string]map[tier.Epoch][]tier.Version
	told       map[holding][]tier.Version
	states     map[string]tier.BackendState
	budget     *planner.Budget
	parts      map[uint64]*part
	calls      map[uint64]*call
	asks       []*ask
	lastPart   uint64
	attempts   uint64
}

type holding struct {
	server, shard string
	epoch         tier.Epoch
}

// part is what an owner was asked for.
type part struct {
	number   uint64
	query    *query
	booking  *booking
	snapshot tier.Snapshot
	end      func(end any, leafCalls int)
}

// begin starts a life of the VM with the first set document.
func (v *vm) begin() {
	v.life++
	v.dead, v.owns, v.paused, v.tickAt = false, false, 0, 0
	v.gone, v.cut = map[string]bool{}, map[string]bool{}
	v.reports, v.told = map[string]map[tier.Epoch][]tier.Version{}, map[holding][]tier.Version{}
	v.states = map[string]tier.BackendState{}
	v.parts, v.calls, v.asks = map[uint64]*part{}, map[uint64]*call{}, nil
	v.budget = planner.NewBudget(0.2, 20)
	v.keeper, v.ref, v.set, v.former, v.core = replicator.New(v.name), replicator.Ref{}, nil, nil, nil
	v.offer(v.w.states[max(0, v.w.published-1)])
	v.core = dispatcher.New(v.set, v.dataCentre, dispatcher.WithSeed(v.w.random.Uint64()), dispatcher.WithTakeoverDelay(v.w.faults.takeover))
	v.step(&dispatcher.Standby{})
	v.sync()
}

// deliver runs a duty of a life of the VM; a paused VM does it afterwards.
func (v *vm) deliver(life int, after tier.Millis, do func()) {
	v.w.after(after, func() {
		switch {
		case v.dead || v.life != life:
		case v.paused > v.w.now:
			v.deliver(life, v.paused-v.w.now, do)
		default:
			do()
		}
	})
}

// offer shows the VM a set document.
func (v *vm) offer(s *replicator.State) {
	called := v.w.stamp()
	defer func() { v.note(use{offered: s.Ref().Revision(), called: called}) }()
	if v.w.faults.lower {
		v.take(s)
		return
	}
	for _, a := range v.keeper.Step(v.w.now, replicator.NewChanged(storer.NewValue(s.Ref().Key(), v.w.stored[s], 1))) {
		if t, ok := a.(*replicator.Adopted); ok {
			v.take(t.State())
		}
	}
}

func (v *vm) take(s *replicator.State) {
	set := v.w.sets[tier.Epoch(1+(s.Ref().Revision()-1)/2)]
	if v.set != nil && v.set.Epoch() != set.Epoch() {
		v.former = v.set
	}
	v.set, v.ref = set, s.Ref()
	if v.core == nil {
		return
	}
	v.step(dispatcher.NewSetChanged(v.set))
	for _, q := range v.w.queries {
		if q.vm == v && q.life == v.life && q.outcome == nil && v.w.chance(50) {
			q.step(planner.NewSetChanged(v.set))
		}
	}
}

func (v *vm) owners(dataCentre string) []*vm {
	var members []tier.VM
	byName := map[string]*vm{}
	for _, o := range v.w.vms {
		byName[o.name] = o
		if !v.gone[o.name] {
			members = append(members, tier.NewVM(o.name, o.dataCentre, "127.0.0.1:1", tier.WithVMState(tier.VMLive)))
		}
	}
	var out []*vm
	for _, m := range picker.Owners(setName, dataCentre, members, 2) {
		out = append(out, byName[m.Name()])
	}
	return out
}

// die ends a life: its connections break, and the others learn of it.
func (v *vm) die() {
	v.dead, v.owns = true, false
	for _, c := range v.calls {
		c.release()
	}
	for _, k := range v.asks {
		if !k.answeredBy[v] {
			k.lost = true
			k.back(1+v.w.upTo(5), k.next)
		}
	}
	v.spread()
}

// spread has the others look, each after a while, whether this VM lives.
func (v *vm) spread() {
	for _, o := range v.w.vms {
		if o != v {
			o.deliver(o.life, 50+v.w.upTo(700), func() { o.believe(v.name, v.dead) })
		}
	}
}

// pause stops a VM for a while; some others take it for dead meanwhile.
func (v *vm) pause(m tier.Millis) {
	v.paused = v.w.now + m
	for _, o := range v.w.vms {
		if o != v && v.w.chance(70) {
			o.deliver(o.life, v.w.upTo(m), func() { o.believe(v.name, true) })
			o.deliver(o.life, m+v.w.upTo(300), func() { o.believe(v.name, v.dead) })
		}
	}
}

// sync tells the dispatcher whether this VM believes that it owns the set.
func (v *vm) sync() {
	l := v.owners(v.dataCentre)
	v.owns = len(l) > 0 && l[0] == v
	if v.owns {
		v.step(dispatcher.NewShareChanged(1, 0))
		return
	}
	v.step(&dispatcher.Standby{})
}

// believe has the VM learn that another one is dead or lives.
func (v *vm) believe(name string, dead bool) {
	v.gone[name] = dead
	v.sync()
}

func (v *vm) step(e dispatcher.Event) {
	for _, a := range v.core.Step(v.w.now, e) {
		v.act(a)
	}
	next, ok := v.core.NextTick()
	if !ok || v.tickAt > v.w.now && v.tickAt <= next {
		return
	}
	v.tickAt = max(next, v.w.now+1)
	at := v.tickAt
	v.deliver(v.life, at-v.w.now, func() {
		if v.tickAt == at {
			v.tickAt = 0
			v.step(&dispatcher.Tick{})
		}
	})
}

func (v *vm) act(a dispatcher.Action) {
	switch a := a.(type) {
	case *dispatcher.Call:
		v.call(a)
	case *dispatcher.CancelCall:
		if c := v.calls[a.Attempt()]; c != nil {
			v.deliver(v.life, 6, func() { v.failed(c) })
		}
	case *dispatcher.PartDone:
		v.partDone(a)
	case *dispatcher.PartRefused:
		v.finish(a.Part(), a, 0)
	case *dispatcher.PartUnknown:
		v.finish(a.Part(), a, 1)
	}
}

// submit hands a part to the dispatcher.
func (v *vm) submit(p *part, profile *tier.Profile, deadline tier.Millis, shards []string) {
	v.lastPart++
	p.number = v.lastPart
	v.parts[p.number] = p
	var opts []dispatcher.SubmitOption
	if p.query != nil {
		opts = append(opts, dispatcher.WithSnapshot(p.snapshot))
	} else if !v.w.faults.hedged {
		opts = append(opts, dispatcher.NonIdempotent())
	}
	v.step(dispatcher.NewSubmit(p.number, profile, deadline, shards, opts...))
}

func (v *vm) call(a *dispatcher.Call) {
	p := v.parts[a.Part()]
	v.attempts++
	c := &call{
		vm: v, life: v.life, attempt: a.Attempt(), part: p, shard: a.Shard(), snapshot: a.Snapshot(), server: v.w.byName[a.Server()],
		id: tier.NewAttemptID(v.name, tier.Incarnation(v.life), v.attempts),
	}
	v.calls[c.attempt] = c
	if p.query != nil {
		p.query.calls++
	}
	v.w.inFlight(c)
	if !v.w.chance(2) {
		v.w.after(v.w.upTo(2), func() { c.server.arrive(c) })
	}
	v.deliver(v.life, a.Deadline()-v.w.now, func() { v.failed(c) })
}

// failed ends a call whose deadline passed or that was cancelled.
func (v *vm) failed(c *call) {
	if c.over {
		return
	}
	c.over = true
	c.release()
	v.step(dispatcher.NewCallEnded(c.attempt, &dispatcher.ReplyFailed{}))
}

// replied checks a server's answer as the daemon does.
func (v *vm) replied(c *call, a *answer) {
	if c.over {
		v.w.counts["repeated"]++
		return
	}
	c.over = true
	var result dispatcher.Result = a.notRun
	var err error
	switch {
	case a.reply != nil:
		result, err = &dispatcher.ReplyOK{}, correlator.CheckSearchReply(c.expect(), *a.reply)
		c.records = a.reply.Records()
	case a.receipt != nil:
		result, err = &dispatcher.ReplyOK{}, correlator.CheckBookingReply(c.expect(), *a.receipt)
		c.receipt = a.receipt.Receipt()
	}
	var m *correlator.MismatchError
	if errors.As(err, &m) && m.Field() != v.w.faults.ignored {
		v.w.counts["rejected "+string(m.Field())]++
		result = &dispatcher.ReplyRejected{}
	} else if a.reply != nil {
		v.tell(c.server.backend.Name(), c.shard, a.epoch, a.held)
	}
	v.step(dispatcher.NewCallEnded(c.attempt, result))
}

// tell passes on what a server holds, if it is news.
func (v *vm) tell(server, shard string, e tier.Epoch, held []tier.Version) {
	k := holding{server, shard, e}
	if old, ok := v.told[k]; !ok || !slices.Equal(old, held) {
		v.told[k] = held
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
		v.finish(a.Part(), v.calls[a.Winners()[0].Attempt()].receipt, a.Calls())
		return
	}
	v.finish(a.Part(), results, a.Calls())
}

func (v *vm) finish(number uint64, end any, leafCalls int) {
	p := v.parts[number]
	delete(v.parts, number)
	p.end(end, leafCalls)
}

// hear has the VM learn what a server tells; only VMs of the server's data
// centre may call it.
func (v *vm) hear(s *server, state tier.BackendState, held map[tier.Epoch][]tier.Version) {
	v.reports[s.backend.Name()] = held
	if v.dataCentre != s.backend.DataCentre() {
		return
	}
	if v.states[s.backend.Name()] != state {
		v.states[s.backend.Name()] = state
		v.step(dispatcher.NewBackendChanged(s.backend.Name(), state))
	}
	for e := tier.Epoch(1); e <= 3; e++ {
		for _, h := range v.w.sets[e].Shards() {
			if slices.Contains(h.Replicas(), s.backend.Name()) {
				v.tell(s.backend.Name(), h.ID(), e, held[e])
			}
		}
	}
}

// Set, Earlier, Versions and Reachable make a planner.EarlierView.
func (v *vm) Set(string) (*tier.ShardSet, bool) { return v.set, true }

func (v *vm) Earlier(string) (*tier.ShardSet, bool) { return v.former, v.former != nil }

func (v *vm) Versions(_, dataCentre, shard string) (tier.Epoch, []tier.Version) {
	for e := tier.Epoch(3); e > 0; e-- {
		h, ok := shardOf(v.w.sets[e], shard)
		if !ok {
			continue
		}
		var out []tier.Version
		for _, r := range h.Replicas() {
			if v.w.byName[r].backend.DataCentre() == dataCentre {
				out = append(out, v.reports[r][e]...)
			}
		}
		if len(out) > 0 {
			return e, out
		}
	}
	return 0, nil
}

func (v *vm) Reachable(dataCentre string) bool { return !v.cut[dataCentre] }
