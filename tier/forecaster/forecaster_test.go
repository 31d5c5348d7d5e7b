package forecaster

import (
	"math/rand/v2"
	"testing"

	"cicadagrade.example/tier"
)

// simulation sends requests that need 27 of 30 shards, some of which are dead. It
// checks that such requests fail fast, and that trial requests detect the recovery,
// as in a half-open circuit breaker.
type simulation struct {
	random     *rand.Rand
	forecaster *Forecaster
	shards     []string
	deadShards int
	now        tier.Millis
	refused    int
	served     int
	wasted     int // tried, but failed
}

const (
	requestsPerSecond = 60 // at this VM
	minimumShards     = 27
	seconds           = 8
)

func newSimulation(dead int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), forecaster: New(), deadShards: dead}
	for i := range 30 {
		s.shards = append(s.shards, string(rune('a'+i)))
	}
	return s
}

func (s *simulation) run(seconds int) {
	s.refused, s.served, s.wasted = 0, 0, 0
	for range requestsPerSecond * seconds {
		s.now += tier.Second / requestsPerSecond
		if s.forecaster.LikelyToFail(s.now, s.shards, minimumShards, false, s.random.Float64()) {
			s.refused++
			continue
		}
		arrived := 0
		for i, name := range s.shards {
			// One answer in fifty is late because its leaf pauses.
			if i < s.deadShards || s.random.IntN(50) == 0 {
				s.forecaster.RecordMissed(s.now, name)
				continue
			}
			s.forecaster.RecordArrived(s.now, name)
			arrived++
		}
		if arrived >= minimumShards {
			s.served++
		} else {
			s.wasted++
		}
	}
}

func TestNoRefusalsWhileShardsAreHealthy(t *testing.T) {
	s := newSimulation(0)
	s.run(seconds)
	if s.refused > 0 {
		t.Errorf("%d of %d requests were refused", s.refused, requestsPerSecond*seconds)
	}
}

func TestNoRefusalsWhileEnoughShardsAreAlive(t *testing.T) {
	s := newSimulation(2)
	s.run(seconds)
	if s.refused > 0 {
		t.Errorf("%d of %d requests were refused", s.refused, requestsPerSecond*seconds)
	}
}

func TestRequestsLikelyToFailAreRefusedUntilShardsRecover(t *testing.T) {
	s := newSimulation(6)
	s.run(seconds)
	if s.wasted > requestsPerSecond*seconds*2/5 {
		t.Errorf("%d of %d requests were tried and failed", s.wasted, requestsPerSecond*seconds)
	}
	if s.forecaster.LikelyToFail(s.now, s.shards, minimumShards, true, 1) {
		t.Error("a retry of a refused request is refused again")
	}
	// Trial requests detect the recovery within two seconds.
	s.deadShards = 0
	s.run(2)
	s.run(seconds)
	if s.refused > 0 {
		t.Errorf("%d of %d requests were refused after the shards recovered", s.refused, requestsPerSecond*seconds)
	}
}
