package claimer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/claimer"
)

// faults says what the world does to the claimers.
type faults struct {
	off       bool // nothing fails
	hedged    bool // a send is hedged, as no booking may be
	vouched   bool // every sending says that it is its key's first
	forgetful bool // the store loses every claim
}

// world is some VMs, a store and a backend server on one manual clock. All
// its choices come from one seed.
type world struct {
	faults
	random  *rand.Rand
	now     tier.Millis
	queue   queue
	count   int
	pages   map[string][]stored // the states of each page, oldest first
	last    int64
	down    bool
	slow    bool
	vms     []*vm
	sent    []*sending
	runs    map[string][]string // receipts by idempotency key
	dropped []string
}

type stored struct {
	data     []byte
	revision int64
}

// sending is one request of a caller and its end.
type sending struct {
	key     string
	called  tier.Millis
	ended   tier.Millis
	outcome tier.Outcome // nil if the VM died before it answered
}

// vm is an entry VM: a claimer in one life after another.
type vm struct {
	w       *world
	name    string
	life    tier.Incarnation
	claimer *claimer.Claimer
	paused  tier.Millis
	ticket  uint64
	open    map[uint64]*sending
}

type scheduled struct {
	at    tier.Millis
	order int
	do    func()
}

type queue []scheduled

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *queue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

const (
	today    = "2026-12-04"
	wall     = tier.Millis(1_796_342_400_000) // 2026-12-04 00:00 UTC
	faultEnd = 2 * tier.Second
)

func newWorld(seed uint64, f faults, vms int) *world {
	w := &world{faults: f, random: rand.New(rand.NewPCG(seed, 1)), pages: map[string][]stored{}, runs: map[string][]string{}}
	for i := range vms {
		v := &vm{w: w, name: fmt.Sprintf("caxias-%d", i+1)}
		v.start()
		w.vms = append(w.vms, v)
	}
	return w
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

func (w *world) upTo(m tier.Millis) tier.Millis { return tier.Millis(w.random.Int64N(int64(m) + 1)) }

func (w *world) after(d tier.Millis, do func()) {
	w.count++
	heap.Push(&w.queue, scheduled{w.now + d, w.count, do})
}

func (w *world) step() {
	s := heap.Pop(&w.queue).(scheduled)
	w.now = s.at
	s.do()
}

func (w *world) play() {
	for len(w.queue) > 0 {
		w.step()
	}
}

// live is the belief of the members: now and then wrong.
func (w *world) live(name string, i tier.Incarnation) bool {
	for _, v := range w.vms {
		if v.name == name {
			return v.life == i != w.chance(5)
		}
	}
	return false
}

// start begins the next life of a VM. What it knew is gone.
func (v *vm) start() {
	v.life++
	v.open = map[uint64]*sending{}
	v.claimer = claimer.New(v.name, v.life, claimer.WithPages(2), claimer.WithLive(v.w.live), claimer.WithSeed(v.w.random.Uint64()))
}

// step hands the VM an event of the life it is meant for, once it isn't
// paused.
func (v *vm) step(life tier.Incarnation, e claimer.Event) {
	if v.life != life {
		return
	}
	if v.w.now < v.paused {
		v.w.after(v.paused-v.w.now, func() { v.step(life, e) })
		return
	}
	for _, a := range v.claimer.Step(v.w.now, e) {
		v.do(life, a)
	}
	if at, ok := v.claimer.Next(); ok {
		v.w.after(max(at-v.w.now, 1), func() { v.tick(life, at) })
	}
}

func (v *vm) tick(life tier.Incarnation, due tier.Millis) {
	if at, ok := v.claimer.Next(); ok && at == due && v.life == life {
		v.step(life, &claimer.Tick{})
	}
}

func (v *vm) do(life tier.Incarnation, a claimer.Action) {
	w := v.w
	switch a := a.(type) {
	case *claimer.Read:
		w.after(w.delay(), func() { w.read(a, func(e claimer.Event) { v.reply(life, e) }) })
	case *claimer.Write:
		w.after(w.delay(), func() { w.write(a, func(e claimer.Event) { v.reply(life, e) }) })
	case *claimer.DeletePage:
		w.dropped = append(w.dropped, a.Key())
	case *claimer.Run:
		w.after(w.upTo(3), func() { v.send(life, a) })
	case *claimer.Finish:
		s := v.open[a.SubmissionID()]
		s.ended, s.outcome = w.now, a.Outcome()
		delete(v.open, a.SubmissionID())
	}
}

func (v *vm) reply(life tier.Incarnation, e claimer.Event) {
	v.w.after(v.w.delay(), func() { v.step(life, e) })
}

// send is what the shell does with a Run.
func (v *vm) send(life tier.Incarnation, a *claimer.Run) {
	if v.life != life {
		return
	}
	if v.w.now < v.paused {
		v.w.after(v.paused-v.w.now, func() { v.send(life, a) })
		return
	}
	if v.w.now >= a.Deadline() {
		v.step(life, claimer.NewRan(a.SubmissionID(), tier.NewRefused(tier.RefuseDeadline, 0)))
		return
	}
	o := v.w.book(a.Key().String())
	if v.w.hedged {
		o = v.w.book(a.Key().String())
	}
	v.w.after(v.w.upTo(30), func() { v.step(life, claimer.NewRan(a.SubmissionID(), o)) })
}

// book is the backend server: it runs whatever comes.
func (w *world) book(key string) tier.Outcome {
	lost := !w.off && w.chance(15)
	if !w.off && w.chance(20) {
		if lost {
			return tier.NewUnknown(tier.UnknownLostReply)
		}
		return tier.NewRefused(tier.RefuseByServer, 0)
	}
	receipt := fmt.Sprintf("%s#%d", key, len(w.runs[key]))
	w.runs[key] = append(w.runs[key], receipt)
	if lost {
		return tier.NewUnknown(tier.UnknownLostReply)
	}
	return tier.NewBooked(receipt, false)
}

// submit has a caller send a key to a VM.
func (w *world) submit(v *vm, key string, first bool, patience tier.Millis) {
	s := &sending{key: key, called: w.now}
	w.sent = append(w.sent, s)
	v.ticket++
	ticket, life := v.ticket, v.life
	v.open[ticket] = s
	k, err := claimer.ParseKey(key)
	if err != nil {
		panic(err)
	}
	v.step(life, claimer.NewSubmit(ticket, k, "portao", claimer.Fingerprint("portao", "r", key), first || w.vouched, w.now+patience, wall+w.now))
	if !w.off && w.chance(10) {
		w.after(w.upTo(patience), func() {
			if v.life == life {
				v.step(life, claimer.NewCallerGone(ticket))
			}
		})
	}
}
