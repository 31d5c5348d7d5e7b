package limiter

import (
	"math/rand/v2"
	"testing"

	"cicadagrade.example/tier"
)

func TestShedRepliesHalveTheLimitAndSuccessesRestoreIt(t *testing.T) {
	l := New(8, rand.New(rand.NewPCG(1, 1)))
	l.Shed(1000)
	l.Shed(1001) // in the same burst
	if got := l.Limit(1001); got != 4 {
		t.Fatalf("the limit is %d after one burst", got)
	}
	l.Shed(1200)
	l.Shed(1400)
	if got := l.Limit(1400); got != 1 {
		t.Fatalf("the limit is %d after three bursts", got)
	}
	replies := 0
	for ; l.Limit(2000) < 8; replies++ {
		l.Succeeded()
	}
	// Three bursts doubled the rounds three times; a round has as many calls as the limit.
	if want := 8 * RoundsToGrow * (1 + 2 + 3 + 4 + 5 + 6 + 7); replies < want*9/10 || replies > want*12/10 {
		t.Fatalf("the limit recovered after %d replies, expected about %d", replies, want)
	}
}

func TestServerSheddingAtALimitOfOneIsPaused(t *testing.T) {
	l := New(1, rand.New(rand.NewPCG(1, 1)))
	now, previous := tier.Millis(0), tier.Millis(0)
	for range 10 {
		now = max(now+DecreaseInterval, l.PausedUntil())
		l.Shed(now)
		pause := l.PausedUntil() - now
		if l.Limit(now) != 0 || pause < previous/2 || pause > MaxPause {
			t.Fatalf("pause of %d ms after one of %d ms, limit %d", pause, previous, l.Limit(now))
		}
		previous = pause
	}
	if previous < MaxPause/2 {
		t.Fatalf("pauses grew only to %d ms", previous)
	}
	if got := l.Limit(l.PausedUntil()); got != 1 {
		t.Fatalf("the limit is %d after the pause", got)
	}
}
