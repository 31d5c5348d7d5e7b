package throttler

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
)

// In any span, a VM may send its share of the limit for the span and permitLifetime, and one
// call, whatever its calls were before.
func TestCallsStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.001, 1).Draw(t, "share")
		limit := rapid.Float64Range(0.25, 200).Draw(t, "limit")
		throttle := New(0, RateLimit{PerSecond: limit}, share, rapid.Float64Range(0, 0.999).Draw(t, "phase"))
		var sent []tier.Millis
		now := tier.Millis(0)
		for range 400 {
			now += tier.Millis(rapid.IntRange(0, 80).Draw(t, "pause"))
			if rapid.IntRange(0, 30).Draw(t, "idle") == 0 {
				now += 3 * tier.Second
			}
			if throttle.Wait(now, share) == 0 {
				throttle.Sent(now, share)
				sent = append(sent, now)
			}
		}
		for first := range sent {
			for last := first; last < len(sent); last++ {
				span := sent[last] - sent[first] + permitLifetime
				allowed := math.Floor(limit*share*float64(span)/float64(tier.Second)+1e-6) + 1
				if float64(last-first+1) > allowed {
					t.Fatalf("%d calls in %d ms, allowed %g", last-first+1, sent[last]-sent[first], allowed)
				}
			}
		}
	})
}

// A VM that always has calls to send must get its whole share.
func TestTheShareCanBeUsed(t *testing.T) {
	throttle := New(0, RateLimit{PerSecond: 20}, 0.5, 0.5)
	calls := 0
	for now := tier.Millis(0); now < 10*tier.Second; now += 7 {
		if throttle.Wait(now, 0.5) == 0 {
			throttle.Sent(now, 0.5)
			calls++
		}
	}
	if calls < 99 || calls > 101 {
		t.Errorf("%d calls in 10 s with 10 a second", calls)
	}
}

// Replies overtake each other: one without a limit that was asked for before the limit was
// heard does not end it.
func TestLateRepliesDoNotEndALimit(t *testing.T) {
	throttle := New(1000, RateLimit{PerSecond: 20}, 1, 0)
	if !throttle.Heard(1010, 990, NoRateLimit{}) {
		t.Error("a reply to a call sent before the limit ended it")
	}
	if !throttle.Heard(1020, 1005, RateLimit{PerSecond: 10}) || throttle.PerSecond() != 10 {
		t.Error("a changed limit was not taken")
	}
	if throttle.Heard(1100, 1050, NoRateLimit{}) {
		t.Error("a reply to a later call did not end the limit")
	}
}
