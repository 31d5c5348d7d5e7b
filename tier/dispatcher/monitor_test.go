package dispatcher

import (
	"fmt"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/hedger"
)

// invariantMonitor checks the invariants of a Dispatcher, using only its events and
// actions.
type invariantMonitor struct {
	set              *tier.ShardSet
	share            slotShare
	states           map[string]tier.BackendState
	parts            map[uint64]*observedPart
	calls            map[uint64]*Call
	cancels          map[uint64]bool
	runningPerServer map[string]int
	reportsPerServer map[string]int
	okReplies        map[uint64]bool
	firstCalls       int
	extraCalls       int
	violations       []string
}

// observedPart is what an invariantMonitor knows of a part.
type observedPart struct {
	submit       *Submit
	calls        int
	notRun       int
	calledShards map[string]bool
	ends         int
}

func newInvariantMonitor(set *tier.ShardSet, share slotShare) *invariantMonitor {
	return &invariantMonitor{
		set: set, share: share, states: map[string]tier.BackendState{}, parts: map[uint64]*observedPart{},
		calls: map[uint64]*Call{}, cancels: map[uint64]bool{}, runningPerServer: map[string]int{}, reportsPerServer: map[string]int{}, okReplies: map[uint64]bool{},
	}
}

func (m *invariantMonitor) check(ok bool, format string, args ...any) {
	if !ok {
		m.violations = append(m.violations, fmt.Sprintf(format, args...))
	}
}

// observeEvent records an event before the Dispatcher gets it.
func (m *invariantMonitor) observeEvent(e Event) {
	switch e := e.(type) {
	case *Submit:
		m.parts[e.part] = &observedPart{submit: e, calledShards: map[string]bool{}}
	case *BackendChanged:
		if _, ok := m.set.Server(e.server); ok {
			m.states[e.server] = e.state
		}
	case *SetChanged:
		m.setChanged(e.set)
	case *ShareChanged:
		m.share = slotShare{owners: e.owners, index: e.index}
	case *CallEnded:
		m.observeReply(e)
	}
}

// setChanged forgets the states of servers that are new to the set, as the Dispatcher
// does unless calls still run on them.
func (m *invariantMonitor) setChanged(set *tier.ShardSet) {
	for _, b := range set.Servers() {
		if _, ok := m.set.Server(b.Name()); !ok && m.runningPerServer[b.Name()] == 0 {
			delete(m.states, b.Name())
		}
	}
	m.set = set
}

func (m *invariantMonitor) observeReply(e *CallEnded) {
	c := m.calls[e.attempt]
	delete(m.calls, e.attempt)
	m.runningPerServer[c.server]--
	p := m.parts[c.part]
	if p.submit.profile.Rank() == tier.Reports {
		m.reportsPerServer[c.server]--
	}
	switch r := e.result.(type) {
	case *ReplyOK:
		m.okReplies[e.attempt] = true
	case *ReplyNotRun:
		p.notRun++
		if r.reason == NotRunLeaving {
			m.states[c.server] = tier.BackendLeaving
		}
	}
}

// observeActions checks the actions of a Step.
func (m *invariantMonitor) observeActions(now tier.Millis, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *Call:
			m.observeCall(now, a)
		case *CancelCall:
			m.check(m.calls[a.attempt] != nil && !m.cancels[a.attempt], "cancel of call %d that does not run", a.attempt)
			m.cancels[a.attempt] = true
		case *PartDone:
			m.observePartEnd(a.part)
			m.checkPartDone(a)
		case *PartRefused:
			p := m.observePartEnd(a.part)
			m.check(p.calls == p.notRun, "part %d refused after it may have run", a.part)
			m.check(p.calls == 0 || !p.submit.idempotent, "idempotent part %d refused after %d calls", a.part, p.calls)
		case *PartUnknown:
			p := m.observePartEnd(a.part)
			m.check(!p.submit.idempotent && p.calls == 1, "part %d unknown after %d calls", a.part, p.calls)
		}
	}
}

func (m *invariantMonitor) observeCall(now tier.Millis, c *Call) {
	p := m.parts[c.part]
	m.calls[c.attempt] = c
	m.check(p.ends == 0, "call %d after the end of part %d", c.attempt, c.part)
	m.check(now < p.submit.deadline, "call %d at %d, deadline %d", c.attempt, now, p.submit.deadline)
	m.check(m.states[c.server].AcceptsCalls(), "call %d to server %s that is %s", c.attempt, c.server, m.states[c.server])
	p.calls++
	m.check(p.submit.idempotent || p.calls == 1, "call number %d of part %d that may run once", p.calls, c.part)
	m.checkBudget(p, c)
	m.checkSlots(p, c)
}

func (m *invariantMonitor) checkBudget(p *observedPart, c *Call) {
	if !p.calledShards[c.shard] {
		p.calledShards[c.shard] = true
		m.firstCalls++
		return
	}
	m.extraCalls++
	limit := hedger.BudgetBurst + m.set.HedgeBudget()*float64(m.firstCalls)
	m.check(float64(m.extraCalls) <= limit, "%d extra calls for %d first ones", m.extraCalls, m.firstCalls)
}

func (m *invariantMonitor) checkSlots(p *observedPart, c *Call) {
	b, _ := m.set.Server(c.server)
	ordinal := 0
	for i, o := range m.set.Servers() {
		if o.Name() == c.server {
			ordinal = i
		}
	}
	slots := m.share.slots(b.Slots(), ordinal)
	m.runningPerServer[c.server]++
	m.check(m.runningPerServer[c.server] <= slots, "%d calls on %d slots of %s", m.runningPerServer[c.server], slots, c.server)
	if p.submit.profile.Rank() == tier.Reports {
		m.reportsPerServer[c.server]++
		most := max(1, int(float64(slots)*m.set.ReportsShare()))
		m.check(m.reportsPerServer[c.server] <= most, "%d reports calls on %s, at most %d", m.reportsPerServer[c.server], c.server, most)
	}
}

func (m *invariantMonitor) observePartEnd(part uint64) *observedPart {
	p := m.parts[part]
	p.ends++
	m.check(p.ends == 1, "part %d ended %d times", part, p.ends)
	return p
}

func (m *invariantMonitor) checkPartDone(a *PartDone) {
	p := m.parts[a.part]
	n := len(p.submit.shards)
	m.check(len(a.winners)+len(a.misses) == n, "part %d ended with %d of %d shards", a.part, len(a.winners)+len(a.misses), n)
	m.check(a.calls == p.calls, "part %d says %d calls, made %d", a.part, a.calls, p.calls)
	for _, v := range a.winners {
		m.check(m.okReplies[v.attempt], "winner %d of part %d had no usable reply", v.attempt, a.part)
	}
}

// checkIdle checks that every part has ended and that nothing is queued or running.
func (m *invariantMonitor) checkIdle(d *Dispatcher) {
	for id, p := range m.parts {
		m.check(p.ends == 1, "part %d ended %d times", id, p.ends)
	}
	m.check(d.Idle(), "the dispatcher is not idle at the end")
	for _, s := range d.servers {
		m.check(s.queuedLoad == [len(tier.Ranks)]float64{}, "server %s still has load %v", s.backend.Name(), s.queuedLoad)
	}
	m.check(d.queued.byRank == [len(tier.Ranks)]int{}, "queue counts are %v at the end", d.queued.byRank)
}
