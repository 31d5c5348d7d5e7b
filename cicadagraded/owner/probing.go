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

// probeTimeout bounds one probe of a backend server's health endpoint.
const probeTimeout = 1 * time.Second

// syncPools starts a worker pool and a prober for each new backend server of the set in
// this data centre, and stops those of servers that were removed or changed.
func (o *Owner) syncPools() {
	wanted := map[string]tier.Backend{}
	for _, b := range o.set.Servers() {
		if b.DataCentre() == o.id.dataCentre {
			wanted[b.Name()] = b
		}
	}
	for name, w := range o.pools {
		if b, ok := wanted[name]; !ok || b != w.client.Server() {
			w.closeWhenIdle()
			delete(o.pools, name)
			delete(o.probers, name)
			delete(o.unprobed, name)
		}
	}
	for name, b := range wanted {
		if _, ok := o.pools[name]; ok {
			continue
		}
		p, err := prober.New(name, prober.WithColdRamp(o.set.ColdRamp()))
		if err != nil {
			continue
		}
		o.pools[name] = o.startPool(b)
		o.unprobed[name] = true
		o.probers[name] = p
	}
}

func (o *Owner) setChanged(set *tier.ShardSet) {
	o.set = set
	o.syncPools()
	o.stepDispatcher(dispatcher.NewSetChanged(set))
	o.reportAt = 0
}

// nextProbe returns when the next tick of a prober is due.
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
			o.stepProber(name, &prober.Tick{})
		}
	}
}

// stepProber passes an event to the prober of a backend server and performs the resulting
// actions.
func (o *Owner) stepProber(server string, e prober.Event) {
	p, ok := o.probers[server]
	if !ok {
		return
	}
	for _, a := range p.Step(o.clock.Now(), e) {
		switch a := a.(type) {
		case *prober.Probe:
			o.pools[server].probes.TryPush(a.Number())
		case *prober.StateChanged:
			o.stateChanged(a)
		}
	}
}

func (o *Owner) stateChanged(a *prober.StateChanged) {
	o.publisher.BackendChanged(o.name, a.Server(), a.State(), a.Reason())
	o.stepDispatcher(dispatcher.NewBackendChanged(a.Server(), a.State()))
	o.reportAt = 0
}

// stepProberOnReply passes the result of a leaf call to the prober of the backend server.
func (o *Owner) stepProberOnReply(server string, m *callEndedMessage) {
	switch r := m.result.(type) {
	case *dispatcher.ReplyOK:
		o.stepProber(server, prober.NewReplyOK(m.state))
	case *dispatcher.ReplyNotRun:
		o.stepProberOnNotRun(server, m.state)
	case *dispatcher.ReplyFailed:
		if !m.cancelled {
			o.stepProber(server, prober.NewReplyFailed(m.connectionRefused))
		}
	default:
		_ = r
	}
}

func (o *Owner) stepProberOnNotRun(server string, s tier.BackendState) {
	switch s {
	case tier.BackendShedding:
		o.stepProber(server, &prober.ReplyShed{})
	case tier.BackendLeaving:
		o.stepProber(server, &prober.ReplyLeaving{})
	case tier.BackendLost:
		o.stepProber(server, prober.NewReplyFailed(true))
	}
}

// probeEnded passes the result of a probe to the prober of the backend server.
func (o *Owner) probeEnded(m *probeEndedMessage) {
	defer o.markProbed(m.server)
	if m.failed {
		o.stepProber(m.server, prober.NewProbeFailed(m.number, m.connectionRefused))
		return
	}
	for _, h := range m.holdings {
		o.updateHolding(m.server, h)
	}
	o.stepProber(m.server, prober.NewHealth(m.number, m.state))
}

// takesWork reports whether a backend server is assumed to accept new calls.
func (o *Owner) takesWork(server string) bool {
	p, ok := o.probers[server]
	return ok && p.State().AcceptsCalls()
}

// runProbes probes a backend server whenever the event loop requests it, until the pool
// is stopped.
func (o *Owner) runProbes(w *workerPool) error {
	for {
		number, err := w.probes.Pop(w.ctx)
		if err != nil {
			return nil
		}
		m := o.readHealth(w, number)
		if err := o.inbox.Push(w.ctx, m); err != nil {
			return nil
		}
	}
}

func (o *Owner) readHealth(w *workerPool, number uint64) *probeEndedMessage {
	ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
	defer cancel()
	m := &probeEndedMessage{server: w.client.Server().Name(), number: number}
	reply, err := w.client.Health(ctx)
	if err != nil {
		var notRun *backendclient.NotRunError
		m.failed = true
		m.connectionRefused = errors.As(err, &notRun) && notRun.ConnectionRefused()
		return m
	}
	m.state = toState(reply.GetState())
	m.holdings = o.holdingsOfSet(reply.GetHoldings())
	return m
}

// holdingsOfSet converts the holdings of a backend server that belong to the owner's set.
func (o *Owner) holdingsOfSet(list []*backendv1.Holding) []HeldVersions {
	holdings := make([]HeldVersions, 0, len(list))
	for _, h := range list {
		if h.GetSet() == o.name {
			holdings = append(holdings, *toHeldVersions(h))
		}
	}
	return holdings
}
