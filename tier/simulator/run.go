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

// publishInterval is the interval at which an owner publishes its admission threshold to
// fronts.
const publishInterval = 100 * tier.Millis(1)

// burstFactor is the factor on the arrival rate of daily queries during a burst.
const burstFactor = 10

// query is a search as its caller sees it, including retries.
type query struct {
	id      uint64
	rank    tier.Rank
	arrived tier.Millis
	retries int // after refusals
}

// event is something that happens at a point in simulated time. Which fields are set depends
// on its kind.
type event struct {
	at            tier.Millis
	sequence      int
	rank          tier.Rank
	job           *job
	server        *server
	kind          eventKind
	entryVM       int
	query         uint64
	sheddingSlots int
}

// eventKind says what happens at an event.
type eventKind int

const (
	arrival eventKind = iota
	jobEnded
	thresholdPublished
	retry    // of a refused query
	callShed // the reply to a call that a server shed
	callerLeft
	sheddingChanged
)

// simulation is one run of a scenario.
type simulation struct {
	scenario     *Scenario
	random       *rand.Rand
	now          tier.Millis
	events       eventQueue
	lastSequence int
	profiles     [len(tier.Ranks)]*tier.Profile
	dispatchers  []*dispatcher.Dispatcher
	servers      map[string]*server
	shards       []string
	jobs         []map[uint64]*job // by dispatcher and attempt number
	serverOf     map[*job]*server
	queries      map[uint64]*query
	admitters    []*admitter.Admitter // of the fronts, by entry VM
	published    admitter.ReceivedThreshold
	result       *Result
}

// Run simulates a scenario and returns its figures.
func Run(s *Scenario) (*Result, error) {
	if err := s.Validate(); err != nil {
		return nil, errors.Wrap(err, "Run")
	}
	sm := &simulation{
		scenario: s, random: rand.New(rand.NewPCG(s.seed, 2)), servers: map[string]*server{},
		serverOf: map[*job]*server{}, queries: map[uint64]*query{}, result: newResult(s),
	}
	if err := sm.setUp(); err != nil {
		return nil, errors.Wrap(err, "Run")
	}
	sm.runEvents()
	sm.collectCounters()
	return sm.result, nil
}

func (sm *simulation) setUp() error {
	set, err := sm.scenario.shardSet()
	if err != nil {
		return err
	}
	for _, b := range set.Servers() {
		sm.servers[b.Name()] = &server{slots: sm.scenario.shape.slots, slowdown: 1}
	}
	sm.servers[serverName(0)].slowdown = sm.scenario.straggler
	for _, h := range set.Shards() {
		sm.shards = append(sm.shards, h.ID())
	}
	for _, k := range tier.Ranks {
		if sm.profiles[k], err = sm.scenario.profile(k); err != nil {
			return err
		}
	}
	sm.startDispatchers(set)
	return nil
}

func (sm *simulation) startDispatchers(set *tier.ShardSet) {
	n := entryVMs
	if sm.scenario.sharing == Owner {
		n = 1
	}
	for i := range n {
		d := dispatcher.New(set, "here", dispatcher.WithSeed(sm.scenario.seed+uint64(i)), dispatcher.WithTakeoverDelay(0))
		sm.dispatchers = append(sm.dispatchers, d)
		sm.jobs = append(sm.jobs, map[uint64]*job{})
		for _, b := range set.Servers() {
			sm.perform(i, d.Step(0, dispatcher.NewBackendChanged(b.Name(), tier.BackendLive)))
		}
	}
	for range entryVMs {
		sm.admitters = append(sm.admitters, admitter.New())
	}
	for _, k := range tier.Ranks {
		sm.scheduleArrival(k)
	}
	if s := sm.scenario; s.sheddingTo > 0 {
		sm.addEvent(event{at: s.sheddingFrom, kind: sheddingChanged, sheddingSlots: s.sheddingSlots})
		sm.addEvent(event{at: s.sheddingTo, kind: sheddingChanged})
	}
	if sm.scenario.sharing == Owner {
		sm.addEvent(event{at: publishInterval, kind: thresholdPublished})
	}
}

func (sm *simulation) addEvent(e event) {
	sm.lastSequence++
	e.sequence = sm.lastSequence
	heap.Push(&sm.events, e)
}

