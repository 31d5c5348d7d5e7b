package dispatcher

import (
	"cicadagrade.example/tier"
)

// Limits of what is measured for admission.
const (
	drainWeight    = 1.0 / 16        // of the newest gap in the average
	pendingWeight  = 1.0 / 4         // of a gap that has not ended yet
	drainMemory    = 2 * tier.Second // after which a measured gap is forgotten
	serviceWeight  = 1.0 / 64        // of the newest latency in a rank's average
	patienceWeight = 1.0 / 16        // of the newest departure
	patienceGrowth = 1 + 1.0/256
	maxPatience    = float64(tier.MaxDeadlineAllowed)
)

// drain measures the gap between starts of a rank's calls for one shard,
// while more of them wait.
type drain struct {
	gap     float64     // average, in milliseconds
	sampled tier.Millis // when a gap was last counted
	last    tier.Millis // start of a call
	again   bool        // more waited after it
}

func (w *drain) start(now tier.Millis, left int) {
	if w.again {
		g := max(minLatency, float64(now-w.last))
		if !w.fresh(now) {
			w.gap = g
		}
		w.gap += drainWeight * (g - w.gap)
		w.sampled = now
	}
	w.last, w.again = now, left > 0
}

// fresh reports whether a gap was counted lately.
func (w *drain) fresh(now tier.Millis) bool {
	return w.gap > 0 && now-w.sampled <= drainMemory
}

// expected is the gap to expect: the measured one, or else the given one. A
// gap that has not ended yet counts in part.
func (w *drain) expected(now tier.Millis, otherwise float64) float64 {
	g := otherwise
	if w.fresh(now) {
		g = w.gap
	}
	if open := float64(now - w.last); w.again && open > g {
		g += pendingWeight * (open - g)
	}
	return g
}

func (d *Dispatcher) measureDrain(t *task) {
	h, r := t.shard, t.rank()
	h.drains[r].start(d.now, h.queued(r)-1)
}

// queued is how many tasks of a rank wait for their first call.
func (h *shard) queued(r tier.Rank) int {
	n := 0
	for _, l := range h.lanes {
		if l.rank == r {
			n += len(l.tasks)
		}
	}
	return n
}

// ahead is how many tasks of the part's rank would start before its own.
func (h *shard) ahead(p *part) int {
	n := 0
	for _, l := range h.lanes {
		if l.rank == p.profile.Rank() {
			n += l.place(p)
		}
	}
	return n
}

func (d *Dispatcher) measureService(r tier.Rank, took tier.Millis) {
	m := max(float64(took), minLatency)
	if d.service[r] == 0 {
		d.service[r] = m
	}
	d.service[r] += serviceWeight * (m - d.service[r])
}

// floorGap is the gap between starts of a rank for a shard while it gets no
// more than its floor; 0 when that is not known.
func (d *Dispatcher) floorGap(h *shard, r tier.Rank) float64 {
	n, service := 0.0, d.service[r]
	for _, s := range h.replicas {
		n += float64(d.limit(s)) / float64(len(s.shards))
		if d.service[r] == 0 {
			service = max(service, s.expected(d.now))
		}
	}
	if f := d.set.Floor(r) * n; f > 0 {
		return service / f
	}
	return 0
}

// wait estimates how long a task of a part would wait for its first call.
// Reports count on no more than their floor, so that those accepted end in
// time even when more urgent work floods in after them.
func (d *Dispatcher) wait(h *shard, p *part) float64 {
	r := p.profile.Rank()
	ahead := h.ahead(p)
	higher, of := h.queuedAbove(r)
	switch {
	case ahead == 0 && higher == 0:
		return 0
	case r == tier.Reports:
		return float64(ahead+1) * max(d.gap(h, r), d.floorGap(h, r))
	case ahead > 0:
		return float64(ahead+1) * d.gap(h, r)
	default:
		return float64(higher+1) * d.gap(h, of)
	}
}

// queuedAbove counts the waiting tasks of the least urgent rank above r that
// has any.
func (h *shard) queuedAbove(r tier.Rank) (int, tier.Rank) {
	for q := r - 1; q >= tier.Urgent; q-- {
		if n := h.queued(q); n > 0 {
			return n, q
		}
	}
	return 0, r
}

// gap is the gap to expect between starts of a rank for a shard: as measured,
// or else what its replicas' slots and latencies give.
func (d *Dispatcher) gap(h *shard, r tier.Rank) float64 {
	return h.drains[r].expected(d.now, d.unhinderedGap(h))
}

func (d *Dispatcher) unhinderedGap(h *shard) float64 {
	rate := 0.0
	for _, s := range h.replicas {
		rate += float64(d.limit(s)) / s.expected(d.now) / float64(len(s.shards))
	}
	if rate == 0 {
		return float64(maxBackoff)
	}
	return 1 / rate
}

// patience estimates how long the callers of a rank wait for an answer before
// they go away. Each departure pulls it towards its age, each answer lifts it.
type patience struct{ span float64 }

func (w *patience) departed(age tier.Millis) {
	w.span += patienceWeight * min(0, float64(age)-w.span)
}

func (w *patience) answered() { w.span = min(maxPatience, w.span*patienceGrowth) }
