// Package prover_test simulates random histories of searches and bookings across a deployment,
// from the front over owners to the backend servers, in simulated time with seeded faults. It
// checks every outcome against what the servers ran and returned.
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
	setName          = "portao"
	lastRequestStart = 4 * tier.Second  // no request starts after this time
	historyEnd       = 20 * tier.Second // all requests have ended by this time
)

// mutation says which mechanism to break, to show that a check detects it. One that has only a
// takeover delay breaks nothing.
type mutation struct {
	ignoredField      correlator.Field // reply field that owners do not check
	coverAsked        bool             // an answer claims to cover every shard that was asked
	keepDuplicates    bool             // replies are concatenated without removing duplicate keys
	hedgeBookings     bool             // bookings are hedged and retried like idempotent requests
	acceptOlderConfig bool             // VMs adopt configuration of any revision
	lostAsRefused     bool             // a part without a reply is reported as refused
	takeoverDelay     tier.Millis      // before a new owner makes calls; 0 breaks the bound on slots
}

type event struct {
	at       tier.Millis
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// cluster is a simulated deployment with its clock, network, VMs and backend servers.
type cluster struct {
	rng               *rand.Rand
	mutation          mutation
	now               tier.Millis
	queue             eventHeap
	lastSequence      int
	dataCentres       []string
	sets              map[tier.Epoch]*tier.ShardSet
	documentStates    []*replicator.State // of the set document, by revision
	encodedStates     map[*replicator.State][]byte
	publishedRevision int
	servers           []*server
	serverByName      map[string]*server
	vms               []*vm
	cutLinks          map[string]bool
	searches          []*search
	bookings          []*booking
	configOperations  map[string][]configOperation // by VM and incarnation
	lastTimestamp     int64
	counts            map[string]int
	violations        []string
}

func newCluster(seed uint64, m mutation) *cluster {
	cl := &cluster{
		rng: rand.New(rand.NewPCG(seed, 4)), mutation: m,
		sets: map[tier.Epoch]*tier.ShardSet{}, serverByName: map[string]*server{},
		cutLinks: map[string]bool{}, encodedStates: map[*replicator.State][]byte{}, configOperations: map[string][]configOperation{}, counts: map[string]int{},
	}
	cl.dataCentres = []string{"caxias", "porto", "santos"}[:2+cl.rng.IntN(2)]
	cl.createServers()
	cl.createShardSets()
	for _, d := range cl.dataCentres {
		for i := range 2 + cl.rng.IntN(2) {
			v := &vm{cluster: cl, name: fmt.Sprintf("%s-%d", d, i), dataCentre: d}
			cl.vms = append(cl.vms, v)
		}
	}
	for _, v := range cl.vms {
		v.start()
	}
	return cl
}

// withProbability returns true with a probability given in percent.
func (cl *cluster) withProbability(percent int) bool { return cl.rng.IntN(100) < percent }

// upTo returns a random duration from 0 to m.
func (cl *cluster) upTo(m tier.Millis) tier.Millis { return tier.Millis(cl.rng.Int64N(int64(m) + 1)) }

// schedule calls run after a duration of simulated time.
func (cl *cluster) schedule(after tier.Millis, run func()) {
	cl.lastSequence++
	heap.Push(&cl.queue, event{at: cl.now + max(after, 0), sequence: cl.lastSequence, run: run})
}

func (cl *cluster) runEvents() {
	for len(cl.queue) > 0 && cl.queue[0].at <= historyEnd {
		e := heap.Pop(&cl.queue).(event)
		cl.now = e.at
		e.run()
	}
	cl.now = historyEnd
}

// violationf records a violation found by a check. format begins with the name of the check.
func (cl *cluster) violationf(format string, args ...any) {
	cl.violations = append(cl.violations, fmt.Sprintf("at %d: ", cl.now)+fmt.Sprintf(format, args...))
}

// linkDelay returns how long a message from one data centre to another takes, or false if it
// is lost.
func (cl *cluster) linkDelay(from, to string) (tier.Millis, bool) {
	if cl.cutLinks[from+to] || cl.withProbability(2) {
		return 0, false
	}
	if from == to {
		return cl.upTo(3), true
	}
	return 8 + cl.upTo(20), true
}

type keyRange struct {
	id       string
	from, to uint64
}

// createShardSets creates three shard maps, in five revisions of the set document. From the
// first to the third, one shard is split and two are merged, in random order.
func (cl *cluster) createShardSets() {
	const q = uint64(1) << 62
	whole := []keyRange{{"a", 0, q - 1}, {"b", q, 2*q - 1}, {"c", 2 * q, 3*q - 1}, {"d", 3 * q, math.MaxUint64}}
	split := []keyRange{{"a1", 0, q/2 - 1}, {"a2", q / 2, q - 1}, whole[1], whole[2], whole[3]}
	merged := []keyRange{whole[0], whole[1], {"cd", 2 * q, math.MaxUint64}}
	both := []keyRange{split[0], split[1], whole[1], merged[2]}
	second := split
	if cl.withProbability(50) {
		second = merged
	}
	var last *replicator.State
	for i, ranges := range [][]keyRange{whole, whole, second, second, both} {
		epoch := tier.Epoch(1 + i/2)
		set := cl.createShardSet(epoch, ranges, 0.05+0.02*float64(i))
		last, _ = replicator.NextState(last, parser.NewSetDocument(set), replicator.NewAuthor("op", fmt.Sprint(i), "", 0))
		cl.documentStates = append(cl.documentStates, last)
		cl.encodedStates[last] = last.Encode()
	}
}

func (cl *cluster) createShardSet(e tier.Epoch, ranges []keyRange, budget float64) *tier.ShardSet {
	var shards []tier.Shard
	for i, s := range ranges {
		shards = append(shards, tier.NewShard(s.id, s.from, s.to, cl.chooseReplicas(e, i, s.id)...))
	}
	var backends []tier.Backend
	for _, s := range cl.servers {
		backends = append(backends, s.backend)
	}
	set, err := tier.NewShardSet(setName, tier.WithEpoch(e), tier.WithServers(backends...), tier.WithShards(shards...),
		tier.WithHedging(0.8, budget), tier.WithColdRamp(200))
	if err != nil {
		panic(err)
	}
	cl.sets[e] = set
	return set
}

// chooseReplicas returns the replicas of a shard: two servers in each data centre, or in all
// but one of them.
func (cl *cluster) chooseReplicas(e tier.Epoch, i int, id string) []string {
	if old, ok := cl.sets[e]; ok {
		return old.Shards()[i].Replicas()
	}
	without := cl.rng.IntN(2 * len(cl.dataCentres))
	var out []string
	for d, name := range cl.dataCentres {
		if d != without {
			out = append(out, fmt.Sprintf("%s-s%d", name, i%3), fmt.Sprintf("%s-s%d", name, (i+1)%3))
		}
	}
	return out
}

// callStarted adds a call to its server and checks that the server has at most as many calls
// as slots, plus one for each VM beyond the first that has calls there or believes that it
// owns the set in that data centre.
func (cl *cluster) callStarted(c *call) {
	s := c.server
	s.openCalls = append(s.openCalls, c)
	holders := map[*vm]bool{}
	for _, o := range s.openCalls {
		holders[o.vm] = true
	}
	for _, v := range cl.vms {
		if v.believesOwner {
			holders[v] = holders[v] || v.dataCentre == s.backend.DataCentre()
		}
	}
	beyondFirst := -1
	for _, h := range holders {
		if h {
			beyondFirst++
		}
	}
	if limit := s.backend.Slots() + max(beyondFirst, 0); len(s.openCalls) > limit {
		cl.violationf("slots: %d calls on %s, at most %d", len(s.openCalls), s.backend.Name(), limit)
	}
	cl.counts["beyond slots"] += max(0, min(1, len(s.openCalls)-s.backend.Slots()))
}

// release removes a call from its server.
func (c *call) release() {
	c.released = true
	c.server.openCalls = slices.DeleteFunc(c.server.openCalls, func(o *call) bool { return o == c })
}

// call is one leaf call.
type call struct {
	vm          *vm
	incarnation int
	id          tier.AttemptID
	attempt     uint64
	part        *part
	shard       string
	snapshot    tier.Snapshot
	server      *server
	released    bool
	ended       bool // at the VM that made it
	records     []tier.Record
	receipt     string
}

func (c *call) expectation() correlator.Expectation {
	return correlator.NewExpectation(c.id, setName, c.shard, c.snapshot)
}

// leafReply is a server's reply to a leaf call: a search reply, a booking reply, or that the
// call did not run. epoch and held are what the server holds of the shard.
type leafReply struct {
	notRun  *dispatcher.ReplyNotRun
	search  *correlator.SearchReply
	booking *correlator.BookingReply
	epoch   tier.Epoch
	held    []tier.Version
}
