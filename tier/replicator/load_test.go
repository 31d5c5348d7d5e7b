package replicator_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

const stepLength = 50 * tier.Millis(1)

// simulation runs the replicators of whole data centres on a manual clock, with a store
// that replies at once, and counts the calls to the store.
type simulation struct {
	now            tier.Millis
	replicators    []*replicator.Replicator
	names          []string
	dataCentreOf   []int
	local          [][]string // by data centre
	announced      [][]replicator.Ref
	values         []storer.Value
	gossip         bool
	callsPerSecond map[tier.Millis]int // by second
	totalCalls     int
	document       *replicator.State
}

func newSimulation(dataCentres, vmsPerDataCentre int, gossip bool) *simulation {
	s := &simulation{gossip: gossip, callsPerSecond: map[tier.Millis]int{}, local: make([][]string, dataCentres)}
	s.document = history(nil, "main", 1)[0]
	s.values = []storer.Value{storeValue(s.document, 1)}
	for c := range dataCentres {
		for i := range vmsPerDataCentre {
			name := fmt.Sprintf("vm-%d-%d", c, i)
			s.names = append(s.names, name)
			s.dataCentreOf = append(s.dataCentreOf, c)
			s.local[c] = append(s.local[c], name)
			s.replicators = append(s.replicators, replicator.New(name,
				replicator.WithDataCentre(fmt.Sprint(c)), replicator.WithSeeds(3), replicator.WithSeed(1)))
		}
	}
	s.announced = make([][]replicator.Ref, dataCentres)
	return s
}

func (s *simulation) step(i int, e replicator.Event) {
	for _, a := range s.replicators[i].Step(s.now, e) {
		switch a := a.(type) {
		case *replicator.List:
			s.countCall()
			s.step(i, replicator.NewListed(s.values))
		case *replicator.Watch:
			s.countCall()
		case *replicator.Fetch:
			peer := s.replicators[s.indexOf(a.VM())]
			s.step(i, replicator.NewFetched(a.VM(), peer.UpdatesFor(a.Have(), false)))
		}
	}
}

func (s *simulation) indexOf(name string) int {
	for i, n := range s.names {
		if n == name {
			return i
		}
	}
	return -1
}

func (s *simulation) countCall() {
	s.callsPerSecond[s.now/tier.Second]++
	s.totalCalls++
}

// run starts all VMs at once. With gossip, the members are known after two seconds, and
// announcements reach the whole data centre every 250 ms.
func (s *simulation) run(length tier.Millis) {
	for s.now = 0; s.now < length; s.now += stepLength {
		for i, rp := range s.replicators {
			if at, ok := rp.Next(); s.now == 0 || (ok && at <= s.now) {
				s.step(i, &replicator.Tick{})
			}
			if s.gossip && s.now == 2*tier.Second {
				s.step(i, replicator.NewMembers(s.local[s.dataCentreOf[i]], nil))
			}
		}
		if s.gossip && s.now > 2*tier.Second && s.now%250 == 0 && s.now < tier.Minute {
			s.announce()
		}
	}
}

func (s *simulation) announce() {
	for i, rp := range s.replicators {
		c := s.dataCentreOf[i]
		if refs := rp.RefsToAnnounce(); rp.Watcher() && len(refs) > 0 && s.announced[c] == nil {
			s.announced[c] = refs
			for j := range s.replicators {
				if s.dataCentreOf[j] == c && j != i {
					s.step(j, replicator.NewAnnounced(s.names[i], refs))
				}
			}
		}
	}
}

func (s *simulation) maxCallsPerSecond() int {
	highest := 0
	for _, n := range s.callsPerSecond {
		highest = max(highest, n)
	}
	return highest
}

// TestBulkRestart checks that the store gets fewer than 2,000 calls in any second when
// 8,190 VMs start at once, even if no VM hears of another, and that each VM gets the
// configuration. Without the spread of first reads the store gets more calls than that.
func TestBulkRestart(t *testing.T) {
	for _, gossip := range []bool{true, false} {
		s := newSimulation(30, 273, gossip)
		s.run(25 * tier.Second)
		t.Logf("gossip %t: %d calls, %d in the worst second", gossip, s.totalCalls, s.maxCallsPerSecond())
		if s.maxCallsPerSecond() >= 2000 {
			t.Errorf("gossip %t: %d calls in a second", gossip, s.maxCallsPerSecond())
		}
		for i, rp := range s.replicators {
			if len(rp.Documents()) == 0 {
				t.Fatalf("gossip %t: no configuration on %s", gossip, s.names[i])
			}
		}
	}
	broken := newSimulation(30, 273, false)
	for i := range broken.replicators {
		broken.replicators[i] = replicator.New(broken.names[i]) // without seeds: no spread
	}
	if broken.run(5 * tier.Second); broken.maxCallsPerSecond() < 2000 {
		t.Errorf("a bulk restart without a spread passes: %d calls in a second", broken.maxCallsPerSecond())
	}
}

// BenchmarkStoreCalls counts the calls to the store in an hour without changes.
func BenchmarkStoreCalls(b *testing.B) {
	for _, size := range [][2]int{{3, 2}, {1, 30}, {1, 100}, {1, 270}} {
		b.Run(fmt.Sprintf("centres=%d/vms=%d", size[0], size[1]), func(b *testing.B) {
			var s *simulation
			for b.Loop() {
				s = newSimulation(size[0], size[1], true)
				s.run(tier.Hour)
			}
			b.ReportMetric(float64(s.totalCalls), "calls/h")
			b.ReportMetric(float64(s.totalCalls)/float64(len(s.replicators)), "calls/vm/h")
			b.ReportMetric(float64(s.maxCallsPerSecond()), "worst-calls/s")
		})
	}
}

