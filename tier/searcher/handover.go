package searcher

import "cicadagrade.example/tier"

// maxHandOvers is how many VMs in turn may get a part while this VM has lost its links to the
// leafs. Each may decline it or fail.
const maxHandOvers = 4

// linksLostReason is why a part is lost that neither this VM nor another one can query.
const linksLostReason = "links-lost"

// vmsOverloadedReason is why a part is lost that this VM can't query and that overloaded VMs have
// refused.
const vmsOverloadedReason = "vms-overloaded"

// overdue lists the parts that this VM queries itself and whose calls will not be waited for, now
// that it has lost its links to the leafs. A call on a connection that still works is
// answered before it is due for a hedge.
func (s *Search) overdue(now tier.Millis) []int {
	var list []int
	for i := range s.parts {
		p := &s.parts[i]
		if p.arrived || p.lost || p.held || p.shareIndex != noShare || p.inFlight > 0 && (!s.terms.idempotent || now < p.hedgeAt && p.hedgeAt != never) {
			continue
		}
		list = append(list, i)
	}
	return list
}

// handOver has other VMs query parts, because this VM has lost its links to the leafs. It cancels
// their calls. Parts that no VM takes are lost, as are those of a search for another VM, which can
// query them itself.
func (s *Search) handOver(now tier.Millis, parts []int, actions []Action) []Action {
	if s.terms.deadline-now < minCallTime {
		return actions
	}
	byAttempts := map[int][]int{}
	for _, i := range parts {
		p := &s.parts[i]
		if s.quarantined(now) {
			s.markLost(p, quarantinedReason)
			continue
		}
		if s.loseUnplaced(p) {
			continue
		}
		used := p.ranCalls + s.arrivedCalls(i)
		if used >= s.terms.maxAttempts {
			if p.inFlight == 0 {
				s.markLost(p, "")
			}
			continue
		}
		s.scheduler.dequeue(now, s, i)
		if p.inFlight > 0 {
			s.mayHaveRun = true
			actions = s.cancelPart(now, i, actions)
		}
		p.ranCalls, p.handOvers = used, p.handOvers+1
		p.hedgeAt, p.retryAt = never, never
		p.mayHaveRun = p.mayHaveRun || used > 0
		if p.handOvers > maxHandOvers || s.terms.flushes {
			s.markLost(p, linksLostReason)
			continue
		}
		byAttempts[used] = append(byAttempts[used], i)
	}
	for used := range s.terms.maxAttempts {
		if list := byAttempts[used]; len(list) > 0 {
			actions = s.redelegate(now, list, s.terms.maxAttempts-used, actions)
		}
	}
	return actions
}

// arrivedCalls counts the calls of a part in flight that may have reached their leafs.
func (s *Search) arrivedCalls(partIndex int) int {
	count := 0
	for k := range s.calls {
		if c := &s.calls[k]; c.part == partIndex && !c.ended && s.scheduler.balancer.MayHaveArrived(c.sentAt) {
			count++
		}
	}
	return count
}
