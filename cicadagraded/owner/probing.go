package owner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	backendv1 "cicadagrade.example/api/backend/v1"
	"cicadagrade.example/cicadagraded/backendclient"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/dispatcher"
	"cicadagrade.example/tier/prober"
)

// probeTimeout bounds one read of a server's health.
const probeTimeout = 1 * time.Second

// openLanes starts a lane and a prober for each server of the set in this
// data centre, and ends those of servers that are gone.
func (o *Owner) openLanes() {
	wanted := map[string]tier.Backend{}
	for _, b := range o.set.Servers() {
		if b.DataCentre() == o.id.dataCentre {
			wanted[b.Name()] = b
		}
	}
	for name, l := range o.lanes {
		if b, ok := wanted[name]; !ok || b != l.link.Server() {
			l.end()
			delete(o.lanes, name)
			delete(o.probers, name)
			delete(o.unheard, name)
		}
	}
	for name, b := range wanted {
		if _, ok := o.lanes[name]; ok {
			continue
		}
		p, err := prober.New(name, prober.WithColdRamp(o.set.ColdRamp()))
		if err != nil {
			continue
		}
		o.lanes[name] = o.startLane(b)
		o.unheard[name] = true
		o.probers[name] = p
	}
}

func (o *Owner) setChanged(set *tier.ShardSet) {
	o.set = set
	o.openLanes()
	o.step(dispatcher.NewSetChanged(set))
	o.reportAt = 0
}

func (o *Owner) nextProbe() (tier.Millis, bool) {
	var due tier.Millis
	found := false
	for _, p := range o.probers {
		if at, ok := p.Next(); ok && (!found || at < due) {
			due, found = at, true
		}
	}
	return due, found
}

func (o *Owner) tickProbers(now tier.Millis) {
	for name, p := range o.probers {
		if at, ok := p.Next(); ok && at <= now {
			o.sign(name, &prober.Tick{})
		}
	}
}

// sign tells a server's prober of an event.
func (o *Owner) sign(server string, e prober.Event) {
	p, ok := o.probers[server]
	if !ok {
		return
	}
	for _, a := range p.Step(o.clock.Now(), e) {
		switch a := a.(type) {
		case *prober.Probe:
			o.lanes[server].probes.TryPush(a.Number())
		case *prober.StateChanged:
			o.stateChanged(a)
		}
	}
}

func (o *Owner) stateChanged(a *prober.StateChanged) {
	o.outlet.BackendChanged(o.name, a.Server(), a.State(), a.Reason())
	o.step(dispatcher.NewBackendChanged(a.Server(), a.State()))
	o.reportAt = 0
}

// replySign tells a server's prober what a reply shows.
func (o *Owner) replySign(server string, m *repliedMessage) {
	switch r := m.result.(type) {
	case *dispatcher.ReplyOK:
		o.sign(server, prober.NewReplyOK(m.state))
	case *dispatcher.ReplyNotRun:
		o.notRunSign(server, m.state)
	case *dispatcher.ReplyFailed:
		if !m.cancelled {
			o.sign(server, prober.NewReplyFailed(m.refused))
		}
	default:
		_ = r
	}
}

func (o *Owner) notRunSign(server string, s tier.BackendState) {
	switch s {
	case tier.BackendShedding:
		o.sign(server, &prober.ReplyShed{})
	case tier.BackendLeaving:
		o.sign(server, &prober.ReplyLeaving{})
	case tier.BackendLost:
		o.sign(server, prober.NewReplyFailed(true))
	}
}

// healthCame tells a server's prober what its health endpoint said.
func (o *Owner) healthCame(m *healthMessage) {
	defer o.heard(m.server)
	if m.failed {
		o.sign(m.server, prober.NewProbeFailed(m.number, m.refused))
		return
	}
	for _, h := range m.held {
		o.noteHolding(m.server, h)
	}
	o.sign(m.server, prober.NewHealth(m.number, m.state))
}

// takesWork reports whether a server is believed to take new calls.
func (o *Owner) takesWork(server string) bool {
	p, ok := o.probers[server]
	return ok && p.State().AcceptsCalls()
}

// probe reads a server's health whenever the loop asks.
func (o *Owner) probe(l *lane) error {
	for {
		number, err := l.probes.Pop(l.ctx)
		if err != nil {
			return nil
		}
		m := o.readHealth(l, number)
		if err := o.inbox.Push(l.ctx, m); err != nil {
			return nil
		}
	}
}

func (o *Owner) readHealth(l *lane, number uint64) *healthMessage {
	ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
	defer cancel()
	m := &healthMessage{server: l.link.Server().Name(), number: number}
	reply, err := l.link.Health(ctx)
	if err != nil {
		var notRun *backendclient.NotRunError
		m.failed = true
		m.refused = errors.As(err, &notRun) && notRun.ConnectionRefused()
		return m
	}
	m.state = toState(reply.GetState())
	m.held = o.heldByServer(reply.GetHoldings())
	return m
}

// heldByServer converts what a server holds of the set.
func (o *Owner) heldByServer(l []*backendv1.Holding) []HeldVersions {
	held := make([]HeldVersions, 0, len(l))
	for _, h := range l {
		if h.GetSet() == o.name {
			held = append(held, *toHeld(h))
		}
	}
	return held
}
