package dispatcher

import (
	"testing"

	"cicadagrade.example/tier"
)

// handedOver has an owner with a long queue hand over to another one, that
// learns of it earlier by some time, and returns the most calls that the one
// server of four slots holds at once. A call takes 100 ms.
func handedOver(late tier.Millis) int {
	set := testSet(1, 1, 4)
	former, next := New(set, "here"), New(set, "here")
	both := []*Dispatcher{former, next}
	running := map[*Dispatcher]map[uint64]tier.Millis{former: {}, next: {}}
	p := testProfile("gate", tier.Urgent, tier.WithQueueLimit(1000))
	part := uint64(0)
	step := func(now tier.Millis, d *Dispatcher, e Event) {
		for _, a := range d.Step(now, e) {
			if c, ok := a.(*Call); ok {
				running[d][c.attempt] = now + 100
			}
		}
	}
	submit := func(now tier.Millis, d *Dispatcher) {
		part++
		step(now, d, NewSubmit(part, p, now+tier.Minute, []string{"s0"}))
	}
	const begin = 10 * tier.Second
	step(0, former, &Tick{})
	step(0, next, &Standby{})
	for range 400 {
		submit(begin, former)
	}
	step(begin, next, NewShareChanged(1, 0))
	most := 0
	for now := begin; now < begin+5*tier.Second; now += 10 {
		if now == begin+late {
			step(now, former, &Standby{})
		}
		submit(now, next)
		for _, d := range both {
			for a, at := range running[d] {
				if at <= now {
					delete(running[d], a)
					step(now, d, NewCallEnded(a, &ReplyOK{}))
				}
			}
			step(now, d, &Tick{})
		}
		most = max(most, len(running[former])+len(running[next]))
	}
	return most
}

// TestHandoverIsBounded: a former owner gives its share up before the new one
// uses it whole, if it learns of the new one in time.
func TestHandoverIsBounded(t *testing.T) {
	for _, late := range []tier.Millis{0, 100, 1300} {
		if most := handedOver(late); most > 5 {
			t.Errorf("told %d ms late: %d calls on 4 slots", late, most)
		}
	}
	if most := handedOver(4 * tier.Second); most <= 5 {
		t.Errorf("told after the takeover time: only %d calls on 4 slots", most)
	}
}