// BenchmarkUpdateBytes measures the size of the update for one changed server of a shard
// set, whole and as a delta.
func BenchmarkUpdateBytes(b *testing.B) {
	for _, servers := range []int{20, 2600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			first, _ := replicator.NextState(nil, bigSet(b, servers, 2), replicator.NewAuthor("ana", "9f2d6c1b7a3e4f50", "new set", 0))
			next, _ := replicator.NextState(first, bigSet(b, servers, 4), replicator.NewAuthor("ana", "0a1b2c3d4e5f6071", "more slots", 0))
			var delta []replicator.Update
			for b.Loop() {
				delta = updateFrom(next, first.Ref(), first)
			}
			whole := updateFrom(next, replicator.Ref{})
			b.ReportMetric(float64(len(delta[0].Delta())), "delta-bytes")
			b.ReportMetric(float64(len(whole[0].Whole())), "whole-bytes")
		})
	}
}

// BenchmarkAdoptDelta measures the time that a VM needs to adopt a delta with one changed
// server of a shard set.
func BenchmarkAdoptDelta(b *testing.B) {
	for _, servers := range []int{20, 2600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			state, _ := replicator.NextState(nil, bigSet(b, servers, 1), replicator.NewAuthor("ana", "change-0", "new set", 0))
			rp := replicator.New("a")
			rp.Step(0, replicator.NewChanged(storeValue(state, 1)))
			for i := 1; b.Loop(); i++ {
				b.StopTimer()
				next, _ := replicator.NextState(state, bigSet(b, servers, 1+i%20), replicator.NewAuthor("ana", fmt.Sprint("change-", i), "slots", 0))
				u := updateFrom(next, state.Ref(), state)
				b.StartTimer()
				if len(adoptedStates(rp.Step(0, replicator.NewFetched("peer", u)))) != 1 {
					b.Fatal("not adopted")
				}
				state = next
			}
		})
	}
}

// bigSet returns a shard set with n servers of one shard each. The first server has this
// many slots.
func bigSet(b *testing.B, n, slots int) parser.Document {
	var servers []tier.Backend
	var shards []tier.Shard
	width := ^uint64(0)/uint64(n) + 1
	for i := range n {
		name := fmt.Sprintf("leaf-%04d", i)
		opts := []tier.BackendOption{}
		if i == 0 {
			opts = append(opts, tier.WithSlots(slots))
		}
		servers = append(servers, tier.NewBackend(name, fmt.Sprintf("10.0.%d.%d:9000", i/256, i%256), "serra-caxias", opts...))
		to := uint64(i+1)*width - 1
		if i == n-1 {
			to = ^uint64(0)
		}
		shards = append(shards, tier.NewShard(fmt.Sprintf("s%d", i), uint64(i)*width, to, name))
	}
	set, err := tier.NewShardSet("leafs", tier.WithServers(servers...), tier.WithShards(shards...))
	if err != nil {
		b.Fatal(err)
	}
	return parser.NewSetDocument(set)
}

// TestReadsKeepMinimumGap checks that a VM reads the store at most once a second and
// starts at most one watch per read, however the store replies and the members change.
func TestReadsKeepMinimumGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rp := replicator.New("a", replicator.WithDataCentre("x"))
		var reads []tier.Millis
		now, listing, watching, watches := tier.Millis(0), false, false, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += tier.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
			e := storeEvent(t, listing, watching)
			switch e.(type) {
			case *replicator.Listed, *replicator.ListFailed:
				listing = false
			case *replicator.WatchEnded:
				watching = false
			}
			for _, a := range rp.Step(now, e) {
				switch a.(type) {
				case *replicator.List:
					reads, listing = append(reads, now), true
				case *replicator.Watch:
					watches, watching = watches+1, true
				case *replicator.EndWatch:
					watching = false
				}
			}
		}
		if err := findShortGap(reads); err != nil || watches > len(reads) {
			t.Fatalf("%d watches after %d reads, %v", watches, len(reads), err)
		}
	})
}

// storeEvent draws an event. Events of the store are drawn only if they can follow from
// what was requested.
func storeEvent(t *rapid.T, listing, watching bool) replicator.Event {
	events := []replicator.Event{
		&replicator.Tick{}, replicator.NewMembers([]string{"a"}, nil), replicator.NewMembers([]string{"a", "b", "c", "d", "e"}, nil),
	}
	if listing {
		events = append(events, &replicator.ListFailed{}, replicator.NewListed(nil))
	}
	if watching {
		events = append(events, &replicator.WatchEnded{})
	}
	return rapid.SampledFrom(events).Draw(t, "event")
}

// findShortGap returns an error if two reads are less than a second apart.
func findShortGap(reads []tier.Millis) error {
	for i := 1; i < len(reads); i++ {
		if reads[i]-reads[i-1] < tier.Second {
			return fmt.Errorf("reads at %d and %d", reads[i-1], reads[i])
		}
	}
	return nil
}

// TestGapCheckDetectsCloseReads checks that findShortGap detects reads that are too
// close: those of a replicator that is restarted after each failure.
func TestGapCheckDetectsCloseReads(t *testing.T) {
	var reads []tier.Millis
	for now := tier.Millis(0); now < 2*tier.Second; now += 100 {
		rp := replicator.New("a")
		rp.Step(now-tier.Second, &replicator.Tick{})
		rp.Step(now-100, &replicator.Tick{})
		for _, a := range rp.Step(now+100, &replicator.Tick{}) {
			if _, ok := a.(*replicator.List); ok {
				reads = append(reads, now)
			}
		}
	}
	if findShortGap(reads) == nil {
		t.Error("findShortGap accepts reads without a pause")
	}
}
