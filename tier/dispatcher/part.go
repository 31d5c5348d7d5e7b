package dispatcher

import (
	"cicadagrade.example/tier"
)

// part is an accepted Submit: the shards of this set that one query searches.
type part struct {
	id             uint64
	order          uint64
	profile        *tier.Profile
	arrived        tier.Millis
	deadline       tier.Millis
	snapshot       tier.Snapshot
	idempotent     bool
	tasks          []*task
	openTasks      int // tasks that are not done
	unstartedTasks int // tasks that are not done and have made no call
	calls          int
	extraCalls     int
	ended          bool
}

// before orders parts of one rank by deadline, then by arrival.
func (p *part) before(o *part) bool {
	if p.deadline != o.deadline {
		return p.deadline < o.deadline
	}
	return p.order < o.order
}

// task is the search of one shard for a part.
type task struct {
	part          *part
	shard         *shard
	shardID       string
	queue         *profileQueue // non-nil while the task waits for its first call
	waitsForExtra bool          // set while the task waits to start a hedge or a retry
	running       []*call
	tried         []*server
	calls         int
	done          bool
	winner        uint64 // attempt number of the reply that counts, 0 if none
	reason        tier.MissReason
}

// call is one leaf call, from its *Call action to its *CallEnded event.
type call struct {
	attempt   uint64
	task      *task
	server    *server
	started   tier.Millis
	cancelled bool // its reply will not be used
	ended     bool
}

func (t *task) hasTried(s *server) bool {
	for _, o := range t.tried {
		if o == s {
			return true
		}
	}
	return false
}

func (t *task) runsOn(s *server) bool {
	for _, c := range t.running {
		if c.server == s {
			return true
		}
	}
	return false
}

// servableBy reports whether a server could serve the task, whether or not it has
// a free slot.
func (t *task) servableBy(s *server) bool {
	return s.state.AcceptsCalls() && !t.runsOn(s) && s.holds(t.shardID, t.part.snapshot) != holdingNo
}

// eligible reports whether the next call of the task may go to a server. Replicas
// not tried yet come first, then those known to hold the snapshot.
func (t *task) eligible(s *server) bool {
	if !t.servableBy(s) {
		return false
	}
	own := t.penalty(s)
	for _, o := range t.shard.replicas {
		if o != s && t.servableBy(o) && t.penalty(o) < own {
			return false
		}
	}
	return true
}

// penalty ranks a replica for the next call of the task; lower is better.
func (t *task) penalty(s *server) int {
	n := 0
	if t.hasTried(s) {
		n += 2
	}
	if s.holds(t.shardID, t.part.snapshot) != holdingYes {
		n++
	}
	return n
}

// unservableReason says why no replica can serve the task, or is empty if one can.
func (t *task) unservableReason() tier.MissReason {
	reason := tier.MissNoReplica
	if t.shard == nil || t.shard.removed {
		return tier.MissWrongSnapshot
	}
	for _, s := range t.shard.replicas {
		if !s.state.AcceptsCalls() {
			continue
		}
		if s.holds(t.shardID, t.part.snapshot) != holdingNo {
			return ""
		}
		reason = tier.MissWrongSnapshot
	}
	return reason
}

// completeTask ends a task with the reply of a call.
func (d *Dispatcher) completeTask(c *call) {
	c.task.winner = c.attempt
	d.endTask(c.task)
}

// missTask ends a task without a reply, for a reason.
func (d *Dispatcher) missTask(t *task, r tier.MissReason) {
	t.reason = r
	d.endTask(t)
}

func (d *Dispatcher) endTask(t *task) {
	d.closeTask(t)
	if t.part.openTasks == 0 {
		d.endPart(t.part)
	}
}

// closeTask removes a task from its queues and cancels its running calls.
func (d *Dispatcher) closeTask(t *task) {
	d.unqueue(t)
	t.done = true
	t.part.openTasks--
	if t.calls == 0 {
		d.countFirstCall(t.part)
	}
	for _, c := range t.running {
		if !c.cancelled {
			c.cancelled = true
			d.emit(&CancelCall{attempt: c.attempt})
		}
	}
	t.running = nil
}

