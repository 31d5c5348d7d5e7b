package simulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
	"cicadagrade.example/tier/dispatcher"
)

// publishInterval is how often fronts hear an owner's threshold.
const publishInterval = 100 * tier.Millis(1)

// burstFactor is by how much more daily work comes in a burst.
const burstFactor = 10

// query is one query from its arrival to its end.
type query struct {
	id      uint64
	rank    tier.Rank
	arrived tier.Millis
	returns int // times that it came again after a refusal
}

// happening is something due in simulated time: an arrival of a rank, the
// end of a job, or a publication.
type happening struct {
	at    tier.Millis
	order int
	rank  tier.Rank
	job   *job
	on    *server
	kind  happeningKind
	entry int
	query uint64
	shed  int
}

type happeningKind int

const (
	arrival happeningKind = iota
	jobEnd
	publication
	comeback  // of a refused query
	refusal   // of a job that its server shed
	departure // of a caller
	shedding
)

type run struct {
	scenario    *Scenario
	random      *rand.Rand
	now         tier.Millis
	due         happenings
	order       int
	profiles    [len(tier.Ranks)]*tier.Profile
	dispatchers []*dispatcher.Dispatcher
	servers     map[string]*server
	shards      []string
	jobs        []map[uint64]*job // by dispatcher and attempt
	on          map[*job]*server
	queries     map[uint64]*query
	fronts      []*admitter.Admitter
	published   admitter.ReceivedThreshold
	result      *Result
}

// Run measures a scenario.
func Run(s *Scenario) (*Result, error) {
	if err := s.Validate(); err != nil {
		return nil, errors.Wrap(err, "Run")
	}
	r := &run{
		scenario: s, random: rand.New(rand.NewPCG(s.seed, 2)), servers: map[string]*server{},
		on: map[*job]*server{}, queries: map[uint64]*query{}, result: newResult(s),
	}
	if err := r.build(); err != nil {
		return nil, errors.Wrap(err, "Run")
	}
	r.loop()
	r.finish()
	return r.result, nil
}

func (r *run) build() error {
	set, err := r.scenario.set()
	if err != nil {
		return err
	}
	for _, b := range set.Servers() {
		r.servers[b.Name()] = &server{slots: r.scenario.shape.slots, factor: 1}
	}
	r.servers[serverName(0)].factor = r.scenario.straggler
	for _, h := range set.Shards() {
		r.shards = append(r.shards, h.ID())
	}
	for _, k := range tier.Ranks {
		if r.profiles[k], err = r.scenario.profile(k); err != nil {
			return err
		}
	}
	r.start(set)
	return nil
}

func (r *run) start(set *tier.ShardSet) {
	n := entryVMs
	if r.scenario.way == Owner {
		n = 1
	}
	for i := range n {
		d := dispatcher.New(set, "here", dispatcher.WithSeed(r.scenario.seed+uint64(i)), dispatcher.WithTakeoverDelay(0))
		r.dispatchers = append(r.dispatchers, d)
		r.jobs = append(r.jobs, map[uint64]*job{})
		for _, b := range set.Servers() {
			r.act(i, d.Step(0, dispatcher.NewBackendChanged(b.Name(), tier.BackendLive)))
		}
	}
	for range entryVMs {
		r.fronts = append(r.fronts, admitter.New())
	}
	for _, k := range tier.Ranks {
		r.plan(k)
	}
	if s := r.scenario; s.sheddingTo > 0 {
		r.add(happening{at: s.sheddingFrom, kind: shedding, shed: s.shedSlots})
		r.add(happening{at: s.sheddingTo, kind: shedding})
	}
	if r.scenario.way == Owner {
		r.add(happening{at: publishInterval, kind: publication})
	}
}

func (r *run) add(h happening) {
	r.order++
	h.order = r.order
	heap.Push(&r.due, h)
}

// plan sets the next arrival of a rank.
func (r *run) plan(k tier.Rank) {
	if r.scenario.loads[k] == 0 {
		return
	}
	gap := r.scenario.gap(k)
	if k == tier.Daily && r.now < r.scenario.burst {
		gap /= burstFactor
	}
	at := r.now + tier.Millis(math.Round(r.random.ExpFloat64()*gap))
	if at <= r.scenario.duration {
		r.add(happening{at: at, rank: k, kind: arrival})
	}
}

// loop runs until nothing is due.
func (r *run) loop() {
	for {
		i, at, ok := r.nextTick()
		if len(r.due) > 0 && (!ok || r.due[0].at <= at) {
			h := heap.Pop(&r.due).(happening)
			r.now = h.at
			r.happen(h)
			continue
		}
		if !ok || r.now > r.scenario.duration+2*deadlines[tier.Reports] {
			return
		}
		r.now = max(r.now, at)
		r.act(i, r.dispatchers[i].Step(r.now, &dispatcher.Tick{}))
	}
}

func (r *run) nextTick() (int, tier.Millis, bool) {
	first, at, found := 0, tier.Millis(0), false
	for i, d := range r.dispatchers {
		if t, ok := d.NextTick(); ok && (!found || t < at) {
			first, at, found = i, t, true
		}
	}
	return first, at, found
}

