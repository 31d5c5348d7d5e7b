package balancer

import (
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// simulation sends calls to a service with a near and a far leaf, one of which can
// be impaired. It checks latency-aware balancing with decaying penalties, as in
// peak-EWMA.
type simulation struct {
	b     *Balancer
	leafs []lister.Leaf
	now   tier.Millis
}

const (
	nearLatency = 20
	farLatency  = 60
)

func newSimulation(options ...Option) *simulation {
	s := &simulation{b: New(func(dataCentre string) Distance {
		if dataCentre == "near" {
			return SameDataCentre
		}
		return OtherRegion
	}, options...)}
	for _, name := range []string{"near", "far"} {
		s.leafs = append(s.leafs, lister.NewLeaf(name, "s", name+":1", lister.InDataCentre(name), lister.WithSlots(2)))
	}
	return s
}

// run sends a call every 30 ms and counts those to the near leaf. latency is the
// latency of a leaf; a call for which fail returns true brings no answer.
func (s *simulation) run(duration tier.Millis, latency func(string) tier.Millis, fail func(leaf lister.Leaf) bool) (near, all int) {
	for until := s.now + duration; s.now < until; s.now += 30 {
		leaf, _, ok := s.b.Pick(s.now, "class", s.leafs, nil)
		if !ok {
			continue
		}
		all++
		if leaf.ID() == "near" {
			near++
		}
		s.b.Sent(s.now, "class", leaf)
		at := s.now + latency(leaf.ID())
		if fail != nil && fail(leaf) {
			continue
		}
		s.b.Answered(at, "class", leaf, latency(leaf.ID()))
	}
	return near, all
}

func healthyLatency(id string) tier.Millis {
	if id == "near" {
		return nearLatency
	}
	return farLatency
}

// inBothModes runs a test for the least expected latency and for even balancing.
func inBothModes(t *testing.T, test func(*testing.T, *simulation)) {
	t.Run("latency", func(t *testing.T) { test(t, newSimulation()) })
	t.Run("even", func(t *testing.T) { test(t, newSimulation(WithEvenLoad())) })
}

func TestNearestHealthyLeafIsPicked(t *testing.T) { inBothModes(t, testNearestHealthyLeafIsPicked) }

func testNearestHealthyLeafIsPicked(t *testing.T, s *simulation) {
	if near, all := s.run(3*tier.Second, healthyLatency, nil); near != all {
		t.Errorf("%d of %d calls went to the near leaf", near, all)
	}
}

func TestSlowLeafIsAvoidedThenUsedAgain(t *testing.T) {
	inBothModes(t, testSlowLeafIsAvoidedThenUsedAgain)
}

func testSlowLeafIsAvoidedThenUsedAgain(t *testing.T, s *simulation) {
	s.run(3*tier.Second, healthyLatency, nil)
	slow := func(id string) tier.Millis {
		if id == "near" {
			return 10 * nearLatency
		}
		return farLatency
	}
	near, all := s.run(8*tier.Second, slow, nil)
	if near > all/4 || near == 0 {
		t.Errorf("%d of %d calls went to a leaf ten times slower", near, all)
	}
	s.run(3*tier.Second, healthyLatency, nil)
	if near, all := s.run(3*tier.Second, healthyLatency, nil); near != all {
		t.Errorf("%d of %d calls went to the near leaf after it recovered", near, all)
	}
}

func TestSheddingLeafIsAvoided(t *testing.T) { inBothModes(t, testSheddingLeafIsAvoided) }

func testSheddingLeafIsAvoided(t *testing.T, s *simulation) {
	s.run(3*tier.Second, healthyLatency, nil)
	calls := 0
	near, all := s.run(8*tier.Second, healthyLatency, func(leaf lister.Leaf) bool {
		if calls++; leaf.ID() == "near" && calls%2 == 0 {
			s.b.Refused(s.now, leaf)
			return true
		}
		return false
	})
	if near > all/2 {
		t.Errorf("%d of %d calls went to a leaf that refuses every second one", near, all)
	}
}

func TestStalledLeafIsAvoidedBeforeItReplies(t *testing.T) {
	t.Run("latency", func(t *testing.T) { testStalledLeaf(t, newSimulation(), 5*nearLatency) })
	// The far leaf has to open a connection: it is expected to take 100 ms, and the stall has to show
	// that the near one takes longer by more than chance.
	t.Run("even", func(t *testing.T) { testStalledLeaf(t, newSimulation(WithEvenLoad()), 10*nearLatency) })
}

func testStalledLeaf(t *testing.T, s *simulation, stall tier.Millis) {
	s.run(3*tier.Second, healthyLatency, nil)
	s.b.Sent(s.now, "class", s.leafs[0])
	s.now += stall
	if leaf, _, _ := s.b.Pick(s.now, "class", s.leafs, nil); leaf.ID() != "far" {
		t.Errorf("the call went to %s", leaf.ID())
	}
	s.b.Answered(s.now, "class", s.leafs[0], stall)
	s.now += 3 * tier.Second
	if leaf, _, _ := s.b.Pick(s.now, "class", s.leafs, nil); leaf.ID() != "near" {
		t.Errorf("after the stall the call went to %s", leaf.ID())
	}
}

func TestMisdirectedLeafIsSkippedUntilItRegistersAgain(t *testing.T) {
	inBothModes(t, testMisdirectedLeafIsSkippedUntilItRegistersAgain)
}

func testMisdirectedLeafIsSkippedUntilItRegistersAgain(t *testing.T, s *simulation) {
	s.b.Sent(0, "class", s.leafs[0])
	s.b.Misdirected(0, s.leafs[0])
	if leaf, _, _ := s.b.Pick(10, "class", s.leafs, nil); leaf.ID() != "far" {
		t.Errorf("the call went to %s", leaf.ID())
	}
	restarted := lister.NewLeaf("near", "s", "near:1", lister.InDataCentre("near"), lister.StartedAt(7))
	if leaf, _, _ := s.b.Pick(20, "class", []lister.Leaf{restarted, s.leafs[1]}, nil); leaf.ID() != "near" {
		t.Errorf("the restarted leaf is skipped for %s", leaf.ID())
	}
}

func TestCallsInFlightAreBounded(t *testing.T) {
	s := newSimulation()
	leaf := s.leafs[0]
	sent := 0
	for s.b.HasCapacity(0, leaf, true) {
		s.b.Sent(0, "class", leaf)
		sent++
	}
	if sent != leaf.Slots()+ownerExtraCalls {
		t.Errorf("an owner may send %d calls to a leaf with %d slots", sent, leaf.Slots())
	}
	for range sent {
		s.b.ConnectionReset(0, leaf)
	}
	s.b.Sent(0, "class", leaf)
	if s.b.HasCapacity(1, leaf, true) {
		t.Error("a second call is allowed to a leaf that resets connections")
	}
	if !s.b.HasCapacity(resetWindow, leaf, true) {
		t.Error("the limit lasts longer than resetWindow")
	}
}

// Leafs pause for a fraction of a second. A farther leaf must not get the calls for longer than
// that: each shard that is called far away delays a whole sweep.
func TestPausedLeafKeepsItsCalls(t *testing.T) {
	s := newSimulation(WithEvenLoad())
	s.run(3*tier.Second, healthyLatency, nil)
	s.b.Sent(s.now, "class", s.leafs[0])
	s.b.Sent(s.now, "class", s.leafs[0])
	s.b.Cancelled(s.now+150, "class", s.leafs[0], 150)
	s.b.Answered(s.now+250, "class", s.leafs[0], 250)
	s.now += 600
	if near, all := s.run(tier.Second, healthyLatency, nil); near != all {
		t.Errorf("%d of %d calls went to the near leaf after its pause", near, all)
	}
}

// A hedged call to a slow leaf is cancelled before it shows how slow the leaf is.
func TestLeafOfCancelledCallsIsAvoided(t *testing.T) {
	s := newSimulation(WithEvenLoad())
	s.leafs[1] = lister.NewLeaf("far", "s", "far:1", lister.InDataCentre("near"), lister.WithSlots(2))
	usual := func(string) tier.Millis { return 60 }
	s.run(3*tier.Second, usual, nil)
	s.b.Sent(s.now, "class", s.leafs[0])
	s.now += 200
	s.b.Cancelled(s.now, "class", s.leafs[0], 200)
	if near, all := s.run(300, usual, nil); near > 0 {
		t.Errorf("%d of %d calls went to the slow leaf", near, all)
	}
	if near, all := s.run(5*tier.Second, usual, nil); near < all/3 {
		t.Errorf("%d of %d calls went to the leaf again", near, all)
	}
}
