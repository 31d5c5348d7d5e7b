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

// simulation drives the keepers of whole data centres against a store that
// answers at once, on a manual clock, and counts the store's calls.
type simulation struct {
	now      tier.Millis
	keepers  []*replicator.Replicator
	names    []string
	centre   []int
	local    [][]string // by data centre
	said     [][]replicator.Ref
	values   []storer.Value
	gossip   bool
	calls    map[tier.Millis]int // by second
	total    int
	document *replicator.State
}

func newSimulation(centres, perCentre int, gossip bool) *simulation {
	s := &simulation{gossip: gossip, calls: map[tier.Millis]int{}, local: make([][]string, centres)}
	s.document = line(nil, "main", 1)[0]
	s.values = []storer.Value{value(s.document, 1)}
	for c := range centres {
		for i := range perCentre {
			name := fmt.Sprintf("vm-%d-%d", c, i)
			s.names = append(s.names, name)
			s.centre = append(s.centre, c)
			s.local[c] = append(s.local[c], name)
			s.keepers = append(s.keepers, replicator.New(name,
				replicator.WithDataCentre(fmt.Sprint(c)), replicator.WithSeeds(3), replicator.WithSeed(1)))
		}
	}
	s.said = make([][]replicator.Ref, centres)
	return s
}

func (s *simulation) step(i int, e replicator.Event) {
	for _, a := range s.keepers[i].Step(s.now, e) {
		switch a := a.(type) {
		case *replicator.List:
			s.count()
			s.step(i, replicator.NewListed(s.values))
		case *replicator.Watch:
			s.count()
		case *replicator.Fetch:
			peer := s.keepers[s.indexOf(a.VM())]
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

func (s *simulation) count() {
	s.calls[s.now/tier.Second]++
	s.total++
}

// run starts all VMs at once. With gossip, members are known after two
// seconds, and announcements reach the data centre every quarter second.
func (s *simulation) run(length tier.Millis) {
	for s.now = 0; s.now < length; s.now += stepLength {
		for i, k := range s.keepers {
			if at, ok := k.Next(); s.now == 0 || (ok && at <= s.now) {
				s.step(i, &replicator.Tick{})
			}
			if s.gossip && s.now == 2*tier.Second {
				s.step(i, replicator.NewMembers(s.local[s.centre[i]], nil))
			}
		}
		if s.gossip && s.now > 2*tier.Second && s.now%250 == 0 && s.now < tier.Minute {
			s.announce()
		}
	}
}

func (s *simulation) announce() {
	for i, k := range s.keepers {
		c := s.centre[i]
		if refs := k.RefsToAnnounce(); k.Watcher() && len(refs) > 0 && s.said[c] == nil {
			s.said[c] = refs
			for j := range s.keepers {
				if s.centre[j] == c && j != i {
					s.step(j, replicator.NewAnnounced(s.names[i], refs))
				}
			}
		}
	}
}

func (s *simulation) worstSecond() int {
	worst := 0
	for _, n := range s.calls {
		worst = max(worst, n)
	}
	return worst
}

// TestBulkRestart: when 8,190 VMs start at once, the store gets fewer than
// 2,000 calls in any second, also when no VM hears of another; each VM ends
// with the configuration. Without the spread of first reads it gets more.
func TestBulkRestart(t *testing.T) {
	for _, gossip := range []bool{true, false} {
		s := newSimulation(30, 273, gossip)
		s.run(25 * tier.Second)
		t.Logf("gossip %t: %d calls, %d in the worst second", gossip, s.total, s.worstSecond())
		if s.worstSecond() >= 2000 {
			t.Errorf("gossip %t: %d calls in a second", gossip, s.worstSecond())
		}
		for i, k := range s.keepers {
			if len(k.Documents()) == 0 {
				t.Fatalf("gossip %t: no configuration on %s", gossip, s.names[i])
			}
		}
	}
	broken := newSimulation(30, 273, false)
	for i := range broken.keepers {
		broken.keepers[i] = replicator.New(broken.names[i]) // told of no others
	}
	if broken.run(5 * tier.Second); broken.worstSecond() < 2000 {
		t.Errorf("the check accepts a bulk restart without a spread: %d", broken.worstSecond())
	}
}

// BenchmarkStoreCalls counts the store's calls of an hour without changes.
func BenchmarkStoreCalls(b *testing.B) {
	for _, size := range [][2]int{{3, 2}, {1, 30}, {1, 100}, {1, 270}} {
		b.Run(fmt.Sprintf("centres=%d/vms=%d", size[0], size[1]), func(b *testing.B) {
			var s *simulation
			for b.Loop() {
				s = newSimulation(size[0], size[1], true)
				s.run(tier.Hour)
			}
			b.ReportMetric(float64(s.total), "calls/h")
			b.ReportMetric(float64(s.total)/float64(len(s.keepers)), "calls/vm/h")
			b.ReportMetric(float64(s.worstSecond()), "worst-calls/s")
		})
	}
}

// BenchmarkUpdateBytes measures what a VM gets for one changed server of a
// set, whole and as a delta.
func BenchmarkUpdateBytes(b *testing.B) {
	for _, servers := range []int{20, 2600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			first, _ := replicator.NextState(nil, bigSet(b, servers, 2), replicator.NewAuthor("ana", "9f2d6c1b7a3e4f50", "new set", 0))
			next, _ := replicator.NextState(first, bigSet(b, servers, 4), replicator.NewAuthor("ana", "0a1b2c3d4e5f6071", "more slots", 0))
			var delta []replicator.Update
			for b.Loop() {
				delta = update(next, first.Ref(), first)
			}
			whole := update(next, replicator.Ref{})
			b.ReportMetric(float64(len(delta[0].Delta())), "delta-bytes")
			b.ReportMetric(float64(len(whole[0].Whole())), "whole-bytes")
		})
	}
}

// BenchmarkTakeDelta measures the processor time of a VM for one changed
// server of a set that comes as a delta.
func BenchmarkTakeDelta(b *testing.B) {
	for _, servers := range []int{20, 2600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			state, _ := replicator.NextState(nil, bigSet(b, servers, 1), replicator.NewAuthor("ana", "change-0", "new set", 0))
			k := replicator.New("a")
			k.Step(0, replicator.NewChanged(value(state, 1)))
			for i := 1; b.Loop(); i++ {
				b.StopTimer()
				next, _ := replicator.NextState(state, bigSet(b, servers, 1+i%20), replicator.NewAuthor("ana", fmt.Sprint("change-", i), "slots", 0))
				u := update(next, state.Ref(), state)
				b.StartTimer()
				if len(taken(k.Step(0, replicator.NewFetched("peer", u)))) != 1 {
					b.Fatal("not taken")
				}
				state = next
			}
		})
	}
}

