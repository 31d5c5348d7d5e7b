package dispatcher

import (
	"testing"

	"cicadagrade.example/tier"
)

// maxCallsDuringHandover moves ownership from a VM with a long queue to another one. The
// former owner learns of it some time after the new one. It returns the most calls that
// run at once on the only server, which has four slots. A call takes 100 ms.
func maxCallsDuringHandover(late tier.Millis) int {
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

// TestHandoverStaysWithinSlots checks that a former owner releases its share before the
// new one uses all of it, if it learns of the new owner in time.
func TestHandoverStaysWithinSlots(t *testing.T) {
	for _, late := range []tier.Millis{0, 100, 1300} {
		if most := maxCallsDuringHandover(late); most > 5 {
			t.Errorf("informed %d ms late: %d calls on 4 slots", late, most)
		}
	}
	if most := maxCallsDuringHandover(4 * tier.Second); most <= 5 {
		t.Errorf("informed after the takeover delay: only %d calls on 4 slots", most)
	}
}
