package locator

import (
	"slices"

	"cicadagrade.example/tier"
)

// Spans for which a VM that did not answer is asked last. The span doubles
// with each further failure: gossip takes some seconds to tell that it is lost.
const (
	InitialSuspicion = 2 * tier.Second
	MaxSuspicion     = 16 * tier.Second
)

// suspicion is what is held against a VM that did not answer.
type suspicion struct {
	since tier.Millis
	span  tier.Millis
}

// MarkFailed notes that a VM did not answer a request.
func (l *Locator) MarkFailed(vm string) {
	now := l.clock.Now()
	next := suspicion{since: now, span: InitialSuspicion}
	if last, ok := l.suspected(vm); ok {
		if now-last.since < last.span {
			return
		}
		next.span = min(2*last.span, MaxSuspicion)
	}
	l.failed.Store(vm, next)
}

// MarkAnswered notes that a VM answered a request.
func (l *Locator) MarkAnswered(vm string) {
	if _, ok := l.failed.Load(vm); ok {
		l.failed.Delete(vm)
	}
}

func (l *Locator) suspected(vm string) (suspicion, bool) {
	v, ok := l.failed.Load(vm)
	if !ok {
		return suspicion{}, false
	}
	return v.(suspicion), true
}

// order moves VMs that have not reported behind those that have, and VMs that
// did not answer of late behind all.
func (l *Locator) order(p *place, vms []tier.VM) []tier.VM {
	now := l.clock.Now()
	slices.SortStableFunc(vms, func(a, b tier.VM) int {
		return l.demerit(now, p, a.Name()) - l.demerit(now, p, b.Name())
	})
	return vms
}

// demerit is 0 for a VM to ask first.
func (l *Locator) demerit(now tier.Millis, p *place, vm string) int {
	held, failed := l.suspected(vm)
	switch {
	case failed && now-held.since < held.span:
		return 2
	case !p.reported[vm]:
		return 1
	default:
		return 0
	}
}