// countFirstCall counts one task of the part as no longer waiting for its first
// call, whether it made one or ended without.
func (d *Dispatcher) countFirstCall(p *part) {
	p.unstartedTasks--
	if p.unstartedTasks == 0 {
		d.queued.remove(p)
	}
}

func (d *Dispatcher) endPart(p *part) {
	p.ended = true
	delete(d.parts, p.id)
	if !p.idempotent {
		d.endNonIdempotent(p)
		return
	}
	if p.calls == 0 && p.hasMiss(tier.MissDeadline) {
		d.refuse(p.id, p.profile.Rank(), tier.RefuseDeadline, d.retryAfter(p.profile.Rank()))
		return
	}
	d.emit(p.partDone())
	d.counters.done++
	d.abandonTimes[p.profile.Rank()].observeAnswered()
}

// endNonIdempotent ends a part that may run at most once, which has a single task.
func (d *Dispatcher) endNonIdempotent(p *part) {
	t := p.tasks[0]
	rank := p.profile.Rank()
	switch {
	case t.winner != 0:
		d.emit(p.partDone())
		d.counters.done++
	case p.calls == 0 && t.reason == tier.MissDeadline:
		d.refuse(p.id, rank, tier.RefuseDeadline, d.retryAfter(rank))
	case p.calls == 0:
		d.refuse(p.id, rank, tier.RefuseNoReplica, 0)
	case t.reason == tier.MissRefused:
		d.refuse(p.id, rank, tier.RefuseByServer, d.retryAfter(rank))
	case t.reason == tier.MissDeadline:
		d.reportUnknown(p.id, tier.UnknownDeadline)
	default:
		d.reportUnknown(p.id, tier.UnknownLostReply)
	}
}

func (d *Dispatcher) reportUnknown(id uint64, r tier.UnknownReason) {
	d.emit(&PartUnknown{part: id, reason: r})
	d.counters.unknown++
}

func (p *part) hasMiss(r tier.MissReason) bool {
	for _, t := range p.tasks {
		if t.winner == 0 && t.reason == r {
			return true
		}
	}
	return false
}

func (p *part) partDone() *PartDone {
	e := &PartDone{part: p.id, calls: p.calls, extraCalls: p.extraCalls}
	for _, t := range p.tasks {
		if t.winner != 0 {
			e.winners = append(e.winners, Winner{shard: t.shardID, attempt: t.winner})
			continue
		}
		e.misses = append(e.misses, tier.NewMiss(t.shardID, t.reason))
	}
	return e
}

// missOpenTasks ends every open task of a part for the same reason, and then the part.
func (d *Dispatcher) missOpenTasks(p *part, r tier.MissReason) {
	for _, t := range p.tasks {
		if !t.done {
			t.reason = r
			d.closeTask(t)
		}
	}
	d.endPart(p)
}

func (d *Dispatcher) deadlinePassed(p *part) {
	d.counters.expired++
	d.missOpenTasks(p, tier.MissDeadline)
}

// handleCancelled ends a part whose client has disconnected. A running call of a
// non-idempotent part continues, so that its outcome becomes known.
func (d *Dispatcher) handleCancelled(e *Cancelled) {
	p := d.parts[e.part]
	if p == nil || (!p.idempotent && p.calls > 0) {
		return
	}
	d.counters.cancelled++
	d.abandonTimes[p.profile.Rank()].observeAbandoned(d.now - p.arrived)
	if p.calls > 0 {
		d.missOpenTasks(p, tier.MissCancelled)
		return
	}
	for _, t := range p.tasks {
		if !t.done {
			t.reason = tier.MissCancelled
			d.closeTask(t)
		}
	}
	p.ended = true
	delete(d.parts, p.id)
	d.emit(&PartRefused{part: p.id, reason: tier.RefuseCallerGone})
}
