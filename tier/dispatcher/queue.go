package dispatcher

import (
	"sort"

	"cicadagrade.example/tier"
)

// shard is a shard of the set with its waiting tasks.
type shard struct {
	id                string
	replicas          []*server // replicas in this data centre
	hasRemoteReplicas bool      // whether other data centres have replicas
	removed           bool      // whether the current configuration no longer has the shard
	queues            []*profileQueue
	extras            []*task // tasks that wait for a hedge or a retry
	startGaps         [len(tier.Ranks)]startGap
}

// profileQueue holds the tasks of one profile and shard that wait for their first call,
// by deadline.
type profileQueue struct {
	profile      string
	rank         tier.Rank
	tasks        []*task
	waitingSince tier.Millis // since it became non-empty or last started a call
}

func (h *shard) profileQueue(p *tier.Profile) *profileQueue {
	for _, q := range h.queues {
		if q.profile == p.Name() && q.rank == p.Rank() {
			return q
		}
	}
	q := &profileQueue{profile: p.Name(), rank: p.Rank()}
	h.queues = append(h.queues, q)
	return q
}

// position is the index that a part has, or would be inserted at, in the queue.
func (q *profileQueue) position(p *part) int {
	return sort.Search(len(q.tasks), func(i int) bool { return !q.tasks[i].part.before(p) })
}

// enqueue queues a task for its first call.
func (d *Dispatcher) enqueue(t *task) {
	q := t.shard.profileQueue(t.part.profile)
	if len(q.tasks) == 0 {
		q.waitingSince = d.now
	}
	i := q.position(t.part)
	q.tasks = append(q.tasks, nil)
	copy(q.tasks[i+1:], q.tasks[i:])
	q.tasks[i] = t
	t.queue = q
	t.shard.addLoad(q.rank, 1)
}

// unqueue removes a task from the queues that it waits in.
func (d *Dispatcher) unqueue(t *task) {
	if q := t.queue; q != nil {
		i := q.position(t.part)
		q.tasks = append(q.tasks[:i], q.tasks[i+1:]...)
		t.queue = nil
		t.shard.addLoad(q.rank, -1)
	}
	if t.waitsForExtra {
		t.waitsForExtra = false
		t.shard.removeExtra(t)
	}
}

func (h *shard) removeExtra(t *task) {
	for i, o := range h.extras {
		if o == t {
			h.extras = append(h.extras[:i], h.extras[i+1:]...)
			return
		}
	}
}

func (h *shard) addLoad(r tier.Rank, n float64) {
	for _, s := range h.replicas {
		s.queuedLoad[r] = max(0, s.queuedLoad[r]+n/float64(len(h.replicas)))
		if s.queuedLoad[r] < 1e-6 {
			s.queuedLoad[r] = 0
		}
	}
}

// recountLoad recomputes the queued load of all servers after a configuration change.
func (d *Dispatcher) recountLoad() {
	for _, s := range d.servers {
		s.queuedLoad = [len(tier.Ranks)]float64{}
	}
	for _, h := range d.shards {
		for _, q := range h.queues {
			h.addLoad(q.rank, float64(len(q.tasks)))
		}
	}
}

// queueCounts counts the parts with a task that waits for its first call.
type queueCounts struct {
	byProfile map[string]int
	byRank    [len(tier.Ranks)]int
}

func (q *queueCounts) add(p *part) {
	q.byProfile[p.profile.Name()]++
	q.byRank[p.profile.Rank()]++
}

func (q *queueCounts) remove(p *part) {
	q.byProfile[p.profile.Name()]--
	if q.byProfile[p.profile.Name()] == 0 {
		delete(q.byProfile, p.profile.Name())
	}
	q.byRank[p.profile.Rank()]--
}

// queueHedge queues a second call of a task whose first call is slow.
func (d *Dispatcher) queueHedge(c *call) {
	t := c.task
	if c.cancelled || t.done || t.waitsForExtra || len(t.running) != 1 || !t.mayCallAgain() {
		return
	}
	if !t.part.idempotent || !t.part.profile.Hedge() {
		return
	}
	d.queueExtra(t)
}

// queueRetry queues another call of a task whose calls have all failed.
func (d *Dispatcher) queueRetry(t *task) {
	if t.done || t.waitsForExtra || len(t.running) > 0 {
		return
	}
	d.queueExtra(t)
	d.scheduleShard(t.shard)
	if t.waitsForExtra && t.shard.hasRemoteReplicas {
		at := d.now + (t.part.deadline-d.now)/retryWaitDivisor
		d.timers.add(timer{at: at, kind: timerGiveUp, task: t})
	}
}

func (d *Dispatcher) queueExtra(t *task) {
	t.waitsForExtra = true
	t.shard.extras = append(t.shard.extras, t)
}

// dropUnservable ends the waiting tasks that no replica can serve any more.
func (d *Dispatcher) dropUnservable() {
	for _, p := range d.sortedParts() {
		for _, t := range p.tasks {
			d.dropIfUnservable(t)
		}
	}
}

func (d *Dispatcher) dropUnservableOf(h *shard) {
	var waiting []*task
	for _, q := range h.queues {
		waiting = append(waiting, q.tasks...)
	}
	waiting = append(waiting, h.extras...)
	for _, t := range waiting {
		d.dropIfUnservable(t)
	}
}

func (d *Dispatcher) dropIfUnservable(t *task) {
	if t.done || len(t.running) > 0 {
		return
	}
	if r := t.unservableReason(); r != "" {
		d.missTask(t, r)
	}
}

// sortedParts lists the parts in the order of arrival, so that the same events always
// lead to the same actions.
func (d *Dispatcher) sortedParts() []*part {
	out := make([]*part, 0, len(d.parts))
	for _, p := range d.parts {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].order < out[j].order })
	return out
}

// scheduleExtras starts queued hedges and retries once the budget allows extra calls
// again.
func (d *Dispatcher) scheduleExtras() {
	available := d.hedger.Available(tier.Urgent)
	if available && !d.budgetAvailable {
		for _, m := range d.set.Shards() {
			if h := d.shards[m.ID()]; len(h.extras) > 0 {
				d.scheduleShard(h)
			}
		}
		available = d.hedger.Available(tier.Urgent)
	}
	d.budgetAvailable = available
}
