package gossiper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"cicadagrade.example/tier"
)

// scheduledCall is a function to run at a given time.
type scheduledCall struct {
	at       tier.Millis
	sequence int
	run      func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// node is a VM on the simulated network. It is gone once another node takes its
// address.
type node struct {
	*Gossiper
	address   string
	paused    bool
	gone      bool
	sentBytes int
	reported  []Action
}

// network carries exchanges between gossipers on a manual clock.
type network struct {
	t             testing.TB
	clock         *tier.ManualClock
	queue         callQueue
	lastSequence  int
	nodes         []*node
	nodeByAddress map[string]*node
	isCut         func(a, b *node) bool
	loss          float64
	latency       func(a, b *node) tier.Millis
	random        *rand.Rand
	options       []Option
}

func newNetwork(t testing.TB, seed uint64, opts ...Option) *network {
	return &network{
		t:             t,
		clock:         tier.NewManualClock(0),
		nodeByAddress: map[string]*node{},
		isCut:         func(a, b *node) bool { return false },
		latency:       func(a, b *node) tier.Millis { return 1 },
		random:        rand.New(rand.NewPCG(seed, 1)),
		options:       opts,
	}
}

func (w *network) now() tier.Millis { return w.clock.Clock().Now() }

func (w *network) after(d tier.Millis, run func()) {
	w.lastSequence++
	heap.Push(&w.queue, scheduledCall{at: w.now() + d, sequence: w.lastSequence, run: run})
}

// checkInterval is how often run calls done, in milliseconds.
const checkInterval = 50

// run advances the clock by d, or until done returns true.
func (w *network) run(d tier.Millis, done func() bool) bool {
	end := w.now() + d
	check := w.now()
	for len(w.queue) > 0 && w.queue[0].at <= end {
		c := heap.Pop(&w.queue).(scheduledCall)
		w.clock.Advance(c.at - w.now())
		c.run()
		if done == nil || w.now() < check {
			continue
		}
		if done() {
			return true
		}
		check = w.now() + checkInterval
	}
	w.clock.Advance(end - w.now())
	return false
}

// add starts a VM and kills the one that had its address before.
func (w *network) add(vm tier.VM, seeds ...string) *node {
	opts := append([]Option{WithSeed(w.random.Uint64())}, w.options...)
	g, err := New(vm, opts...)
	if err != nil {
		w.t.Fatal(err)
	}
	n := &node{Gossiper: g, address: vm.Address()}
	if old := w.nodeByAddress[n.address]; old != nil {
		w.kill(old)
	}
	w.nodeByAddress[n.address] = n
	w.nodes = append(w.nodes, n)
	w.step(n, NewSeedsChanged(seeds))
	w.step(n, NewSetState(tier.VMLive))
	w.after(tier.Millis(w.random.IntN(100)), func() { w.tick(n) })
	return n
}

func (w *network) kill(n *node) {
	n.gone = true
	delete(w.nodeByAddress, n.address)
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

// step passes an event to a node, carries out its actions, and returns its reply.
func (w *network) step(n *node, e Event) *Message {
	var reply *Message
	for _, a := range n.Step(w.now(), e) {
		switch a := a.(type) {
		case *SendRequest:
			n.sentBytes += a.message.Size()
			w.send(n, a)
		case *SendReply:
			n.sentBytes += a.message.Size()
			reply = a.message
		default:
			n.reported = append(n.reported, a)
		}
	}
	return reply
}

func (w *network) send(n *node, a *SendRequest) {
	to := w.nodeByAddress[a.address]
	lost := w.random.Float64() < w.loss
	switch {
	case to == nil:
		w.after(1, func() { w.deliver(n, NewExchangeFailed(a.number)) })
	case lost || to.paused || w.isCut(n, to):
		w.after(tier.Second, func() { w.deliver(n, NewExchangeFailed(a.number)) })
	default:
		l := w.latency(n, to)
		w.after(l, func() {
			if to.gone || to.paused {
				w.after(tier.Second, func() { w.deliver(n, NewExchangeFailed(a.number)) })
				return
			}
			reply := w.step(to, NewRequestReceived(a.message))
			w.after(l, func() { w.deliver(n, NewReplyReceived(a.number, reply)) })
		})
	}
}

func (w *network) deliver(n *node, e Event) {
	if !n.gone && !n.paused {
		w.step(n, e)
	}
}

func testVM(dataCentre string, i int, incarnationOffset tier.Incarnation) tier.VM {
	name := fmt.Sprintf("%s-%d", dataCentre, i)
	address := fmt.Sprintf("10.%d.%d.%d:7000", len(dataCentre), i/250, i%250+1)
	return tier.NewVM(name, dataCentre, address, tier.WithIncarnation(1_764_800_000_000+incarnationOffset))
}

// converged reports whether every node holds exactly the running nodes as not dead,
// with their incarnations and states.
func (w *network) converged() bool { return w.countWrong() == 0 }

// countWrong counts the member records over all nodes that are missing or differ from
// the actual state.
func (w *network) countWrong() int {
	wrong := 0
	for _, n := range w.nodes {
		for _, r := range n.records {
			if r.vmKnown && !r.dead && (w.nodeByAddress[r.vm.Address()] == nil || w.nodeByAddress[r.vm.Address()].name != r.vm.Name()) {
				wrong++
			}
		}
		for _, o := range w.nodes {
			if r, ok := n.records[o.name]; !ok || r.vmWithState() != o.Self() {
				wrong++
			}
		}
	}
	return wrong
}

func (w *network) mustConverge(limit tier.Millis, what string) tier.Millis {
	w.t.Helper()
	from := w.now()
	if !w.converged() && !w.run(limit, w.converged) {
		w.t.Fatalf("%s: members differ after %d ms:\n%s", what, limit, w.describeViews())
	}
	return w.now() - from
}

// describeViews lists the wrong members of the first few nodes, for failure messages.
func (w *network) describeViews() string {
	var b strings.Builder
	for _, n := range w.nodes[:min(len(w.nodes), 8)] {
		fmt.Fprintf(&b, "%v knows %d, tokens %.0f\n", n.Self(), len(n.records), n.bucket.tokens)
		for _, v := range n.Members() {
			if o := w.nodeByAddress[v.Address()]; (o == nil || o.Self() != v) && v.State() != tier.VMDead {
				fmt.Fprintf(&b, "  holds %v\n", v)
			}
		}
	}
	return b.String()
}
