// Package prover_test plays histories of whole searches and bookings, from
// the VM that takes them to the backend servers, on a manual clock with seeded
// faults, and checks every answer against what the servers served.
package prover_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/correlator"
	"cicadagrade.example/tier/dispatcher"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
)

const (
	setName  = "portao"
	workEnd  = 4 * tier.Second  // no request starts later
	worldEnd = 20 * tier.Second // everything has ended by then
)

// faults name the mechanism that a history breaks.
type faults struct {
	ignored  correlator.Field // a field of replies that owners do not check
	asked    bool             // coverage from what was asked for
	doubled  bool             // answers joined without regard to keys
	hedged   bool             // bookings run as if repeatable
	lower    bool             // configuration taken whatever its revision
	refusing bool             // a part without a reply counts as refused
	takeover tier.Millis
}

type event struct {
	at  tier.Millis
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// world is a deployment with its clock, network and servers.
type world struct {
	random      *rand.Rand
	faults      faults
	now         tier.Millis
	queue       eventHeap
	seq         int
	dataCentres []string
	sets        map[tier.Epoch]*tier.ShardSet
	states      []*replicator.State // the set's document, revision by revision
	stored      map[*replicator.State][]byte
	published   int
	servers     []*server
	byName      map[string]*server
	vms         []*vm
	cuts        map[string]bool
	queries     []*query
	bookings    []*booking
	config      map[string][]use // by VM and life
	stamps      int64
	counts      map[string]int
	problems    []string
}

func newWorld(seed uint64, f faults) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 4)), faults: f,
		sets: map[tier.Epoch]*tier.ShardSet{}, byName: map[string]*server{},
		cuts: map[string]bool{}, stored: map[*replicator.State][]byte{}, config: map[string][]use{}, counts: map[string]int{},
	}
	w.dataCentres = []string{"caxias", "porto", "santos"}[:2+w.random.IntN(2)]
	w.makeServers()
	w.makeSets()
	for _, d := range w.dataCentres {
		for i := range 2 + w.random.IntN(2) {
			v := &vm{w: w, name: fmt.Sprintf("%s-%d", d, i), dataCentre: d}
			w.vms = append(w.vms, v)
		}
	}
	for _, v := range w.vms {
		v.begin()
	}
	return w
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

func (w *world) upTo(m tier.Millis) tier.Millis { return tier.Millis(w.random.Int64N(int64(m) + 1)) }

func (w *world) after(m tier.Millis, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + max(m, 0), seq: w.seq, do: do})
}

func (w *world) play() {
	for len(w.queue) > 0 && w.queue[0].at <= worldEnd {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = worldEnd
}

func (w *world) objectf(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf("at %d: ", w.now)+fmt.Sprintf(format, args...))
}

// way is how long a message between data centres takes; false when it is
// lost.
func (w *world) way(from, to string) (tier.Millis, bool) {
	if w.cuts[from+to] || w.chance(2) {
		return 0, false
	}
	if from == to {
		return w.upTo(3), true
	}
	return 8 + w.upTo(20), true
}

type span struct {
	id       string
	from, to uint64
}

// makeSets writes three maps: the second and the third split one shard and
// merge two, in either order.
func (w *world) makeSets() {
	const q = uint64(1) << 62
	whole := []span{{"a", 0, q - 1}, {"b", q, 2*q - 1}, {"c", 2 * q, 3*q - 1}, {"d", 3 * q, math.MaxUint64}}
	split := []span{{"a1", 0, q/2 - 1}, {"a2", q / 2, q - 1}, whole[1], whole[2], whole[3]}
	merged := []span{whole[0], whole[1], {"cd", 2 * q, math.MaxUint64}}
	both := []span{split[0], split[1], whole[1], merged[2]}
	second := split
	if w.chance(50) {
		second = merged
	}
	var last *replicator.State
	for i, spans := range [][]span{whole, whole, second, second, both} {
		epoch := tier.Epoch(1 + i/2)
		set := w.makeSet(epoch, spans, 0.05+0.02*float64(i))
		last, _ = replicator.NextState(last, parser.NewSetDocument(set), replicator.NewAuthor("op", fmt.Sprint(i), "", 0))
		w.states = append(w.states, last)
		w.stored[last] = last.Encode()
	}
}

func (w *world) makeSet(e tier.Epoch, spans []span, budget float64) *tier.ShardSet {
	var shards []tier.Shard
	for i, s := range spans {
		shards = append(shards, tier.NewShard(s.id, s.from, s.to, w.replicas(e, i, s.id)...))
	}
	var backends []tier.Backend
	for _, s := range w.servers {
		backends = append(backends, s.backend)
	}
	set, err := tier.NewShardSet(setName, tier.WithEpoch(e), tier.WithServers(backends...), tier.WithShards(shards...),
		tier.WithHedging(0.8, budget), tier.WithColdRamp(200))
	if err != nil {
		panic(err)
	}
	w.sets[e] = set
	return set
}

// replicas lie on two servers of each data centre, or of all but one.
func (w *world) replicas(e tier.Epoch, i int, id string) []string {
	if old, ok := w.sets[e]; ok {
		return old.Shards()[i].Replicas()
	}
	without := w.random.IntN(2 * len(w.dataCentres))
	var out []string
	for d, name := range w.dataCentres {
		if d != without {
			out = append(out, fmt.Sprintf("%s-s%d", name, i%3), fmt.Sprintf("%s-s%d", name, (i+1)%3))
		}
	}
	return out
}

// inFlight counts a call on its server and checks the bound on slots: one
// more for each VM beyond the first that believes to own or has calls there.
func (w *world) inFlight(c *call) {
	s := c.server
	s.open = append(s.open, c)
	holders := map[*vm]bool{}
	for _, o := range s.open {
		holders[o.vm] = true
	}
	for _, v := range w.vms {
		if v.owns {
			holders[v] = holders[v] || v.dataCentre == s.backend.DataCentre()
		}
	}
	others := -1
	for _, h := range holders {
		if h {
			others++
		}
	}
	if most := s.backend.Slots() + max(others, 0); len(s.open) > most {
		w.objectf("slots: %d calls on %s, at most %d", len(s.open), s.backend.Name(), most)
	}
	w.counts["beyond slots"] += max(0, min(1, len(s.open)-s.backend.Slots()))
}

// release takes a call off its server.
func (c *call) release() {
	c.released = true
	c.server.open = slices.DeleteFunc(c.server.open, func(o *call) bool { return o == c })
}

// call is one leaf call.
type call struct {
	vm       *vm
	life     int
	id       tier.AttemptID
	attempt  uint64
	part     *part
	shard    string
	snapshot tier.Snapshot
	server   *server
	released bool
	over     bool // for the VM that made it
	records  []tier.Record
	receipt  string
}

func (c *call) expect() correlator.Expectation {
	return correlator.NewExpectation(c.id, setName, c.shard, c.snapshot)
}

// answer is a server's answer: a reply, a receipt or that it did not run.
type answer struct {
	notRun  *dispatcher.ReplyNotRun
	reply   *correlator.SearchReply
	receipt *correlator.BookingReply
	epoch   tier.Epoch
	held    []tier.Version
}
