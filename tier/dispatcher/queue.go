package dispatcher

import (
	"sort"

	"cicadagrade.example/tier"
)

// shard is a shard of the map with the work that waits for it.
type shard struct {
	id        string
	replicas  []*server // those in this data centre
	elsewhere bool      // other data centres have some
	gone      bool      // a newer map has no such shard
	lanes     []*lane
	extras    []*task // that wait for a hedge or a retry
	drains    [len(tier.Ranks)]drain
}

// lane is the work of one profile that waits for its first call, earliest
// deadline first.
type lane struct {
	profile string
	rank    tier.Rank
	tasks   []*task
	since   tier.Millis // its work has waited without a call
}

func (h *shard) lane(p *tier.Profile) *lane {
	for _, l := range h.lanes {
		if l.profile == p.Name() && l.rank == p.Rank() {
			return l
		}
	}
	l := &lane{profile: p.Name(), rank: p.Rank()}
	h.lanes = append(h.lanes, l)
	return l
}

// place is the index that a part has or would take in the lane.
func (l *lane) place(p *part) int {
	return sort.Search(len(l.tasks), func(i int) bool { return !l.tasks[i].part.before(p) })
}

// enqueue lets a task wait for its first call.
func (d *Dispatcher) enqueue(t *task) {
	l := t.shard.lane(t.part.profile)
	if len(l.tasks) == 0 {
		l.since = d.now
	}
	i := l.place(t.part)
	l.tasks = append(l.tasks, nil)
	copy(l.tasks[i+1:], l.tasks[i:])
	l.tasks[i] = t
	t.lane = l
	t.shard.addLoad(l.rank, 1)
}

// unqueue takes a task out of whatever it waits in.
func (d *Dispatcher) unqueue(t *task) {
	if l := t.lane; l != nil {
		i := l.place(t.part)
		l.tasks = append(l.tasks[:i], l.tasks[i+1:]...)
		t.lane = nil
		t.shard.addLoad(l.rank, -1)
	}
	if t.extra {
		t.extra = false
		t.shard.dropExtra(t)
	}
}

func (h *shard) dropExtra(t *task) {
	for i, o := range h.extras {
		if o == t {
			h.extras = append(h.extras[:i], h.extras[i+1:]...)
			return
		}
	}
}

func (h *shard) addLoad(r tier.Rank, n float64) {
	for _, s := range h.replicas {
		s.load[r] = max(0, s.load[r]+n/float64(len(h.replicas)))
		if s.load[r] < 1e-6 {
			s.load[r] = 0
		}
	}
}

// recountLoad counts the queued work of all servers again, for a new map.
func (d *Dispatcher) recountLoad() {
	for _, s := range d.servers {
		s.load = [len(tier.Ranks)]float64{}
	}
	for _, h := range d.shards {
		for _, l := range h.lanes {
			h.addLoad(l.rank, float64(len(l.tasks)))
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

// wantHedge lets a task whose call is slow wait for a second one.
func (d *Dispatcher) wantHedge(c *call) {
	t := c.task
	if c.cancelled || t.done || t.extra || len(t.running) != 1 || !t.mayCallAgain() {
		return
	}
	if !t.part.repeatable || !t.part.profile.Hedge() {
		return
	}
	d.addExtra(t)
}

// wantRetry lets a task whose calls failed wait for another one.
func (d *Dispatcher) wantRetry(t *task) {
	if t.done || t.extra || len(t.running) > 0 {
		return
	}
	d.addExtra(t)
	d.fillShard(t.shard)
	if t.extra && t.shard.elsewhere {
		at := d.now + (t.part.deadline-d.now)/retryPatience
		d.timers.add(timer{at: at, kind: timerGiveUp, task: t})
	}
}

func (d *Dispatcher) addExtra(t *task) {
	t.extra = true
	t.shard.extras = append(t.shard.extras, t)
}

// dropUnservable ends the waiting tasks that no replica can take any more.
func (d *Dispatcher) dropUnservable() {
	for _, p := range d.sortedParts() {
		for _, t := range p.tasks {
			d.dropIfUnservable(t)
		}
	}
}

func (d *Dispatcher) dropUnservableOf(h *shard) {
	var waiting []*task
	for _, l := range h.lanes {
		waiting = append(waiting, l.tasks...)
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
	if r := t.unservable(); r != "" {
		d.miss(t, r)
	}
}

// sortedParts lists the parts in the order of their arrival, so that equal
// histories give equal actions.
func (d *Dispatcher) sortedParts() []*part {
	out := make([]*part, 0, len(d.parts))
	for _, p := range d.parts {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].order < out[j].order })
	return out
}

// fillExtras starts hedges and retries that waited for the budget.
func (d *Dispatcher) fillExtras() {
	available := d.hedger.Available(tier.Urgent)
	if available && !d.budgeted {
		for _, m := range d.set.Shards() {
			if h := d.shards[m.ID()]; len(h.extras) > 0 {
				d.fillShard(h)
			}
		}
		available = d.hedger.Available(tier.Urgent)
	}
	d.budgeted = available
}
