package entry

import (
	"cmp"
	"slices"

	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/router"
)

// limitCold applies the rates that services name for cold leafs, and the settings' bound. The
// caller holds the lock.
func (e *Entry) limitCold() {
	overage, slack := e.settings.Load().ColdBound()
	e.scheduler.LimitCold(func(name string) router.Service {
		if t := e.table.Load(); t != nil {
			return t.Service(name)
		}
		return router.Service{}
	}, overage, slack)
}

// registerLeafs applies registrations that the view did not have. The caller holds the lock.
func (e *Entry) registerLeafs(entries []lister.Entry) {
	for _, entry := range entries {
		if entry.Readable() {
			e.scheduler.Balancer().Registered(e.clock.Now(), entry.Leaf())
		}
	}
}

// maxColdLines is how many leafs get a log line of their own when they become cold or warm.
const maxColdLines = 8

// logColdChanges logs which leafs have become cold or warm, and the calls held back since the
// last time.
func (e *Entry) logColdChanges() {
	e.mu.Lock()
	changes := e.scheduler.Balancer().TakeColdChanges(e.clock.Now())
	count := e.scheduler.Balancer().ColdLimitedCount(e.clock.Now())
	held := e.scheduler.HeldByCold()
	e.mu.Unlock()
	slices.SortFunc(changes, func(a, b balancer.ColdChange) int { return cmp.Compare(a.Leaf().ID(), b.Leaf().ID()) })
	for _, c := range changes[:min(len(changes), maxColdLines)] {
		if c.Remaining() == 0 {
			e.log.Info("leaf-warm", "leaf", c.Leaf().ID(), "service", c.Leaf().Service())
			continue
		}
		e.log.Info("leaf-cold", "leaf", c.Leaf().ID(), "service", c.Leaf().Service(), "data-centre", c.Leaf().DataCentre(),
			"remaining-ms", int64(c.Remaining()), "per-second", c.PerSecond(), "share", c.Share())
	}
	if more := len(changes) - maxColdLines; more > 0 {
		e.log.Info("leafs-cold-or-warm", "more", more, "cold", count)
	}
	if held != e.heldByCold {
		e.log.RateLimitedInfo("leaf-cold-held", "calls", held-e.heldByCold, "cold", count)
		e.heldByCold = held
	}
}
