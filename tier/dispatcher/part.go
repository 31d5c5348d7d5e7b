package dispatcher

import (
	"cicadagrade.example/tier"
)

// part is an accepted Submit.
type part struct {
	id         uint64
	order      uint64
	profile    *tier.Profile
	arrived    tier.Millis
	deadline   tier.Millis
	snapshot   tier.Snapshot
	repeatable bool
	tasks      []*task
	open       int // tasks not done
	unstarted  int // tasks that never had a call and are not done
	calls      int
	extra      int
	ended      bool
}

// before orders parts of one rank: earliest deadline first.
func (p *part) before(o *part) bool {
	if p.deadline != o.deadline {
		return p.deadline < o.deadline
	}
	return p.order < o.order
}

// task is one shard of a part.
type task struct {
	part    *part
	shard   *shard
	id      string // of the shard
	lane    *lane  // while it waits for its first call
	extra   bool   // while it waits for a hedge or a retry
	running []*call
	tried   []*server
	calls   int
	done    bool
	winner  uint64 // 0 for a miss
	reason  tier.MissReason
}

// call is one leaf call, from *Call to *Replied.
type call struct {
	attempt   uint64
	task      *task
	server    *server
	started   tier.Millis
	cancelled bool // its reply is of no more use
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

// takes reports whether a server could take a call of the task, slots aside.
func (t *task) takes(s *server) bool {
	return s.state.TakesWork() && !t.runsOn(s) && s.holds(t.id, t.part.snapshot) != holdingNo
}

// eligible reports whether the next call of the task may go to a server: one
// that was not tried goes first, and one that is known to hold the snapshot.
func (t *task) eligible(s *server) bool {
	if !t.takes(s) {
		return false
	}
	rank := t.preference(s)
	for _, o := range t.shard.replicas {
		if o != s && t.takes(o) && t.preference(o) < rank {
			return false
		}
	}
	return true
}

func (t *task) preference(s *server) int {
	n := 0
	if t.hasTried(s) {
		n += 2
	}
	if s.holds(t.id, t.part.snapshot) != holdingYes {
		n++
	}
	return n
}

// unservable tells why no replica could take the task, or "".
func (t *task) unservable() tier.MissReason {
	reason := tier.MissNoReplica
	if t.shard == nil || t.shard.gone {
		return tier.MissWrongSnapshot
	}
	for _, s := range t.shard.replicas {
		if !s.state.TakesWork() {
			continue
		}
		if s.holds(t.id, t.part.snapshot) != holdingNo {
			return ""
		}
		reason = tier.MissWrongSnapshot
	}
	return reason
}

// win ends a task with the reply of a call.
func (d *Dispatcher) win(c *call) {
	c.task.winner = c.attempt
	d.endTask(c.task)
}

// miss ends a task without a reply.
func (d *Dispatcher) miss(t *task, r tier.MissReason) {
	t.reason = r
	d.endTask(t)
}

func (d *Dispatcher) endTask(t *task) {
	d.closeTask(t)
	if t.part.open == 0 {
		d.endPart(t.part)
	}
}

// closeTask takes a task out of its queues and cancels what still runs for
// it.
func (d *Dispatcher) closeTask(t *task) {
	d.unqueue(t)
	t.done = true
	t.part.open--
	if t.calls == 0 {
		d.started(t.part)
	}
	for _, c := range t.running {
		if !c.cancelled {
			c.cancelled = true
			d.act(&CancelCall{attempt: c.attempt})
		}
	}
	t.running = nil
}

// started counts one task of the part as no longer waiting for its first
// call.
func (d *Dispatcher) started(p *part) {
	p.unstarted--
	if p.unstarted == 0 {
		d.queued.remove(p)
	}
}

func (d *Dispatcher) endPart(p *part) {
	p.ended = true
	delete(d.parts, p.id)
	if !p.repeatable {
		d.endOnce(p)
		return
	}
	if p.calls == 0 && p.missed(tier.MissDeadline) {
		d.refuse(p.id, p.profile.Rank(), tier.RefuseDeadline, d.retryAfter(p.profile.Rank()))
		return
	}
	d.act(p.done())
	d.counters.done++
	d.patience[p.profile.Rank()].answered()
}

// endOnce ends a part that may run only once.
func (d *Dispatcher) endOnce(p *part) {
	t := p.tasks[0]
	rank := p.profile.Rank()
	switch {
	case t.winner != 0:
		d.act(p.done())
		d.counters.done++
	case p.calls == 0 && t.reason == tier.MissDeadline:
		d.refuse(p.id, rank, tier.RefuseDeadline, d.retryAfter(rank))
	case p.calls == 0:
		d.refuse(p.id, rank, tier.RefuseNoReplica, 0)
	case t.reason == tier.MissRefused:
		d.refuse(p.id, rank, tier.RefuseByServer, d.retryAfter(rank))
	case t.reason == tier.MissDeadline:
		d.unknown(p.id, tier.UnknownDeadline)
	default:
		d.unknown(p.id, tier.UnknownLostReply)
	}
}

func (d *Dispatcher) unknown(id uint64, r tier.UnknownReason) {
	d.act(&PartUnknown{part: id, reason: r})
	d.counters.unknown++
}

func (p *part) missed(r tier.MissReason) bool {
	for _, t := range p.tasks {
		if t.winner == 0 && t.reason == r {
			return true
		}
	}
	return false
}

func (p *part) done() *PartDone {
	e := &PartDone{part: p.id, calls: p.calls, extra: p.extra}
	for _, t := range p.tasks {
		if t.winner != 0 {
			e.winners = append(e.winners, Winner{shard: t.id, attempt: t.winner})
			continue
		}
		e.misses = append(e.misses, tier.NewMiss(t.id, t.reason))
	}
	return e
}

// endOpen ends every open task of a part for one reason, and so the part.
func (d *Dispatcher) endOpen(p *part, r tier.MissReason) {
	for _, t := range p.tasks {
		if !t.done {
			t.reason = r
			d.closeTask(t)
		}
	}
	d.endPart(p)
}

func (d *Dispatcher) deadlinePassed(p *part) {
	d.counters.late++
	d.endOpen(p, tier.MissDeadline)
}

// cancelled ends a part for a caller who has gone. A call that may run only
// once is left alone, so that its outcome is known.
func (d *Dispatcher) cancelled(e *Cancelled) {
	p := d.parts[e.part]
	if p == nil || (!p.repeatable && p.calls > 0) {
		return
	}
	d.counters.cancelled++
	d.patience[p.profile.Rank()].departed(d.now - p.arrived)
	if p.calls > 0 {
		d.endOpen(p, tier.MissCancelled)
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
	d.act(&PartRefused{part: p.id, reason: tier.RefuseCallerGone})
}
