package forecaster

import (
	"math/rand/v2"
	"testing"

	"cicadagrade.example/tier"
)

// The load: sweeps over 30 shards that need 27 of them, while some shards are
// dead. Pattern: fail fast, with trial requests as a half-open circuit breaker.
type world struct {
	draw       *rand.Rand
	forecaster *Forecaster
	shards     []string
	dead       int
	now        tier.Millis
	refused    int
	served     int
	wasted     int // tried in vain
}

const (
	rate    = 60 // requests a second at this VM
	needed  = 27
	seconds = 8
)

func newWorld(dead int) *world {
	w := &world{draw: rand.New(rand.NewPCG(1, 2)), forecaster: New(), dead: dead}
	for i := range 30 {
		w.shards = append(w.shards, string(rune('a'+i)))
	}
	return w
}

func (w *world) play(seconds int) {
	w.refused, w.served, w.wasted = 0, 0, 0
	for range rate * seconds {
		w.now += tier.Second / rate
		if w.forecaster.LikelyToFail(w.now, w.shards, needed, false, w.draw.Float64()) {
			w.refused++
			continue
		}
		in := 0
		for i, name := range w.shards {
			// One part in fifty is late for a leaf that pauses.
			if i < w.dead || w.draw.IntN(50) == 0 {
				w.forecaster.RecordMissed(w.now, name)
				continue
			}
			w.forecaster.RecordArrived(w.now, name)
			in++
		}
		if in >= needed {
			w.served++
		} else {
			w.wasted++
		}
	}
}

func TestSoundShardsRefuseNobody(t *testing.T) {
	w := newWorld(0)
	w.play(seconds)
	if w.refused > 0 {
		t.Errorf("%d of %d refused", w.refused, rate*seconds)
	}
}

func TestDeadShardsWithinTheAllowanceRefuseNobody(t *testing.T) {
	w := newWorld(2)
	w.play(seconds)
	if w.refused > 0 {
		t.Errorf("%d of %d refused", w.refused, rate*seconds)
	}
}

func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	w := newWorld(6)
	w.play(seconds)
	if w.wasted > rate*seconds*2/5 {
		t.Errorf("%d of %d tried in vain", w.wasted, rate*seconds)
	}
	if w.forecaster.LikelyToFail(w.now, w.shards, needed, true, 1) {
		t.Error("a request that came back is refused again")
	}
	// The shards are back: the trials find out within two seconds.
	w.dead = 0
	w.play(2)
	w.play(seconds)
	if w.refused > 0 {
		t.Errorf("%d of %d refused after the shards came back", w.refused, rate*seconds)
	}
}
