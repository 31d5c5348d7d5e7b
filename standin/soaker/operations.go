package soaker

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadagrade.example/platform"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

const (
	// coldService is the service that names a rate for cold leafs, the first of setUpLeafs.
	coldService   = "orders"
	coldPerSecond = 8
	// coldStart is how long a leaf of coldService is cold after its start or return.
	coldStart = 4 * tier.Second
	// evacuationDuration exceeds evacuationBound, after which calls are judged.
	evacuationDuration = evacuationBound + 3500*tier.Millisecond
	// calmPeriod is the time after the last fault in which operations start once more, so that
	// the timed checks judge them while no VM is disturbed.
	calmPeriod = 4 * tier.Second
)

// makeOperations draws what operators and leafs do in a period: an evacuation, a restart of a
// leaf of coldService, and two versions of the configuration, which replace keys.
func makeOperations(seed, stream uint64, leafs int, period tier.Millis) []step {
	r := rand.New(rand.NewPCG(seed, stream))
	start := func() tier.Millis { return tier.Millis(r.Int64N(int64(period))) }
	return []step{
		// An early start, so that it ends with the last faults.
		{at: start() / 2, duration: evacuationDuration, fault: evacuate{zoneNames[r.IntN(len(zoneNames))]}},
		{at: start(), fault: restartCold{r.IntN(2) * leafs / 2}},
		{at: start(), fault: changeConfiguration{}},
		{at: start(), fault: changeConfiguration{}},
	}
}

// turnCold makes an instance of coldService cold for coldStart, and records it.
func (s *Soak) turnCold(w *responder.SimulatedLeaf) {
	if w.Service() != coldService {
		return
	}
	now := time.Now()
	w.TurnCold(now.Add(coldStart.Duration()))
	s.history.update(func() {
		s.history.coldPeriods = append(s.history.coldPeriods, coldPeriod{w.ID(), now, now.Add(coldStart.Duration())})
	})
}

// evacuate writes the evacuation of a data centre to the store and removes it after a while,
// each time until the store has confirmed it. Its leafs return cold.
func (s *Soak) evacuate(ctx context.Context, zone string, duration tier.Millis) {
	s.drillMu.Lock()
	defer s.drillMu.Unlock()
	key := platform.EvacuationsPrefix + zone
	for ctx.Err() == nil {
		if _, err := s.store.Put(ctx, key, []byte("{}"), 0); err == nil {
			break
		}
		sleep(ctx, restartPause)
	}
	var i int
	s.history.update(func() {
		i = len(s.history.evacuations)
		s.history.evacuations = append(s.history.evacuations, evacuation{zone, time.Now(), never})
	})
	sleep(ctx, duration)
	s.history.update(func() { s.history.evacuations[i].removalStartedAt = time.Now() })
	for _, f := range s.leafs {
		if w, _, _ := f.current(); w != nil && f.zone == zone {
			s.turnCold(w)
		}
	}
	for ctx.Err() == nil {
		if v, err := s.store.Get(ctx, key); err == nil {
			if !v.Present() || s.store.Delete(ctx, key, v.Revision()) == nil {
				return
			}
		}
		sleep(ctx, restartPause)
	}
}
