package dispatcher

import "cicadagrade.example/tier"

// Limits of the admission check.
const (
	usableDeadlineFraction = 0.8 // fraction of the remaining time for queueing and service
	skippedShardDivisor    = 2   // at most 1/2 of a part's shards may be skipped
)

// excessWait estimates by how many milliseconds a part exceeds the usable fraction of
// its remaining time; 0 or less means that it can be admitted. The remaining time ends
// when the client is expected to disconnect, if that is before the deadline. Shards that
// are late only because all their servers in this data centre are impaired don't count if
// other data centres have replicas. They are returned to be skipped, unless they are too
// large a fraction of the part.
func (d *Dispatcher) excessWait(p *part) (float64, []*task) {
	longest, all := 0.0, 0.0
	var skipped []*task
	for _, t := range p.tasks {
		if t.shard == nil {
			continue
		}
		excess := d.excessWaitOf(t)
		all = max(all, excess)
		if excess > 0 && p.idempotent && d.impaired(t.shard) {
			skipped = append(skipped, t)
			continue
		}
		longest = max(longest, excess)
	}
	if skippedShardDivisor*len(skipped) > len(p.tasks) {
		return all, nil
	}
	return longest, skipped
}

func (d *Dispatcher) excessWaitOf(t *task) float64 {
	wait := d.estimateWait(t.shard, t.part)
	if wait == 0 {
		return 0
	}
	if m, ok := d.hedger.Delay(); ok {
		wait += float64(m)
	}
	left := min(float64(t.part.deadline-d.now), d.abandonTimes[t.rank()].estimate)
	return wait - usableDeadlineFraction*left
}

// impaired reports whether every local server of a shard accepts at most half of
// this owner's share of its slots, while other data centres have replicas.
func (d *Dispatcher) impaired(h *shard) bool {
	for _, s := range h.replicas {
		if 2*d.callLimit(s) > d.share(s) {
			return false
		}
	}
	return h.hasRemoteReplicas
}

// handleSubmit accepts a part, or refuses it before making any leaf call.
func (d *Dispatcher) handleSubmit(e *Submit) {
	r := e.profile.Rank()
	p := d.newPart(e)
	d.overload.recordArrival(r)
	switch {
	case d.ownerIndex < 0 || d.ownerIndex >= min(d.owners, d.maxOwners):
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
		snapshot: e.snapshot, idempotent: e.idempotent, arrived: d.now,
	}
	for _, id := range e.shards {
		p.tasks = append(p.tasks, &task{part: p, shard: d.shards[id], shardID: id})
	}
	p.openTasks, p.unstartedTasks = len(p.tasks), len(p.tasks)
	return p
}

func (d *Dispatcher) admit(p *part) {
	excess, skipped := d.excessWait(p)
	if excess > 0 {
		d.shed(p.id, p.profile.Rank(), d.jitter(excess))
		return
	}
	d.parts[p.id] = p
	d.queued.add(p)
	d.counters.accepted++
	for _, t := range skipped {
		t.reason = tier.MissRefused
		d.closeTask(t)
	}
	for _, t := range p.tasks {
		if t.done {
			continue
		}
		if reason := t.unservableReason(); reason != "" {
			t.reason = reason
			d.closeTask(t)
			continue
		}
		d.enqueue(t)
	}
	if p.openTasks == 0 {
		d.endPart(p)
		return
	}
	d.timers.add(timer{at: p.deadline, kind: timerDeadline, part: p})
	for _, t := range p.tasks {
		if !t.done {
			d.scheduleShard(t.shard)
		}
	}
}

// shed refuses a part because of overload. The part could be admitted after minWait at
// the earliest.
func (d *Dispatcher) shed(id uint64, r tier.Rank, minWait tier.Millis) {
	d.refuse(id, r, tier.RefuseOverload, d.overload.recordRefusal(d.now, r, minWait))
}

func (d *Dispatcher) refuse(id uint64, r tier.Rank, reason tier.RefuseReason, retryAfter tier.Millis) {
	d.counters.refused[r]++
	d.emit(&PartRefused{part: id, reason: reason, retryAfter: retryAfter})
}

// retryAfter is the time until the queued work of a rank will have started, with
// jitter.
func (d *Dispatcher) retryAfter(r tier.Rank) tier.Millis {
	return d.jitter(float64(d.drainTime(r)))
}

// drainTime estimates how long the longest queue of a rank takes to drain.
func (d *Dispatcher) drainTime(r tier.Rank) tier.Millis {
	longest := 0.0
	for _, h := range d.shards {
		if n := h.queuedTasks(r); n > 0 {
			longest = max(longest, float64(n)*d.expectedStartGap(h, r))
		}
	}
	return tier.Millis(longest)
}

// jitter lengthens a wait by a random amount of up to 50 %, so that requests refused
// at the same time do not retry at the same time.
func (d *Dispatcher) jitter(wait float64) tier.Millis {
	return tier.Millis(wait*(1+d.random.Float64()/2)) + 1
}