func (r *run) happen(h happening) {
	switch h.kind {
	case arrival:
		r.plan(h.rank)
		r.arrive(h.rank)
	case jobEnd:
		if !h.job.ended {
			r.end(h.job, h.on, &dispatcher.ReplyOK{})
		}
	case comeback:
		r.ask(r.queries[h.query])
	case refusal:
		e := dispatcher.NewCallEnded(h.job.attempt, dispatcher.NewReplyNotRun(dispatcher.NotRunShed))
		r.act(h.job.entry, r.dispatchers[h.job.entry].Step(r.now, e))
	case departure:
		r.act(h.entry, r.dispatchers[h.entry].Step(r.now, dispatcher.NewCancelled(h.query)))
	case shedding:
		for _, s := range r.servers {
			s.shed = h.shed
		}
	case publication:
		r.published = admitter.NewReceivedThreshold(r.dispatchers[0].Status().Threshold(), r.now)
		if r.now < r.scenario.duration {
			r.add(happening{at: r.now + publishInterval, kind: publication})
		}
	}
}

// arrive lets a query come to an entry VM.
func (r *run) arrive(k tier.Rank) {
	id := uint64(len(r.queries) + 1)
	q := &query{id: id, rank: k, arrived: r.now}
	r.queries[id] = q
	r.result.ranks[k].offered++
	r.ask(q)
}

// ask sends a query to an entry VM, and from there to its owner.
func (r *run) ask(q *query) {
	k := q.rank
	entry := 0
	if !r.scenario.oneEntry {
		entry = r.random.IntN(entryVMs)
	}
	if r.scenario.way == Owner {
		if after, ok := r.fronts[entry].Admit(r.now, k, r.published); !ok && r.published != (admitter.ReceivedThreshold{}) {
			r.result.ranks[k].atFront++
			r.refused(q, after)
			return
		}
		entry = 0
	}
	if r.scenario.patience > 0 {
		r.add(happening{at: r.now + r.scenario.patience, kind: departure, entry: entry, query: q.id})
	}
	e := dispatcher.NewSubmit(q.id, r.profiles[k], r.now+deadlines[k], r.shards)
	r.act(entry, r.dispatchers[entry].Step(r.now, e))
}

// refused lets a query come again after the time it was told, or ends it.
func (r *run) refused(q *query, after tier.Millis) {
	if q.returns == r.scenario.returns {
		r.result.ranks[q.rank].refused++
		return
	}
	q.returns++
	r.result.ranks[q.rank].returned++
	if r.scenario.impatient {
		after = 1
	}
	r.add(happening{at: r.now + after, kind: comeback, query: q.id})
}

func (r *run) act(entry int, actions []dispatcher.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *dispatcher.Call:
			r.call(entry, a)
		case *dispatcher.CancelCall:
			r.cancel(entry, a.Attempt())
		case *dispatcher.PartDone:
			r.done(entry, a)
		case *dispatcher.PartRefused:
			if a.Reason() == tier.RefuseCallerGone {
				r.result.ranks[r.queries[a.Part()].rank].gone++
				continue
			}
			r.refused(r.queries[a.Part()], a.RetryAfter())
		default:
			panic(fmt.Sprintf("unexpected action %T", a))
		}
	}
}

func (r *run) call(entry int, c *dispatcher.Call) {
	s := r.servers[c.Server()]
	k := r.queries[c.Part()].rank
	took := (fixedTime + randomTime*r.random.ExpFloat64()) * leafTimes[k] * s.factor
	j := &job{entry: entry, attempt: c.Attempt(), took: tier.Millis(math.Round(took)), rank: k}
	r.jobs[entry][j.attempt] = j
	if s.sheds() {
		j.ended = true
		r.add(happening{at: r.now, kind: refusal, job: j})
		return
	}
	r.on[j] = s
	r.begin(s.arrive(j), s)
}

func (r *run) begin(j *job, s *server) {
	if j != nil {
		r.add(happening{at: r.now + j.took, kind: jobEnd, job: j, on: s})
	}
}

// cancel ends a job at once; its dispatcher hears of it.
func (r *run) cancel(entry int, attempt uint64) {
	if j := r.jobs[entry][attempt]; j != nil && !j.ended {
		r.end(j, r.on[j], &dispatcher.ReplyFailed{})
	}
}

func (r *run) end(j *job, s *server, result dispatcher.Result) {
	r.begin(s.leave(r.now, j), s)
	delete(r.on, j)
	r.act(j.entry, r.dispatchers[j.entry].Step(r.now, dispatcher.NewCallEnded(j.attempt, result)))
}

func (r *run) done(entry int, a *dispatcher.PartDone) {
	q := r.queries[a.Part()]
	k := &r.result.ranks[q.rank]
	if p := r.scenario.patience; p > 0 && r.now >= q.arrived+p {
		k.gone++
		return
	}
	if len(a.Misses()) > 0 {
		k.partial++
		return
	}
	k.latencies = append(k.latencies, r.now-q.arrived)
	for _, w := range a.Winners() {
		if j := r.jobs[entry][w.Attempt()]; j.at <= r.scenario.duration {
			k.useful += j.took
		}
	}
}

func (r *run) finish() {
	for _, d := range r.dispatchers {
		c := d.Status().Counters()
		r.result.calls += c.Calls()
		r.result.extra += c.ExtraCalls()
		r.result.shed += c.NotRunCalls()
	}
	for _, s := range r.servers {
		r.result.overbooked = max(r.result.overbooked, s.most)
	}
}

// happenings is a heap ordered by time, then by order of adding.
type happenings []happening

func (h happenings) Len() int { return len(h) }

func (h happenings) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }

// Pop is for container/heap.
func (h *happenings) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
