package partitioner

import (
	"slices"
	"testing"
)

// Guards against a VM that others take for unreachable, so that nobody copies its view, because it
// declines shares.
func TestSuspicionForSharesLeavesAVMReachable(t *testing.T) {
	const other = "r1-strong-1"
	in := func(list []Member) bool {
		return slices.ContainsFunc(list, func(m Member) bool { return m.VM().Name() == other })
	}
	for name, c := range map[string]struct {
		causes                   []Cause
		probed, answered, reread bool
		takesShares, reachable   bool
	}{
		"sound":                              {takesShares: true, reachable: true},
		"declines shares":                    {causes: []Cause{ShareDeclined}, reachable: true},
		"accepts shares late":                {causes: []Cause{ShareLate}, reachable: true},
		"a share failed":                     {causes: []Cause{ShareFailed}},
		"a fetch failed":                     {causes: []Cause{FetchFailed}},
		"declines, then a fetch failed":      {causes: []Cause{ShareDeclined, FetchFailed}},
		"declines, then gone":                {causes: []Cause{ShareDeclined}, probed: true},
		"declines, and answers the probe":    {causes: []Cause{ShareDeclined}, probed: true, answered: true, reachable: true},
		"failed, answers the probe, no turn": {causes: []Cause{FetchFailed}, probed: true, answered: true, reachable: true},
		"a fetch failed, the next one not":   {causes: []Cause{FetchFailed}, reread: true, reachable: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newFleet(3, 0)["r1-strong-0"]
			for _, cause := range c.causes {
				p.Failed(1000, other, cause)
			}
			switch {
			case c.answered || c.reread:
				p.Reached(other)
			case c.probed:
				p.ProbeFailed(other)
			}
			if got := in(p.HealthyPeers()); got != c.takesShares {
				t.Errorf("takes shares: %v", got)
			}
			if relay, peer, neighbour := in(p.Relays()), in(p.ReachablePeers()), in(p.Neighbours()); relay != c.reachable || peer != c.reachable || neighbour != c.reachable {
				t.Errorf("relay %v, peer %v, neighbour %v; expected %v", relay, peer, neighbour, c.reachable)
			}
			p.Recovered(1500, other)
			if !in(p.HealthyPeers()) || !in(p.Relays()) {
				t.Error("a VM that answers a probe that it takes shares stays suspected")
			}
		})
	}
}