// scheduleArrival schedules the next arrival of a query of a rank, unless it is after the end
// of arrivals.
func (sm *simulation) scheduleArrival(k tier.Rank) {
	if sm.scenario.loads[k] == 0 {
		return
	}
	gap := sm.scenario.meanInterarrival(k)
	if k == tier.Daily && sm.now < sm.scenario.burstDuration {
		gap /= burstFactor
	}
	at := sm.now + tier.Millis(math.Round(sm.random.ExpFloat64()*gap))
	if at <= sm.scenario.duration {
		sm.addEvent(event{at: at, rank: k, kind: arrival})
	}
}

// runEvents handles events and dispatcher ticks in order of time until there are none left, or
// until the deadlines of the last queries are long past.
func (sm *simulation) runEvents() {
	for {
		i, at, ok := sm.nextTick()
		if len(sm.events) > 0 && (!ok || sm.events[0].at <= at) {
			e := heap.Pop(&sm.events).(event)
			sm.now = e.at
			sm.handle(e)
			continue
		}
		if !ok || sm.now > sm.scenario.duration+2*deadlines[tier.Reports] {
			return
		}
		sm.now = max(sm.now, at)
		sm.perform(i, sm.dispatchers[i].Step(sm.now, &dispatcher.Tick{}))
	}
}

// nextTick returns the index of the dispatcher whose next tick is due first, and its time.
func (sm *simulation) nextTick() (int, tier.Millis, bool) {
	first, at, found := 0, tier.Millis(0), false
	for i, d := range sm.dispatchers {
		if t, ok := d.NextTick(); ok && (!found || t < at) {
			first, at, found = i, t, true
		}
	}
	return first, at, found
}

func (sm *simulation) handle(e event) {
	switch e.kind {
	case arrival:
		sm.scheduleArrival(e.rank)
		sm.addQuery(e.rank)
	case jobEnded:
		if !e.job.ended {
			sm.endJob(e.job, e.server, &dispatcher.ReplyOK{})
		}
	case retry:
		sm.submit(sm.queries[e.query])
	case callShed:
		ended := dispatcher.NewCallEnded(e.job.attempt, dispatcher.NewReplyNotRun(dispatcher.NotRunShed))
		sm.perform(e.job.entryVM, sm.dispatchers[e.job.entryVM].Step(sm.now, ended))
	case callerLeft:
		sm.perform(e.entryVM, sm.dispatchers[e.entryVM].Step(sm.now, dispatcher.NewCancelled(e.query)))
	case sheddingChanged:
		for _, s := range sm.servers {
			s.shedSlots = e.sheddingSlots
		}
	case thresholdPublished:
		sm.published = admitter.NewReceivedThreshold(sm.dispatchers[0].Status().Threshold(), sm.now)
		if sm.now < sm.scenario.duration {
			sm.addEvent(event{at: sm.now + publishInterval, kind: thresholdPublished})
		}
	}
}

// addQuery creates a query and submits it.
func (sm *simulation) addQuery(k tier.Rank) {
	id := uint64(len(sm.queries) + 1)
	q := &query{id: id, rank: k, arrived: sm.now}
	sm.queries[id] = q
	sm.result.ranks[k].offered++
	sm.submit(q)
}

// submit sends a query to an entry VM. In the mode Owner, that VM refuses it by the published
// threshold or passes it to the owner.
func (sm *simulation) submit(q *query) {
	k := q.rank
	entryVM := 0
	if !sm.scenario.singleEntryVM {
		entryVM = sm.random.IntN(entryVMs)
	}
	if sm.scenario.sharing == Owner {
		if retryAfter, ok := sm.admitters[entryVM].Admit(sm.now, k, sm.published); !ok && sm.published != (admitter.ReceivedThreshold{}) {
			sm.result.ranks[k].refusedByFront++
			sm.retryOrRefuse(q, retryAfter)
			return
		}
		entryVM = 0
	}
	if sm.scenario.callerTimeout > 0 {
		sm.addEvent(event{at: sm.now + sm.scenario.callerTimeout, kind: callerLeft, entryVM: entryVM, query: q.id})
	}
	e := dispatcher.NewSubmit(q.id, sm.profiles[k], sm.now+deadlines[k], sm.shards)
	sm.perform(entryVM, sm.dispatchers[entryVM].Step(sm.now, e))
}

