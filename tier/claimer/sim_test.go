package claimer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/claimer"
)

// faults selects the faults that the simulation injects.
type faults struct {
	disabled    bool // nothing fails
	hedged      bool // every booking is sent twice; checkHistory has to detect it
	alwaysFirst bool // every submission states that it is the first one of its key
	losesClaims bool // the store acknowledges writes but keeps none
}

// sim runs some VMs, a store and a back end on a manual clock. All its choices
// derive from one seed.
type sim struct {
	faults
	random         *rand.Rand
	now            tier.Millis
	events         eventQueue
	scheduledCount int
	pages          map[string][]pageState // all states of each page, oldest first
	lastRevision   int64
	down           bool
	slow           bool
	vms            []*vm
	submissions    []*submission
	runs           map[string][]string // receipts by idempotency key
	deletedPages   []string
}

type pageState struct {
	data     []byte
	revision int64
}

// submission is one request of a caller and its outcome.
type submission struct {
	key         string
	submittedAt tier.Millis
	endedAt     tier.Millis
	outcome     tier.Outcome // nil if the VM was restarted before it answered
}

// vm is an entry VM: a claimer that start replaces by that of the next incarnation.
type vm struct {
	sim            *sim
	name           string
	incarnation    tier.Incarnation
	claimer        *claimer.Claimer
	pausedUntil    tier.Millis
	lastSubmission uint64
	open           map[uint64]*submission
}

type scheduledEvent struct {
	at    tier.Millis
	order int
	do    func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

const (
	today     = "2026-12-04"
	wallStart = tier.Millis(1_796_342_400_000) // 2026-12-04 00:00 UTC
	faultEnd  = 2 * tier.Second
)

func newSim(seed uint64, f faults, vms int) *sim {
	si := &sim{faults: f, random: rand.New(rand.NewPCG(seed, 1)), pages: map[string][]pageState{}, runs: map[string][]string{}}
	for i := range vms {
		v := &vm{sim: si, name: fmt.Sprintf("caxias-%d", i+1)}
		v.start()
		si.vms = append(si.vms, v)
	}
	return si
}

func (si *sim) chance(percent int) bool { return si.random.IntN(100) < percent }

func (si *sim) upTo(m tier.Millis) tier.Millis { return tier.Millis(si.random.Int64N(int64(m) + 1)) }

func (si *sim) after(d tier.Millis, do func()) {
	si.scheduledCount++
	heap.Push(&si.events, scheduledEvent{si.now + d, si.scheduledCount, do})
}

func (si *sim) runNext() {
	s := heap.Pop(&si.events).(scheduledEvent)
	si.now = s.at
	s.do()
}

func (si *sim) runToEnd() {
	for len(si.events) > 0 {
		si.runNext()
	}
}

// live is the VMs' view of the membership, which is occasionally wrong.
func (si *sim) live(name string, i tier.Incarnation) bool {
	for _, v := range si.vms {
		if v.name == name {
			return v.incarnation == i != si.chance(5)
		}
	}
	return false
}

// start begins the next incarnation of a VM, without the state of the previous one.
func (v *vm) start() {
	v.incarnation++
	v.open = map[uint64]*submission{}
	v.claimer = claimer.New(v.name, v.incarnation, claimer.WithPages(2), claimer.WithLive(v.sim.live), claimer.WithSeed(v.sim.random.Uint64()))
}

// handle passes an event to the claimer if it is meant for the current incarnation,
// delayed until the VM is no longer paused.
func (v *vm) handle(incarnation tier.Incarnation, e claimer.Event) {
	if v.incarnation != incarnation {
		return
	}
	if v.sim.now < v.pausedUntil {
		v.sim.after(v.pausedUntil-v.sim.now, func() { v.handle(incarnation, e) })
		return
	}
	for _, a := range v.claimer.Step(v.sim.now, e) {
		v.do(incarnation, a)
	}
	if at, ok := v.claimer.Next(); ok {
		v.sim.after(max(at-v.sim.now, 1), func() { v.tick(incarnation, at) })
	}
}

func (v *vm) tick(incarnation tier.Incarnation, due tier.Millis) {
	if at, ok := v.claimer.Next(); ok && at == due && v.incarnation == incarnation {
		v.handle(incarnation, &claimer.Tick{})
	}
}

func (v *vm) do(incarnation tier.Incarnation, a claimer.Action) {
	si := v.sim
	switch a := a.(type) {
	case *claimer.Read:
		si.after(si.storeDelay(), func() { si.readPage(a, func(e claimer.Event) { v.reply(incarnation, e) }) })
	case *claimer.Write:
		si.after(si.storeDelay(), func() { si.writePage(a, func(e claimer.Event) { v.reply(incarnation, e) }) })
	case *claimer.DeletePage:
		si.deletedPages = append(si.deletedPages, a.Key())
	case *claimer.Run:
		si.after(si.upTo(3), func() { v.send(incarnation, a) })
	case *claimer.Finish:
		s := v.open[a.SubmissionID()]
		s.endedAt, s.outcome = si.now, a.Outcome()
		delete(v.open, a.SubmissionID())
	}
}

func (v *vm) reply(incarnation tier.Incarnation, e claimer.Event) {
	v.sim.after(v.sim.storeDelay(), func() { v.handle(incarnation, e) })
}

// send performs a Run as the caller of a claimer has to.
func (v *vm) send(incarnation tier.Incarnation, a *claimer.Run) {
	if v.incarnation != incarnation {
		return
	}
	if v.sim.now < v.pausedUntil {
		v.sim.after(v.pausedUntil-v.sim.now, func() { v.send(incarnation, a) })
		return
	}
	if v.sim.now >= a.Deadline() {
		v.handle(incarnation, claimer.NewRan(a.SubmissionID(), tier.NewRefused(tier.RefuseDeadline, 0)))
		return
	}
	o := v.sim.book(a.Key().String())
	if v.sim.hedged {
		o = v.sim.book(a.Key().String())
	}
	v.sim.after(v.sim.upTo(30), func() { v.handle(incarnation, claimer.NewRan(a.SubmissionID(), o)) })
}

// book is the back end: it runs every request that it receives.
func (si *sim) book(key string) tier.Outcome {
	lost := !si.disabled && si.chance(15)
	if !si.disabled && si.chance(20) {
		if lost {
			return tier.NewUnknown(tier.UnknownLostReply)
		}
		return tier.NewRefused(tier.RefuseByServer, 0)
	}
	receipt := fmt.Sprintf("%s#%d", key, len(si.runs[key]))
	si.runs[key] = append(si.runs[key], receipt)
	if lost {
		return tier.NewUnknown(tier.UnknownLostReply)
	}
	return tier.NewBooked(receipt, false)
}

// submit simulates a caller that submits a key to a VM.
func (si *sim) submit(v *vm, key string, first bool, timeout tier.Millis) {
	s := &submission{key: key, submittedAt: si.now}
	si.submissions = append(si.submissions, s)
	v.lastSubmission++
	id, incarnation := v.lastSubmission, v.incarnation
	v.open[id] = s
	k, err := claimer.ParseKey(key)
	if err != nil {
		panic(err)
	}
	v.handle(incarnation, claimer.NewSubmit(id, k, "portao", claimer.Fingerprint("portao", "r", key), first || si.alwaysFirst, si.now+timeout, wallStart+si.now))
	if !si.disabled && si.chance(10) {
		si.after(si.upTo(timeout), func() {
			if v.incarnation == incarnation {
				v.handle(incarnation, claimer.NewCallerGone(id))
			}
		})
	}
}
