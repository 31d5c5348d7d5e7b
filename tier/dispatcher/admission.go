package dispatcher

import (
	"cicadagrade.example/tier"
)

// Limits of admission.
const (
	drainWeight    = 1.0 / 16        // of the newest gap in the average
	pendingWeight  = 1.0 / 4         // of a gap that has not ended yet
	drainMemory    = 2 * tier.Second // after which a measured gap is forgotten
	serviceWeight  = 1.0 / 64        // of the newest latency in a rank's average
	patienceWeight = 1.0 / 16        // of the newest departure
	patienceGrowth = 1 + 1.0/256
	maxPatience    = float64(tier.MaxDeadlineAllowed)
	usableDeadline = 0.8 // part of the time left that queueing and service may fill
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

// excess is by how much a part would miss the usable part of its deadline.
func (d *Dispatcher) excess(p *part) float64 {
	longest := 0.0
	for _, t := range p.tasks {
		if t.shard != nil {
			longest = max(longest, d.wait(t.shard, p))
		}
	}
	if longest == 0 {
		return 0
	}
	if m, ok := d.hedger.Delay(); ok {
		longest += float64(m)
	}
	left := min(float64(p.deadline-d.now), d.patience[p.profile.Rank()].span)
	return longest - usableDeadline*left
}

// submit accepts a part or refuses it before any leaf call.
func (d *Dispatcher) submit(e *Submit) {
	r := e.profile.Rank()
	p := d.newPart(e)
	d.pressure.arrived(r)
	switch {
	case d.leaving:
		d.refuse(e.part, r, tier.RefuseLeaving, 0)
	case d.index < 0 || d.index >= min(d.owners, d.maxOwners):
		d.refuse(e.part, r, tier.RefuseNoOwner, 0)
	case e.deadline <= d.now:
		d.refuse(e.part, r, tier.RefuseDeadline, 0)
	case d.queued.byProfile[e.profile.Name()] >= e.profile.QueueLimit() || d.queued.byRank[r] >= d.queueSize:
		d.shed(e.part, r, d.retryAfter(r))
	default:
		d.admit(p)
	}
}

func (d *Dispatcher) newPart(e *Submit) *part {
	d.sequence++
	p := &part{
		id: e.part, order: d.sequence, profile: e.profile, deadline: e.deadline,
		snapshot: e.snapshot, repeatable: e.repeatable, arrived: d.now,
	}
	for _, id := range e.shards {
		p.tasks = append(p.tasks, &task{part: p, shard: d.shards[id], id: id})
	}
	p.open, p.unstarted = len(p.tasks), len(p.tasks)
	return p
}

func (d *Dispatcher) admit(p *part) {
	if x := d.excess(p); x > 0 {
		d.shed(p.id, p.profile.Rank(), d.jitter(x))
		return
	}
	d.parts[p.id] = p
	d.queued.add(p)
	d.counters.accepted++
	for _, t := range p.tasks {
		if why := t.unservable(); why != "" {
			t.reason = why
			d.closeTask(t)
			continue
		}
		d.enqueue(t)
	}
	if p.open == 0 {
		d.endPart(p)
		return
	}
	d.timers.add(timer{at: p.deadline, kind: timerDeadline, part: p})
	for _, t := range p.tasks {
		if !t.done {
			d.fillShard(t.shard)
		}
	}
}

// shed refuses a part because of the load.
func (d *Dispatcher) shed(id uint64, r tier.Rank, lacks tier.Millis) {
	d.refuse(id, r, tier.RefuseOverload, d.pressure.refused(d.now, r, lacks))
}

func (d *Dispatcher) refuse(id uint64, r tier.Rank, why tier.RefuseReason, after tier.Millis) {
	d.counters.refused[r]++
	d.act(&PartRefused{part: id, reason: why, retryAfter: after})
}

// retryAfter is when the work of a rank that waits now will have started.
func (d *Dispatcher) retryAfter(r tier.Rank) tier.Millis {
	return d.jitter(float64(d.drainTime(r)))
}

// drainTime is how long the queue of a rank takes to drain.
func (d *Dispatcher) drainTime(r tier.Rank) tier.Millis {
	longest := 0.0
	for _, h := range d.shards {
		if n := h.queued(r); n > 0 {
			longest = max(longest, float64(n)*d.gap(h, r))
		}
	}
	return tier.Millis(longest)
}

// jitter lengthens a wait by up to a half, so that those refused together do
// not return together.
func (d *Dispatcher) jitter(wait float64) tier.Millis {
	return tier.Millis(wait*(1+d.random.Float64()/2)) + 1
}
