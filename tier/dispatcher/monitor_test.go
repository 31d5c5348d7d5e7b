package dispatcher

import (
	"fmt"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/hedger"
)

// monitor checks what a dispatcher promises from its events and actions
// alone.
type monitor struct {
	set      *tier.ShardSet
	share    shareOf
	states   map[string]tier.BackendState
	parts    map[uint64]*watched
	calls    map[uint64]*Call
	cancels  map[uint64]bool
	running  map[string]int
	reports  map[string]int
	oks      map[uint64]bool
	first    int
	extra    int
	problems []string
}

// watched is what the monitor knows of a part.
type watched struct {
	submit *Submit
	calls  int
	notRun int
	first  map[string]bool
	ends   int
}

func newMonitor(set *tier.ShardSet, share shareOf) *monitor {
	return &monitor{
		set: set, share: share, states: map[string]tier.BackendState{}, parts: map[uint64]*watched{},
		calls: map[uint64]*Call{}, cancels: map[uint64]bool{}, running: map[string]int{}, reports: map[string]int{}, oks: map[uint64]bool{},
	}
}

func (m *monitor) check(ok bool, format string, args ...any) {
	if !ok {
		m.problems = append(m.problems, fmt.Sprintf(format, args...))
	}
}

// before takes an event that the dispatcher is about to get.
func (m *monitor) before(e Event) {
	switch e := e.(type) {
	case *Submit:
		m.parts[e.part] = &watched{submit: e, first: map[string]bool{}}
	case *BackendChanged:
		if _, ok := m.set.Server(e.server); ok {
			m.states[e.server] = e.state
		}
	case *SetChanged:
		m.setChanged(e.set)
	case *ShareChanged:
		m.share = shareOf{owners: e.owners, index: e.index}
	case *CallEnded:
		m.replied(e)
	}
}

// setChanged forgets the states of servers that come back to the set.
func (m *monitor) setChanged(set *tier.ShardSet) {
	for _, b := range set.Servers() {
		if _, ok := m.set.Server(b.Name()); !ok && m.running[b.Name()] == 0 {
			delete(m.states, b.Name())
		}
	}
	m.set = set
}

func (m *monitor) replied(e *CallEnded) {
	c := m.calls[e.attempt]
	delete(m.calls, e.attempt)
	m.running[c.server]--
	w := m.parts[c.part]
	if w.submit.profile.Rank() == tier.Reports {
		m.reports[c.server]--
	}
	switch r := e.result.(type) {
	case *ReplyOK:
		m.oks[e.attempt] = true
	case *ReplyNotRun:
		w.notRun++
		if r.reason == NotRunLeaving {
			m.states[c.server] = tier.BackendLeaving
		}
	}
}

// after takes the actions of a Step.
func (m *monitor) after(now tier.Millis, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *Call:
			m.called(now, a)
		case *CancelCall:
			m.check(m.calls[a.attempt] != nil && !m.cancels[a.attempt], "cancel of call %d that does not run", a.attempt)
			m.cancels[a.attempt] = true
		case *PartDone:
			m.ended(a.part)
			m.done(a)
		case *PartRefused:
			w := m.ended(a.part)
			m.check(w.calls == w.notRun, "part %d refused after it may have run", a.part)
			m.check(w.calls == 0 || !w.submit.repeatable, "repeatable part %d refused after %d calls", a.part, w.calls)
		case *PartUnknown:
			w := m.ended(a.part)
			m.check(!w.submit.repeatable && w.calls == 1, "part %d unknown after %d calls", a.part, w.calls)
		}
	}
}

func (m *monitor) called(now tier.Millis, c *Call) {
	w := m.parts[c.part]
	m.calls[c.attempt] = c
	m.check(w.ends == 0, "call %d after the end of part %d", c.attempt, c.part)
	m.check(now < w.submit.deadline, "call %d at %d, deadline %d", c.attempt, now, w.submit.deadline)
	m.check(m.states[c.server].TakesWork(), "call %d to server %s that is %s", c.attempt, c.server, m.states[c.server])
	w.calls++
	m.check(w.submit.repeatable || w.calls == 1, "call number %d of part %d that may run once", w.calls, c.part)
	m.countBudget(w, c)
	m.countSlots(w, c)
}

func (m *monitor) countBudget(w *watched, c *Call) {
	if !w.first[c.shard] {
		w.first[c.shard] = true
		m.first++
		return
	}
	m.extra++
	limit := hedger.BudgetBurst + m.set.HedgeBudget()*float64(m.first)
	m.check(float64(m.extra) <= limit, "%d extra calls for %d first ones", m.extra, m.first)
}

func (m *monitor) countSlots(w *watched, c *Call) {
	b, _ := m.set.Server(c.server)
	ordinal := 0
	for i, o := range m.set.Servers() {
		if o.Name() == c.server {
			ordinal = i
		}
	}
	slots := m.share.slots(b.Slots(), ordinal)
	m.running[c.server]++
	m.check(m.running[c.server] <= slots, "%d calls on %d slots of %s", m.running[c.server], slots, c.server)
	if w.submit.profile.Rank() == tier.Reports {
		m.reports[c.server]++
		most := max(1, int(float64(slots)*m.set.ReportsShare()))
		m.check(m.reports[c.server] <= most, "%d reports calls on %s, at most %d", m.reports[c.server], c.server, most)
	}
}

func (m *monitor) ended(part uint64) *watched {
	w := m.parts[part]
	w.ends++
	m.check(w.ends == 1, "part %d ended %d times", part, w.ends)
	return w
}

func (m *monitor) done(a *PartDone) {
	w := m.parts[a.part]
	n := len(w.submit.shards)
	m.check(len(a.winners)+len(a.misses) == n, "part %d ended with %d of %d shards", a.part, len(a.winners)+len(a.misses), n)
	m.check(a.calls == w.calls, "part %d says %d calls, made %d", a.part, a.calls, w.calls)
	for _, v := range a.winners {
		m.check(m.oks[v.attempt], "winner %d of part %d had no usable reply", v.attempt, a.part)
	}
}

// finish checks that every part ended and nothing runs.
func (m *monitor) finish(d *Dispatcher) {
	for id, w := range m.parts {
		m.check(w.ends == 1, "part %d ended %d times", id, w.ends)
	}
	m.check(d.Idle(), "the dispatcher is not idle at the end")
	for _, s := range d.servers {
		m.check(s.load == [len(tier.Ranks)]float64{}, "server %s still has load %v", s.backend.Name(), s.load)
	}
	m.check(d.queued.byRank == [len(tier.Ranks)]int{}, "queue counts are %v at the end", d.queued.byRank)
}