// bigSet is a set of n servers with a shard each; slots is that of the first.
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

// TestReadsKeepTheirGap: however a store answers and members change, a VM
// reads it at most once a second, and watches it at most once for each read.
func TestReadsKeepTheirGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := replicator.New("a", replicator.WithDataCentre("x"))
		var reads []tier.Millis
		now, asked, watched, watches := tier.Millis(0), false, false, 0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += tier.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
			e := storeEvent(t, asked, watched)
			switch e.(type) {
			case *replicator.Listed, *replicator.ListFailed:
				asked = false
			case *replicator.WatchEnded:
				watched = false
			}
			for _, a := range k.Step(now, e) {
				switch a.(type) {
				case *replicator.List:
					reads, asked = append(reads, now), true
				case *replicator.Watch:
					watches, watched = watches+1, true
				case *replicator.EndWatch:
					watched = false
				}
			}
		}
		if err := gap(reads); err != nil || watches > len(reads) {
			t.Fatalf("%d watches after %d reads, %v", watches, len(reads), err)
		}
	})
}

// storeEvent draws an event; the store only answers what was asked.
func storeEvent(t *rapid.T, asked, watched bool) replicator.Event {
	events := []replicator.Event{
		&replicator.Tick{}, replicator.NewMembers([]string{"a"}, nil), replicator.NewMembers([]string{"a", "b", "c", "d", "e"}, nil),
	}
	if asked {
		events = append(events, &replicator.ListFailed{}, replicator.NewListed(nil))
	}
	if watched {
		events = append(events, &replicator.WatchEnded{})
	}
	return rapid.SampledFrom(events).Draw(t, "event")
}

// gap finds two reads less than a second apart.
func gap(reads []tier.Millis) error {
	for i := 1; i < len(reads); i++ {
		if reads[i]-reads[i-1] < tier.Second {
			return fmt.Errorf("reads at %d and %d", reads[i-1], reads[i])
		}
	}
	return nil
}

// TestCheckObjectsToCloseReads shows the check of the gap able to fail: a
// keeper that is started anew after each failure reads without a pause.
func TestCheckObjectsToCloseReads(t *testing.T) {
	var reads []tier.Millis
	for now := tier.Millis(0); now < 2*tier.Second; now += 100 {
		k := replicator.New("a")
		k.Step(now-tier.Second, &replicator.Tick{})
		k.Step(now-100, &replicator.Tick{})
		for _, a := range k.Step(now+100, &replicator.Tick{}) {
			if _, ok := a.(*replicator.List); ok {
				reads = append(reads, now)
			}
		}
	}
	if gap(reads) == nil {
		t.Error("the check accepts reads without a pause")
	}
}
