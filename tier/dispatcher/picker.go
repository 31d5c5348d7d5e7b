package dispatcher

import (
	"sort"

	"cicadagrade.example/tier"
)

// maxLook bounds how far behind the head of a lane a task is looked for that
// a server may take.
const maxLook = 8

// maxHedgeCost bounds the expected latency of a server that is used for a
// hedge, in hedge delays.
const maxHedgeCost = 2.0

// unmeasuredWait is the time between looks at a call while too few latencies
// are known for hedging.
const unmeasuredWait = 10 * tier.Millis(1)

// fillAll starts what can start anywhere.
func (d *Dispatcher) fillAll() {
	for _, m := range d.set.Shards() {
		d.fillShard(d.shards[m.ID()])
	}
}

func (d *Dispatcher) fillShardsOf(s *server) {
	for _, h := range s.shards {
		d.fillShard(h)
	}
}

// fillShard starts what waits for a shard, on its cheapest servers first.
func (d *Dispatcher) fillShard(h *shard) {
	if !h.waiting() {
		return
	}
	replicas := append([]*server(nil), h.replicas...)
	d.random.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	sort.SliceStable(replicas, func(i, j int) bool {
		return d.cost(replicas[i], tier.Urgent) < d.cost(replicas[j], tier.Urgent)
	})
	for _, s := range replicas {
		d.fill(s)
	}
}

// fillAround starts calls on a server whose slots or latency changed, and on
// servers with free slots that share its shards.
func (d *Dispatcher) fillAround(s *server) {
	d.fill(s)
	for _, h := range s.shards {
		if !h.waiting() {
			continue
		}
		for _, o := range h.replicas {
			if o != s {
				d.fill(o)
			}
		}
	}
}

func (h *shard) waiting() bool {
	if len(h.extras) > 0 {
		return true
	}
	for _, l := range h.lanes {
		if len(l.tasks) > 0 {
			return true
		}
	}
	return false
}

// fill starts calls on a server while it has slots and work.
func (d *Dispatcher) fill(s *server) {
	for len(s.running) < d.limit(s) {
		t := d.pick(s)
		if t == nil {
			return
		}
		d.start(t, s)
	}
}

// pick chooses the next task for a server: the most urgent and earliest one,
// unless a floor is due or work of another profile was held back too long.
func (d *Dispatcher) pick(s *server) *task {
	var waiting []*task
	var best *task
	for _, h := range s.shards {
		waiting = d.heads(waiting, h, s)
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
	if t := s.floorDue(best, waiting); t != nil {
		return t
	}
	if t := d.heldBack(best, waiting); t != nil {
		return t
	}
	return best
}

// heads adds the first task of each lane of a shard that a server may start.
func (d *Dispatcher) heads(list []*task, h *shard, s *server) []*task {
	for _, l := range h.lanes {
		for i := 0; i < len(l.tasks) && i < maxLook; i++ {
			if d.startable(l.tasks[i], s) {
				list = append(list, l.tasks[i])
				break
			}
		}
	}
	return list
}

// startable reports whether a task should start on a server now rather than
// wait for another replica.
func (d *Dispatcher) startable(t *task, s *server) bool {
	r := t.rank()
	if d.now >= t.part.deadline || !d.free(s, r) || !t.eligible(s) {
		return false
	}
	if len(t.running) > 0 && !d.worthHedging(s) {
		return false
	}
	mine := d.cost(s, r)
	for _, o := range t.shard.replicas {
		if o != s && d.limit(o) > 0 && t.eligible(o) && d.cost(o, r) < mine {
			d.reconsider(s, d.cost(o, r))
			return false
		}
	}
	return true
}

// worthHedging reports whether a second call on a server would likely end
// soon.
func (d *Dispatcher) worthHedging(s *server) bool {
	delay, ok := d.hedger.Delay()
	return !ok || s.expected(d.now) <= maxHedgeCost*float64(delay)
}

// reconsider sets a timer for a server that was left idle for a cheaper one,
// in case that one does not answer.
func (d *Dispatcher) reconsider(s *server, after float64) {
	if s.reconsidered > d.now {
		return
	}
	s.reconsidered = d.now + max(1, tier.Millis(after))
	d.timers.add(timer{at: s.reconsidered, kind: timerServer, server: s})
}

func (t *task) rank() tier.Rank { return t.part.profile.Rank() }

// before orders waiting tasks: by rank, then by deadline.
func (t *task) before(o *task) bool {
	if t.rank() != o.rank() {
		return t.rank() < o.rank()
	}
	return t.part.before(o.part)
}

// floorDue finds the lower-ranked task whose rank is owed the most service.
func (s *server) floorDue(best *task, waiting []*task) *task {
	var due *task
	for _, t := range waiting {
		r := t.rank()
		if r <= best.rank() || s.credit[r] <= 0 {
			continue
		}
		if due == nil || s.credit[r] > s.credit[due.rank()] || (r == due.rank() && t.before(due)) {
			due = t
		}
	}
	return due
}

// heldBack finds the task of another profile that has waited longest, when
// that is longer than the best one's profile may impose.
func (d *Dispatcher) heldBack(best *task, waiting []*task) *task {
	var held *task
	for _, t := range waiting {
		if t.part.profile.Name() == best.part.profile.Name() {
			continue
		}
		if d.now-t.lane.since <= best.part.profile.ImposedWait() {
			continue
		}
		if held == nil || t.lane.since < held.lane.since {
			held = t
		}
	}
	return held
}

// start makes a leaf call of a task.
func (d *Dispatcher) start(t *task, s *server) {
	first := t.calls == 0
	if first {
		d.hedger.RecordFirstAttempt()
		d.measureDrain(t)
	} else {
		d.hedger.Take(t.rank())
		t.part.extra++
		d.counters.extra++
	}
	if t.lane != nil {
		t.lane.since = d.now
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
		d.started(t.part)
	}
	s.running = append(s.running, c)
	s.byRank[t.rank()]++
	d.counters.calls++
	d.timeHedge(c)
	d.act(&Call{
		attempt: c.attempt, part: t.part.id, shard: t.id, server: s.backend.Name(),
		snapshot: t.part.snapshot, deadline: t.part.deadline,
	})
}

func (d *Dispatcher) timeHedge(c *call) {
	t := c.task
	if len(t.running) > 1 || !t.part.repeatable || !t.part.profile.Hedge() {
		return
	}
	at := d.now + unmeasuredWait
	if delay, ok := d.hedger.Delay(); ok {
		at = max(d.now+1, c.started+delay)
	}
	if at < t.part.deadline {
		d.timers.add(timer{at: at, kind: timerHedge, call: c})
	}
}

// hedgeDue hedges a call, or waits on if the delay is still unknown or has
// grown.
func (d *Dispatcher) hedgeDue(c *call) {
	if delay, ok := d.hedger.Delay(); !ok || d.now < c.started+delay {
		d.timeHedge(c)
		return
	}
	d.wantHedge(c)
	d.fillShard(c.task.shard)
}
