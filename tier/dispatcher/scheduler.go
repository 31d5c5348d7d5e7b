package dispatcher

import (
	"sort"

	"cicadagrade.example/tier"
)

// maxLookahead is how many tasks at the head of a profileQueue are checked for one that
// can start on a server.
const maxLookahead = 8

// maxHedgeLatencyFactor is the highest expected latency of a server that gets a hedge,
// as a multiple of the hedge delay.
const maxHedgeLatencyFactor = 2.0

// hedgeRetryInterval is how long to wait before checking a call again while there are
// too few latency samples for a hedge delay.
const hedgeRetryInterval = 10 * tier.Millis(1)

// scheduleAll starts every waiting task that can start on any server.
func (d *Dispatcher) scheduleAll() {
	for _, m := range d.set.Shards() {
		d.scheduleShard(d.shards[m.ID()])
	}
}

func (d *Dispatcher) scheduleShardsOf(s *server) {
	for _, h := range s.shards {
		d.scheduleShard(h)
	}
}

// scheduleShard starts tasks on the replicas of a shard with waiting tasks, in the order
// of their expected cost. Shuffling them first breaks ties at random.
func (d *Dispatcher) scheduleShard(h *shard) {
	if !h.hasWaiting() {
		return
	}
	replicas := append([]*server(nil), h.replicas...)
	d.random.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	sort.SliceStable(replicas, func(i, j int) bool {
		return d.expectedCost(replicas[i], tier.Urgent) < d.expectedCost(replicas[j], tier.Urgent)
	})
	for _, s := range replicas {
		d.scheduleServer(s)
	}
}

// scheduleServerAndPeers starts calls on a server whose slots or latency changed, and on
// the other replicas of its shards with waiting tasks.
func (d *Dispatcher) scheduleServerAndPeers(s *server) {
	d.scheduleServer(s)
	for _, h := range s.shards {
		if !h.hasWaiting() {
			continue
		}
		for _, o := range h.replicas {
			if o != s {
				d.scheduleServer(o)
			}
		}
	}
}

func (h *shard) hasWaiting() bool {
	if len(h.extras) > 0 {
		return true
	}
	for _, q := range h.queues {
		if len(q.tasks) > 0 {
			return true
		}
	}
	return false
}

// scheduleServer starts calls on a server while it has free slots and startable tasks.
func (d *Dispatcher) scheduleServer(s *server) {
	for len(s.running) < d.callLimit(s) {
		t := d.nextTask(s)
		if t == nil {
			return
		}
		d.startCall(t, s)
	}
}

// nextTask chooses the next task for a server: that of the most urgent rank with the
// earliest deadline, unless a lower rank has not had the service that its floor
// guarantees, or a task of another profile was held back for too long.
func (d *Dispatcher) nextTask(s *server) *task {
	var waiting []*task
	var best *task
	for _, h := range s.shards {
		waiting = d.startableHeads(waiting, h, s)
		for _, t := range h.extras {
			if d.startable(t, s) && d.hedger.Available(t.rank()) && (best == nil || t.before(best)) {
				best = t
			}
		}
	}
	for _, t := range waiting {
		if best == nil || t.before(best) {
			best = t
		}
	}
	if best == nil {
		return nil
	}
	if t := s.owedTask(best, waiting); t != nil {
		return t
	}
	if t := d.overdueTask(best, waiting); t != nil {
		return t
	}
	return best
}

// startableHeads appends to list the first task in each queue of a shard that can start
// on a server.
func (d *Dispatcher) startableHeads(list []*task, h *shard, s *server) []*task {
	for _, q := range h.queues {
		for i := 0; i < len(q.tasks) && i < maxLookahead; i++ {
			if d.startable(q.tasks[i], s) {
				list = append(list, q.tasks[i])
				break
			}
		}
	}
	return list
}

// startable reports whether a task should start on a server now. It should not if
// waiting for another replica is expected to end the call sooner.
func (d *Dispatcher) startable(t *task, s *server) bool {
	r := t.rank()
	if d.now >= t.part.deadline || !d.hasFreeSlot(s, r) || !t.eligible(s) {
		return false
	}
	if len(t.running) > 0 && !d.fastEnoughToHedge(s) {
		return false
	}
	own := d.expectedCost(s, r)
	for _, o := range t.shard.replicas {
		if o != s && d.callLimit(o) > 0 && t.eligible(o) && d.expectedCost(o, r) < own {
			d.scheduleRecheck(s, d.expectedCost(o, r))
			return false
		}
	}
	return true
}

