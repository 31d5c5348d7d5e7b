package soaker

import (
	"context"
	"math/rand/v2"
	"sync"
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
	// minEvacuation is how long an evacuation lasts at least: beyond evacuationBound, after
	// which calls are judged.
	minEvacuation = evacuationBound + 3500*tier.Millisecond
	// coldRestartDelay is when a leaf restarts after the last fault.
	coldRestartDelay = 2 * tier.Second
)

// drawEvacuation draws a data centre, and how long it is evacuated.
func drawEvacuation(r *rand.Rand) (fault, tier.Millis) {
	return evacuate{zoneNames[r.IntN(len(zoneNames))]}, minEvacuation
}

// drawColdRestart draws one of the two leafs of coldService.
func drawColdRestart(r *rand.Rand, leafs int) fault {
	return restartCold{r.IntN(2) * leafs / 2}
}

// makeOperations draws what operators and leafs do in the period of the faults: an evacuation,
// a restart of a cold leaf, and two versions of the configuration, which replace keys.
func makeOperations(seed uint64, leafs int, period tier.Millis) []step {
	r := rand.New(rand.NewPCG(seed, 1))
	start := func() tier.Millis { return warmUp + tier.Millis(r.Int64N(int64(period))) }
	evacuation, duration := drawEvacuation(r)
	return []step{
		// An early start, so that it ends with the last faults.
		{at: start() / 2, duration: duration, fault: evacuation},
		{at: start(), fault: drawColdRestart(r, leafs)},
		{at: start(), fault: changeConfiguration{}},
		{at: start(), fault: changeConfiguration{}},
	}
}

// operateCalmVMs evacuates a data centre, replaces keys and restarts a cold leaf after the
// last fault, when the timed checks judge all VMs, and takes recoveryPeriod in all.
func (s *Soak) operateCalmVMs(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.seed, 2))
	evacuation, duration := drawEvacuation(r)
	steps := []step{
		{duration: duration, fault: evacuation},
		{at: coldRestartDelay, fault: drawColdRestart(r, len(s.leafs))},
		{fault: changeConfiguration{}},
	}
	var group sync.WaitGroup
	group.Go(func() { sleep(ctx, recoveryPeriod) })
	for _, t := range steps {
		group.Go(func() {
			sleep(ctx, t.at)
			if err := s.inject(ctx, t); err != nil {
				s.log.Error("operation failed", "operation", t.fault, "error", err)
			}
		})
	}
	group.Wait()
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