// retryOrRefuse schedules the retry of a refused query, or counts it as refused if it has no
// retries left.
func (sm *simulation) retryOrRefuse(q *query, retryAfter tier.Millis) {
	if q.retries == sm.scenario.maxRetries {
		sm.result.ranks[q.rank].refused++
		return
	}
	q.retries++
	sm.result.ranks[q.rank].retries++
	if sm.scenario.impatient {
		retryAfter = 1
	}
	sm.addEvent(event{at: sm.now + retryAfter, kind: retry, query: q.id})
}

func (sm *simulation) perform(entryVM int, actions []dispatcher.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *dispatcher.Call:
			sm.startCall(entryVM, a)
		case *dispatcher.CancelCall:
			sm.cancelCall(entryVM, a.Attempt())
		case *dispatcher.PartDone:
			sm.recordAnswer(entryVM, a)
		case *dispatcher.PartRefused:
			if a.Reason() == tier.RefuseCallerGone {
				sm.result.ranks[sm.queries[a.Part()].rank].abandoned++
				continue
			}
			sm.retryOrRefuse(sm.queries[a.Part()], a.RetryAfter())
		default:
			panic(fmt.Sprintf("unexpected action %T", a))
		}
	}
}

func (sm *simulation) startCall(entryVM int, c *dispatcher.Call) {
	s := sm.servers[c.Server()]
	k := sm.queries[c.Part()].rank
	serviceTime := (fixedServiceTime + meanRandomServiceTime*sm.random.ExpFloat64()) * serviceTimeFactors[k] * s.slowdown
	j := &job{entryVM: entryVM, attempt: c.Attempt(), serviceTime: tier.Millis(math.Round(serviceTime)), rank: k}
	sm.jobs[entryVM][j.attempt] = j
	if s.sheds() {
		j.ended = true
		sm.addEvent(event{at: sm.now, kind: callShed, job: j})
		return
	}
	sm.serverOf[j] = s
	sm.scheduleJobEnd(s.addJob(j), s)
}

func (sm *simulation) scheduleJobEnd(j *job, s *server) {
	if j != nil {
		sm.addEvent(event{at: sm.now + j.serviceTime, kind: jobEnded, job: j, server: s})
	}
}

// cancelCall ends the job of a call at once and reports the call as failed to its dispatcher.
func (sm *simulation) cancelCall(entryVM int, attempt uint64) {
	if j := sm.jobs[entryVM][attempt]; j != nil && !j.ended {
		sm.endJob(j, sm.serverOf[j], &dispatcher.ReplyFailed{})
	}
}

func (sm *simulation) endJob(j *job, s *server, result dispatcher.Result) {
	sm.scheduleJobEnd(s.endJob(sm.now, j), s)
	delete(sm.serverOf, j)
	sm.perform(j.entryVM, sm.dispatchers[j.entryVM].Step(sm.now, dispatcher.NewCallEnded(j.attempt, result)))
}

func (sm *simulation) recordAnswer(entryVM int, a *dispatcher.PartDone) {
	q := sm.queries[a.Part()]
	counts := &sm.result.ranks[q.rank]
	if timeout := sm.scenario.callerTimeout; timeout > 0 && sm.now >= q.arrived+timeout {
		counts.abandoned++
		return
	}
	if len(a.Misses()) > 0 {
		counts.partial++
		return
	}
	counts.latencies = append(counts.latencies, sm.now-q.arrived)
	for _, w := range a.Winners() {
		if j := sm.jobs[entryVM][w.Attempt()]; j.endedAt <= sm.scenario.duration {
			counts.usefulSlotTime += j.serviceTime
		}
	}
}

func (sm *simulation) collectCounters() {
	for _, d := range sm.dispatchers {
		c := d.Status().Counters()
		sm.result.calls += c.Calls()
		sm.result.extraCalls += c.ExtraCalls()
		sm.result.shedCalls += c.NotRunCalls()
	}
	for _, s := range sm.servers {
		sm.result.overbooked = max(sm.result.overbooked, s.maxExcess)
	}
}

// eventQueue is a heap of events ordered by time, and by the order in which they were added.
type eventQueue []event

func (h eventQueue) Len() int { return len(h) }

func (h eventQueue) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventQueue) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventQueue) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
