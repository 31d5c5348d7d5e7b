package searcher

import "cicadagrade.example/tier"

// queueReason is why a part is lost that could not be served before the deadline, because of
// those that are queued before it.
const queueReason = "queue-too-long"

const (
	// minDrainTime and minDrained are how long, and for how many parts, a queue must have
	// been served without running empty before its rate is relied on, and how lately. Leafs
	// pause for up to 300 ms; those that are silent for longer may be back before the deadline.
	minDrainTime = 1 * tier.Second
	minDrained   = 8
	// drainWindow is about the time over which the rate is averaged.
	drainWindow = 3 * tier.Second
	// drainOptimism is by how much the rate is overestimated: leafs that other VMs use now may
	// be free soon, and no request may be refused that would have been served.
	drainOptimism = 2.0
)

// drain measures how fast parts leave the queue of a service, while some wait.
type drain struct {
	since, last tier.Millis
	count       float64
}

// drained records that a part was taken from the queue of a service.
func (sc *Scheduler) drained(now tier.Millis, service string) {
	d, ok := sc.drains[service]
	if !ok {
		sc.drains[service] = &drain{since: now, last: now}
		return
	}
	if age := now - d.since; age > 2*drainWindow {
		d.since, d.count = now-drainWindow, d.count*float64(drainWindow)/float64(age)
	}
	d.last = now
	d.count++
}

// queueExcess is how much later than by its deadline a part of a single-leaf request of an
// organisation would be served, or 0 if it may be served in time. Parts of other organisations
// are before it up to their weight. The rate is that at which this VM has lately served the
// queue; without enough of that, nothing is known.
func (sc *Scheduler) queueExcess(now tier.Millis, s *Search, partIndex int) tier.Millis {
	p := &s.parts[partIndex]
	d := sc.drains[p.service]
	if s.terms.organisation == "" || len(s.parts) > 1 || s.terms.flushes || len(s.calls) > 0 || s.mayHaveRun ||
		d == nil || now-d.since < minDrainTime || now-d.last > minDrainTime || d.count < minDrained {
		return 0
	}
	perMilli := drainOptimism * d.count / float64(now-d.since)
	wait := tier.Millis(float64(sc.partsBefore(now, s, p.service)) / perMilli)
	return max(0, now+wait-s.terms.deadline)
}

// partsBefore is the least number of queued parts that are served before a new part of a
// search. Parts past their target are not: a new one goes before them.
func (sc *Scheduler) partsBefore(now tier.Millis, s *Search, service string) int {
	own, before := 0, 0
	type waiting struct {
		parts  int
		weight float64
	}
	others := map[string]waiting{}
	for _, q := range sc.queue[service] {
		switch terms := &q.search.terms; {
		case terms.target <= now:
		case terms.rank < s.terms.rank:
			before++
		case terms.rank > s.terms.rank:
		case terms.organisation == s.terms.organisation:
			if terms.target <= s.terms.target {
				own++
			}
		default:
			w := others[terms.organisation]
			others[terms.organisation] = waiting{w.parts + 1, terms.weight}
		}
	}
	before += own
	for _, w := range others {
		if w.weight > 0 && s.terms.weight > 0 {
			before += min(w.parts, int(float64(own)*w.weight/s.terms.weight))
		}
	}
	return before
}
