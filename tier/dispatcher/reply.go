package dispatcher

import "cicadagrade.example/tier"

// Limits of retries.
const (
	maxCallsByReplica = 2 // of one task
	firstBackoff      = 4 * tier.Millis(1)
	maxBackoff        = 250 * tier.Millis(1)
	retryPatience     = 4 // a retry waits for this part of the time left
)

// replied ends a call: its slot is free again.
func (d *Dispatcher) replied(e *CallEnded) {
	c := d.calls[e.attempt]
	if c == nil {
		return
	}
	delete(d.calls, e.attempt)
	c.ended = true
	took := d.now - c.started
	d.release(c, took)
	d.learn(c, e.result, took)
	if !c.cancelled {
		c.task.dropRunning(c)
		d.settle(c, e.result)
	}
	d.fillAround(c.server)
}

func (d *Dispatcher) release(c *call, took tier.Millis) {
	s := c.server
	for i, o := range s.running {
		if o == c {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	r := c.task.rank()
	s.byRank[r]--
	d.account(s, r, took)
}

func (t *task) dropRunning(c *call) {
	for i, o := range t.running {
		if o == c {
			t.running = append(t.running[:i], t.running[i+1:]...)
			return
		}
	}
}

// learn takes from a reply what it says of the server.
func (d *Dispatcher) learn(c *call, r Result, took tier.Millis) {
	s := c.server
	switch r := r.(type) {
	case *ReplyOK:
		s.failures = 0
		s.observe(d.now, took)
		s.limiter.Succeeded()
		d.hedger.ObserveLatency(d.now, took)
		d.measureService(c.task.rank(), took)
	case *ReplyNotRun:
		d.learnNotRun(c, r.reason)
	case *ReplyFailed:
		if c.cancelled {
			s.observe(d.now, max(took, tier.Millis(s.latency)))
			d.hedger.ObserveLatency(d.now, took)
			return
		}
		s.failures++
		d.counters.failed++
	case *ReplyRejected:
		s.failures++
		d.counters.bad++
	}
}

func (d *Dispatcher) learnNotRun(c *call, r NotRunReason) {
	s := c.server
	d.counters.notRun++
	switch r {
	case NotRunShed:
		s.limiter.Shed(d.now)
		if until := s.limiter.PausedUntil(); until > d.now {
			d.timers.add(timer{at: until, kind: timerServer, server: s})
		}
	case NotRunLeaving:
		if s.state != tier.BackendLeaving {
			s.state, s.since, s.supposed = tier.BackendLeaving, d.now, true
			d.timers.add(timer{at: d.now + supposedFor, kind: timerSupposed, server: s})
		}
		d.dropUnservable()
	case NotRunWrongSnapshot:
		s.dropVersion(c.task.id, c.task.part.snapshot)
		if h := d.shards[c.task.id]; h != nil {
			d.dropUnservableOf(h)
		}
	}
}

// settle takes from a reply what it means for its task.
func (d *Dispatcher) settle(c *call, r Result) {
	t := c.task
	if t.done {
		return
	}
	reason := tier.MissNoReplica
	switch r := r.(type) {
	case *ReplyOK:
		d.win(c)
		return
	case *ReplyNotRun:
		reason = tier.MissRefused
		if r.reason == NotRunWrongSnapshot && t.part.repeatable {
			reason = tier.MissWrongSnapshot
		}
	case *ReplyRejected:
		reason = tier.MissBadReply
	}
	if len(t.running) > 0 {
		return
	}
	if !t.part.repeatable {
		d.miss(t, reason)
		return
	}
	d.retry(t, reason)
}

func (t *task) mayCallAgain() bool {
	return t.calls < maxCallsByReplica*len(t.shard.replicas)
}

// retry lets a task wait for its next call after a jittered backoff, or ends
// it when no call can help.
func (d *Dispatcher) retry(t *task, reason tier.MissReason) {
	d.unqueue(t)
	if why := t.unservable(); why != "" {
		d.miss(t, why)
		return
	}
	if !t.mayCallAgain() {
		d.miss(t, reason)
		return
	}
	wait := min(maxBackoff, firstBackoff<<min(t.calls-1, 8))
	at := d.now + wait/2 + tier.Millis(d.random.Int64N(int64(wait/2)+1))
	if at >= t.part.deadline {
		d.miss(t, reason)
		return
	}
	t.reason = reason
	d.timers.add(timer{at: at, kind: timerRetry, task: t})
}

// giveUp ends a task whose retry found neither budget nor slot for a part of
// the time left, so that its front may still ask another data centre. It is
// only used for shards with replicas there.
func (d *Dispatcher) giveUp(t *task) {
	if t.extra && len(t.running) == 0 {
		d.miss(t, t.reason)
	}
}