// fastEnoughToHedge reports whether a second call on a server is likely to end soon.
func (d *Dispatcher) fastEnoughToHedge(s *server) bool {
	delay, ok := d.hedger.Delay()
	return !ok || s.expectedLatency(d.now) <= maxHedgeLatencyFactor*float64(delay)
}

// scheduleRecheck sets a timer for a server with a slot left idle in favour of a
// replica with a lower cost, in case that replica does not answer.
func (d *Dispatcher) scheduleRecheck(s *server, wait float64) {
	if s.recheckAt > d.now {
		return
	}
	s.recheckAt = d.now + max(1, tier.Millis(wait))
	d.timers.add(timer{at: s.recheckAt, kind: timerServer, server: s})
}

func (t *task) rank() tier.Rank { return t.part.profile.Rank() }

// before orders waiting tasks by rank, then by deadline.
func (t *task) before(o *task) bool {
	if t.rank() != o.rank() {
		return t.rank() < o.rank()
	}
	return t.part.before(o.part)
}

// owedTask returns the waiting task, of a less urgent rank than best, whose rank is owed
// the most slot time, or nil if none is owed any.
func (s *server) owedTask(best *task, waiting []*task) *task {
	var owed *task
	for _, t := range waiting {
		r := t.rank()
		if r <= best.rank() || s.floorCredit[r] <= 0 {
			continue
		}
		if owed == nil || s.floorCredit[r] > s.floorCredit[owed.rank()] || (r == owed.rank() && t.before(owed)) {
			owed = t
		}
	}
	return owed
}

// overdueTask returns the waiting task of another profile than best whose queue has
// been held back longest, or nil if none has been for longer than the imposed wait
// of best's profile.
func (d *Dispatcher) overdueTask(best *task, waiting []*task) *task {
	var longest *task
	for _, t := range waiting {
		if t.part.profile.Name() == best.part.profile.Name() {
			continue
		}
		if d.now-t.queue.waitingSince <= best.part.profile.ImposedWait() {
			continue
		}
		if longest == nil || t.queue.waitingSince < longest.queue.waitingSince {
			longest = t
		}
	}
	return longest
}

// startCall starts a leaf call of a task on a server.
func (d *Dispatcher) startCall(t *task, s *server) {
	first := t.calls == 0
	if first {
		d.hedger.RecordFirstAttempt()
		d.observeStart(t)
	} else {
		d.hedger.Take(t.rank())
		t.part.extraCalls++
		d.counters.extraCalls++
	}
	if t.queue != nil {
		t.queue.waitingSince = d.now
	}
	d.unqueue(t)
	d.attempts++
	c := &call{attempt: d.attempts, task: t, server: s, started: d.now}
	d.calls[c.attempt] = c
	t.running = append(t.running, c)
	t.tried = append(t.tried, s)
	t.calls++
	t.part.calls++
	if first {
		d.countFirstCall(t.part)
	}
	s.running = append(s.running, c)
	s.runningByRank[t.rank()]++
	d.counters.calls++
	d.armHedgeTimer(c)
	d.emit(&Call{
		attempt: c.attempt, part: t.part.id, shard: t.shardID, server: s.backend.Name(),
		snapshot: t.part.snapshot, deadline: t.part.deadline,
	})
}

func (d *Dispatcher) armHedgeTimer(c *call) {
	t := c.task
	if len(t.running) > 1 || !t.part.idempotent || !t.part.profile.Hedge() {
		return
	}
	at := d.now + hedgeRetryInterval
	if delay, ok := d.hedger.Delay(); ok {
		at = max(d.now+1, c.started+delay)
	}
	if at < t.part.deadline {
		d.timers.add(timer{at: at, kind: timerHedge, call: c})
	}
}

// hedgeTimerFired queues the hedge of a call, or sets the timer again if the hedge delay
// is still unknown or has grown.
func (d *Dispatcher) hedgeTimerFired(c *call) {
	if delay, ok := d.hedger.Delay(); !ok || d.now < c.started+delay {
		d.armHedgeTimer(c)
		return
	}
	d.queueHedge(c)
	d.scheduleShard(c.task.shard)
}
