package gossiper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"cicadagrade.example/tier"
)

// parcel is a thing to happen at a node at a time.
type parcel struct {
	at    tier.Millis
	order int
	run   func()
}

type parcels []parcel

func (p parcels) Len() int { return len(p) }
func (p parcels) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].order < p[j].order
}
func (p parcels) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *parcels) Push(x any)   { *p = append(*p, x.(parcel)) }
func (p *parcels) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// node is a VM on the network. Its life ends when another takes its address.
type node struct {
	*Gossiper
	address string
	paused  bool
	gone    bool
	sent    int
	told    []Action
}

// network carries exchanges between gossipers on the manual clock.
type network struct {
	t       testing.TB
	clock   *tier.ManualClock
	queue   parcels
	order   int
	nodes   []*node
	at      map[string]*node
	cut     func(a, b *node) bool
	loss    float64
	latency func(a, b *node) tier.Millis
	random  *rand.Rand
	options []Option
}

func newNetwork(t testing.TB, seed uint64, opts ...Option) *network {
	return &network{
		t:       t,
		clock:   tier.NewManualClock(0),
		at:      map[string]*node{},
		cut:     func(a, b *node) bool { return false },
		latency: func(a, b *node) tier.Millis { return 1 },
		random:  rand.New(rand.NewPCG(seed, 1)),
		options: opts,
	}
}

func (w *network) now() tier.Millis { return w.clock.Clock().Now() }

func (w *network) after(d tier.Millis, run func()) {
	w.order++
	heap.Push(&w.queue, parcel{at: w.now() + d, order: w.order, run: run})
}

// checkEvery is how often run asks whether it is done.
const checkEvery = 50

// run lets time pass until now+d, or until done says so.
func (w *network) run(d tier.Millis, done func() bool) bool {
	end := w.now() + d
	check := w.now()
	for len(w.queue) > 0 && w.queue[0].at <= end {
		p := heap.Pop(&w.queue).(parcel)
		w.clock.Advance(p.at - w.now())
		p.run()
		if done == nil || w.now() < check {
			continue
		}
		if done() {
			return true
		}
		check = w.now() + checkEvery
	}
	w.clock.Advance(end - w.now())
	return false
}

// add starts a VM; one that had the address before is gone.
func (w *network) add(vm tier.VM, seeds ...string) *node {
	opts := append([]Option{WithSeed(w.random.Uint64())}, w.options...)
	g, err := New(vm, opts...)
	if err != nil {
		w.t.Fatal(err)
	}
	n := &node{Gossiper: g, address: vm.Address()}
	if old := w.at[n.address]; old != nil {
		w.kill(old)
	}
	w.at[n.address] = n
	w.nodes = append(w.nodes, n)
	w.step(n, NewSeedsChanged(seeds))
	w.step(n, NewSetState(tier.VMLive))
	w.after(tier.Millis(w.random.IntN(100)), func() { w.tick(n) })
	return n
}

func (w *network) kill(n *node) {
	n.gone = true
	delete(w.at, n.address)
	for i := range w.nodes {
		if w.nodes[i] == n {
			w.nodes = append(w.nodes[:i], w.nodes[i+1:]...)
			return
		}
	}
}

func (w *network) tick(n *node) {
	if n.gone {
		return
	}
	if !n.paused {
		w.step(n, &Tick{})
	}
	next, _ := n.Next()
	w.after(max(10, min(next-w.now(), tier.Second/4)), func() { w.tick(n) })
}

// step steps a node and returns its reply.
func (w *network) step(n *node, e Event) *Message {
	var reply *Message
	for _, a := range n.Step(w.now(), e) {
		switch a := a.(type) {
		case *SendExchange:
			n.sent += a.message.Size()
			w.send(n, a)
		case *Reply:
			n.sent += a.message.Size()
			reply = a.message
		default:
			n.told = append(n.told, a)
		}
	}
	return reply
}

func (w *network) send(n *node, a *SendExchange) {
	to := w.at[a.address]
	lost := w.random.Float64() < w.loss
	switch {
	case to == nil:
		w.after(1, func() { w.back(n, NewPeerFailed(a.number)) })
	case lost || to.paused || w.cut(n, to):
		w.after(tier.Second, func() { w.back(n, NewPeerFailed(a.number)) })
	default:
		l := w.latency(n, to)
		w.after(l, func() {
			if to.gone || to.paused {
				w.after(tier.Second, func() { w.back(n, NewPeerFailed(a.number)) })
				return
			}
			reply := w.step(to, NewExchangeReceived(a.message))
			w.after(l, func() { w.back(n, NewReplyReceived(a.number, reply)) })
		})
	}
}

func (w *network) back(n *node, e Event) {
	if !n.gone && !n.paused {
		w.step(n, e)
	}
}

func testVM(dataCentre string, i int, life tier.Incarnation) tier.VM {
	name := fmt.Sprintf("%s-%d", dataCentre, i)
	address := fmt.Sprintf("10.%d.%d.%d:7000", len(dataCentre), i/250, i%250+1)
	return tier.NewVM(name, dataCentre, address, tier.WithIncarnation(1_764_800_000_000+life))
}

// agree reports whether every node holds exactly the running nodes as not
// dead, in their lives and states.
func (w *network) agree() bool { return w.wrong() == 0 }

// wrong counts the members that nodes do not hold, or hold otherwise than they
// are.
func (w *network) wrong() int {
	wrong := 0
	for _, n := range w.nodes {
		for _, r := range n.records {
			if r.known && !r.dead && (w.at[r.vm.Address()] == nil || w.at[r.vm.Address()].name != r.vm.Name()) {
				wrong++
			}
		}
		for _, o := range w.nodes {
			if r, ok := n.records[o.name]; !ok || r.state() != o.Self() {
				wrong++
			}
		}
	}
	return wrong
}

func (w *network) mustAgree(limit tier.Millis, what string) tier.Millis {
	w.t.Helper()
	from := w.now()
	if !w.agree() && !w.run(limit, w.agree) {
		w.t.Fatalf("%s: members differ after %d ms:\n%s", what, limit, w.views())
	}
	return w.now() - from
}

// views tells how the first few views differ, to make a failure readable.
func (w *network) views() string {
	var b strings.Builder
	for _, n := range w.nodes[:min(len(w.nodes), 8)] {
		fmt.Fprintf(&b, "%v knows %d, tokens %.0f\n", n.Self(), len(n.records), n.bucket.tokens)
		for _, v := range n.Members() {
			if o := w.at[v.Address()]; (o == nil || o.Self() != v) && v.State() != tier.VMDead {
				fmt.Fprintf(&b, "  holds %v\n", v)
			}
		}
	}
	return b.String()
}
