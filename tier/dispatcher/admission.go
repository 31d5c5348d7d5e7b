package dispatcher

import "cicadagrade.example/tier"

// Limits of admission.
const (
	usableDeadline = 0.8 // part of the time left that queueing and service may fill
	spareable      = 2   // at most one in so many shards of a part is spared
)

// excess is by how much a part would miss the usable part of its deadline. A
// few shards that wait only because all their servers here are impaired don't
// count, if other data centres have replicas: they are returned as spared.
func (d *Dispatcher) excess(p *part) (float64, []*task) {
	longest, all := 0.0, 0.0
	var spared []*task
	for _, t := range p.tasks {
		if t.shard == nil {
			continue
		}
		x := d.excessOf(t)
		all = max(all, x)
		if x > 0 && p.repeatable && d.impaired(t.shard) {
			spared = append(spared, t)
			continue
		}
		longest = max(longest, x)
	}
	if spareable*len(spared) > len(p.tasks) {
		return all, nil
	}
	return longest, spared
}

func (d *Dispatcher) excessOf(t *task) float64 {
	wait := d.wait(t.shard, t.part)
	if wait == 0 {
		return 0
	}
	if m, ok := d.hedger.Delay(); ok {
		wait += float64(m)
	}
	left := min(float64(t.part.deadline-d.now), d.patience[t.rank()].span)
	return wait - usableDeadline*left
}

// impaired reports whether every server of a shard here takes at most half of
// what this owner may give it, while other data centres have replicas.
func (d *Dispatcher) impaired(h *shard) bool {
	for _, s := range h.replicas {
		if 2*d.limit(s) > d.share(s) {
			return false
		}
	}
	return h.elsewhere
}

// submit accepts a part or refuses it before any leaf call.
func (d *Dispatcher) submit(e *Submit) {
	r := e.profile.Rank()
	p := d.newPart(e)
	d.pressure.arrived(r)
	switch {
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
	x, spared := d.excess(p)
	if x > 0 {
		d.shed(p.id, p.profile.Rank(), d.jitter(x))
		return
	}
	d.parts[p.id] = p
	d.queued.add(p)
	d.counters.accepted++
	for _, t := range spared {
		t.reason = tier.MissRefused
		d.closeTask(t)
	}
	for _, t := range p.tasks {
		if t.done {
			continue
		}
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
