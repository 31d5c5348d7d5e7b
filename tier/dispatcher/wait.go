package dispatcher

import (
	"cicadagrade.example/tier"
)

// Parameters of the estimates that admission is based on.
const (
	startGapWeight    = 1.0 / 16        // weight of the newest gap in the average
	openGapWeight     = 1.0 / 4         // weight of a gap that has not ended yet
	startGapMaxAge    = 2 * tier.Second // age after which a measured gap is not used any more
	serviceTimeWeight = 1.0 / 64        // weight of the newest latency in a rank's average
	abandonWeight     = 1.0 / 16        // weight of the newest abandoned part
	abandonGrowth     = 1 + 1.0/256     // factor on the estimate for each answered part
	maxAbandonTime    = float64(tier.MaxDeadlineAllowed)
)

// startGap measures the time between the starts of first calls of one rank and shard
// while tasks are queued. Its inverse is the rate at which the queue drains.
type startGap struct {
	average     float64     // in milliseconds
	sampledAt   tier.Millis // when the last gap was measured
	lastStart   tier.Millis // when the last call started
	moreWaiting bool        // whether tasks were queued after the last start
}

func (g *startGap) observeStart(now tier.Millis, waiting int) {
	if g.moreWaiting {
		gap := max(minLatency, float64(now-g.lastStart))
		if !g.fresh(now) {
			g.average = gap
		}
		g.average += startGapWeight * (gap - g.average)
		g.sampledAt = now
	}
	g.lastStart, g.moreWaiting = now, waiting > 0
}

// fresh reports whether a gap was measured recently.
func (g *startGap) fresh(now tier.Millis) bool {
	return g.average > 0 && now-g.sampledAt <= startGapMaxAge
}

// expected is the expected gap: the measured average if it is fresh, otherwise the
// given fallback. A longer gap that has not ended yet counts in part.
func (g *startGap) expected(now tier.Millis, fallback float64) float64 {
	gap := fallback
	if g.fresh(now) {
		gap = g.average
	}
	if current := float64(now - g.lastStart); g.moreWaiting && current > gap {
		gap += openGapWeight * (current - gap)
	}
	return gap
}

func (d *Dispatcher) observeStart(t *task) {
	h, r := t.shard, t.rank()
	h.startGaps[r].observeStart(d.now, h.queuedTasks(r)-1)
}

// queuedTasks is how many tasks of a rank wait for their first call.
func (h *shard) queuedTasks(r tier.Rank) int {
	n := 0
	for _, q := range h.queues {
		if q.rank == r {
			n += len(q.tasks)
		}
	}
	return n
}

// queuedAhead is how many queued tasks of the part's rank would start before its own.
func (h *shard) queuedAhead(p *part) int {
	n := 0
	for _, q := range h.queues {
		if q.rank == p.profile.Rank() {
			n += q.position(p)
		}
	}
	return n
}

func (d *Dispatcher) observeServiceTime(r tier.Rank, took tier.Millis) {
	m := max(float64(took), minLatency)
	if d.serviceTimes[r] == 0 {
		d.serviceTimes[r] = m
	}
	d.serviceTimes[r] += serviceTimeWeight * (m - d.serviceTimes[r])
}

// floorStartGap is the expected gap between starts of a rank's calls for a shard if the
// rank gets no more slot time than its floor, or 0 if the rank has no floor or no slots.
func (d *Dispatcher) floorStartGap(h *shard, r tier.Rank) float64 {
	n, service := 0.0, d.serviceTimes[r]
	for _, s := range h.replicas {
		n += float64(d.callLimit(s)) / float64(len(s.shards))
		if d.serviceTimes[r] == 0 {
			service = max(service, s.expectedLatency(d.now))
		}
	}
	if f := d.set.Floor(r) * n; f > 0 {
		return service / f
	}
	return 0
}

// estimateWait estimates how many milliseconds a task of a part would wait for its first
// call. For Reports it assumes no more service than their floor, so that those admitted
// end in time even if a burst of more urgent work follows.
func (d *Dispatcher) estimateWait(h *shard, p *part) float64 {
	r := p.profile.Rank()
	ahead := h.queuedAhead(p)
	higher, rank := h.queuedAtHigherRank(r)
	switch {
	case ahead == 0 && higher == 0:
		return 0
	case r == tier.Reports:
		return float64(ahead+1) * max(d.expectedStartGap(h, r), d.floorStartGap(h, r))
	case ahead > 0:
		return float64(ahead+1) * d.expectedStartGap(h, r)
	default:
		return float64(higher+1) * d.expectedStartGap(h, rank)
	}
}

// queuedAtHigherRank returns, of the ranks more urgent than r, the least urgent one
// with queued tasks, and how many it has.
func (h *shard) queuedAtHigherRank(r tier.Rank) (int, tier.Rank) {
	for q := r - 1; q >= tier.Urgent; q-- {
		if n := h.queuedTasks(q); n > 0 {
			return n, q
		}
	}
	return 0, r
}

// expectedStartGap is the expected gap between starts of a rank's calls for a shard: as
// measured, or derived from the capacity of the replicas without a recent measurement.
func (d *Dispatcher) expectedStartGap(h *shard, r tier.Rank) float64 {
	return h.startGaps[r].expected(d.now, d.capacityStartGap(h))
}

// capacityStartGap is the gap that the replicas' slots and latencies allow, shared
// evenly among the shards of each replica.
func (d *Dispatcher) capacityStartGap(h *shard) float64 {
	rate := 0.0
	for _, s := range h.replicas {
		rate += float64(d.callLimit(s)) / s.expectedLatency(d.now) / float64(len(s.shards))
	}
	if rate == 0 {
		return float64(maxBackoff)
	}
	return 1 / rate
}

// abandonTime estimates how long clients of a rank wait for an answer before they
// disconnect, in milliseconds. A part abandoned earlier than the estimate lowers it
// towards the part's age, and each answered part raises it.
type abandonTime struct{ estimate float64 }

func (a *abandonTime) observeAbandoned(age tier.Millis) {
	a.estimate += abandonWeight * min(0, float64(age)-a.estimate)
}

func (a *abandonTime) observeAnswered() { a.estimate = min(maxAbandonTime, a.estimate*abandonGrowth) }
