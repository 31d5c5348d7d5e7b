package locator

import (
	"slices"

	"cicadagrade.example/tier"
)

// A VM that did not answer a request is tried last for InitialSuspicion. The time doubles
// with each further failure, up to MaxSuspicion: gossip takes some seconds to detect that
// the VM is lost.
const (
	InitialSuspicion = 2 * tier.Second
	MaxSuspicion     = 16 * tier.Second
)

// suspicion records when a VM did not answer and for how long it is tried last.
type suspicion struct {
	since    tier.Millis
	duration tier.Millis
}

// MarkFailed records that a VM did not answer a request. Further failures during a
// suspicion do not count.
func (l *Locator) MarkFailed(vm string) {
	now := l.clock.Now()
	next := suspicion{since: now, duration: InitialSuspicion}
	if last, ok := l.suspicionOf(vm); ok {
		if now-last.since < last.duration {
			return
		}
		next.duration = min(2*last.duration, MaxSuspicion)
	}
	l.suspicions.Store(vm, next)
}

// MarkAnswered records that a VM answered a request, and ends its suspicion.
func (l *Locator) MarkAnswered(vm string) {
	if _, ok := l.suspicions.Load(vm); ok {
		l.suspicions.Delete(vm)
	}
}

func (l *Locator) suspicionOf(vm string) (suspicion, bool) {
	v, ok := l.suspicions.Load(vm)
	if !ok {
		return suspicion{}, false
	}
	return v.(suspicion), true
}

// sortByPenalty sorts VMs that have not reported holdings behind those that have, and VMs
// under suspicion behind all others. It keeps the order of equal ones.
func (l *Locator) sortByPenalty(p *placement, vms []tier.VM) []tier.VM {
	now := l.clock.Now()
	slices.SortStableFunc(vms, func(a, b tier.VM) int {
		return l.penalty(now, p, a.Name()) - l.penalty(now, p, b.Name())
	})
	return vms
}

// penalty returns the sort key of a VM; the VMs with the lowest one are tried first.
func (l *Locator) penalty(now tier.Millis, p *placement, vm string) int {
	last, failed := l.suspicionOf(vm)
	switch {
	case failed && now-last.since < last.duration:
		return 2
	case !p.hasHoldings[vm]:
		return 1
	default:
		return 0
	}
}
