package dispatcher

import "cicadagrade.example/tier"

// Limits of retries.
const (
	maxCallsPerReplica = 2 // calls that a task may make for each local replica
	initialBackoff     = 4 * tier.Millis(1)
	maxBackoff         = 250 * tier.Millis(1)
	retryWaitDivisor   = 4 // a retry waits to start for at most 1/4 of the remaining time
)

// handleCallEnded ends a call and frees its slot.
func (d *Dispatcher) handleCallEnded(e *CallEnded) {
	c := d.calls[e.attempt]
	if c == nil {
		return
	}
	delete(d.calls, e.attempt)
	c.ended = true
	took := d.now - c.started
	d.release(c, took)
	d.updateServer(c, e.result, took)
	if !c.cancelled {
		c.task.removeRunning(c)
		d.settleTask(c, e.result)
	}
	d.scheduleServerAndPeers(c.server)
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
	s.runningByRank[r]--
	d.updateFloorCredit(s, r, took)
}

func (t *task) removeRunning(c *call) {
	for i, o := range t.running {
		if o == c {
			t.running = append(t.running[:i], t.running[i+1:]...)
			return
		}
	}
}

// updateServer updates the state of the server with the result of a call.
func (d *Dispatcher) updateServer(c *call, r Result, took tier.Millis) {
	s := c.server
	switch r := r.(type) {
	case *ReplyOK:
		s.consecutiveFailures = 0
		s.observeLatency(d.now, took)
		s.limiter.Succeeded()
		d.hedger.ObserveLatency(d.now, took)
		d.observeServiceTime(c.task.rank(), took)
	case *ReplyNotRun:
		d.updateServerNotRun(c, r.reason)
	case *ReplyFailed:
		if c.cancelled {
			// Its latency is unknown, but at least as long as it ran.
			s.observeLatency(d.now, max(took, tier.Millis(s.averageLatency)))
			d.hedger.ObserveLatency(d.now, took)
			return
		}
		s.consecutiveFailures++
		d.counters.failedCalls++
	case *ReplyRejected:
		s.consecutiveFailures++
		d.counters.rejectedReplies++
	}
}

func (d *Dispatcher) updateServerNotRun(c *call, r NotRunReason) {
	s := c.server
	d.counters.notRunCalls++
	switch r {
	case NotRunShed:
		s.limiter.Shed(d.now)
		if until := s.limiter.PausedUntil(); until > d.now {
			d.timers.add(timer{at: until, kind: timerServer, server: s})
		}
	case NotRunLeaving:
		if s.state != tier.BackendLeaving {
			s.state, s.stateSince, s.inferred = tier.BackendLeaving, d.now, true
			d.timers.add(timer{at: d.now + inferredStateTTL, kind: timerInferredState, server: s})
		}
		d.dropUnservable()
	case NotRunWrongSnapshot:
		s.dropVersion(c.task.shardID, c.task.part.snapshot)
		if h := d.shards[c.task.shardID]; h != nil {
			d.dropUnservableOf(h)
		}
	}
}

// settleTask ends or retries the task of a call, depending on its result.
func (d *Dispatcher) settleTask(c *call, r Result) {
	t := c.task
	if t.done {
		return
	}
	reason := tier.MissNoReplica
	switch r := r.(type) {
	case *ReplyOK:
		d.completeTask(c)
		return
	case *ReplyNotRun:
		reason = tier.MissRefused
		if r.reason == NotRunWrongSnapshot && t.part.idempotent {
			reason = tier.MissWrongSnapshot
		}
	case *ReplyRejected:
		reason = tier.MissBadReply
	}
	if len(t.running) > 0 {
		return
	}
	if !t.part.idempotent {
		d.missTask(t, reason)
		return
	}
	d.scheduleRetry(t, reason)
}

func (t *task) mayCallAgain() bool {
	return t.calls < maxCallsPerReplica*len(t.shard.replicas)
}

// scheduleRetry schedules the next call of a task after a backoff with jitter. It ends
// the task if no replica can serve it, or if no call or time is left.
func (d *Dispatcher) scheduleRetry(t *task, reason tier.MissReason) {
	d.unqueue(t)
	if unservable := t.unservableReason(); unservable != "" {
		d.missTask(t, unservable)
		return
	}
	if !t.mayCallAgain() {
		d.missTask(t, reason)
		return
	}
	wait := min(maxBackoff, initialBackoff<<min(t.calls-1, 8))
	at := d.now + wait/2 + tier.Millis(d.random.Int64N(int64(wait/2)+1))
	if at >= t.part.deadline {
		d.missTask(t, reason)
		return
	}
	t.reason = reason
	d.timers.add(timer{at: at, kind: timerRetry, task: t})
}

// giveUpRetry ends a task whose retry found no budget or slot for a fraction of the
// remaining time, so that the entry VM still has time to ask another data centre. It is
// only used for shards with replicas there.
func (d *Dispatcher) giveUpRetry(t *task) {
	if t.waitsForExtra && len(t.running) == 0 {
		d.missTask(t, t.reason)
	}
}
