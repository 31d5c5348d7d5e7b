package dispatcher

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
)

func TestSharesAddUpToTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.IntRange(1, 64).Draw(t, "owners")
		slots := rapid.IntRange(1, 100).Draw(t, "slots")
		ordinal := rapid.IntRange(0, 100).Draw(t, "ordinal")
		sum := 0
		for i := range owners {
			n := shareOf{owners: owners, index: i}.slots(slots, ordinal)
			if owners <= slots && n == 0 {
				t.Fatalf("owner %d of %d has none of %d slots", i, owners, slots)
			}
			sum += n
		}
		if sum != slots {
			t.Fatalf("%d owners have %d of %d slots", owners, sum, slots)
		}
	})
}

func TestOwnersBeyondTheSlotsRefuse(t *testing.T) {
	set := testSet(2, 2, 2)
	for index, want := range []string{"call", "call", "refused 1 reason=no-owner retry-after=0"} {
		d := New(set, "here", WithTakeoverDelay(0), WithShare(3, index))
		actions := d.Step(0, NewSubmit(1, testProfiles[0], 100, []string{"s0", "s1"}))
		if got := describe(actions[0]); !strings.HasPrefix(got, want) {
			t.Errorf("owner %d of 3 on two slots: %s", index, got)
		}
	}
}

// inFlight floods owners that each believe that they own the set, and
// returns the most calls that one server held at once by a time.
func inFlight(until tier.Millis, owners []*Dispatcher) int {
	held := map[string]int{}
	most := 0
	for now := tier.Millis(0); now < until; now += 10 {
		for _, d := range owners {
			e := NewSubmit(uint64(now)+1, testProfiles[0], now+100000, []string{"s0", "s1", "s2", "s3"})
			for _, a := range d.Step(now, e) {
				if c, ok := a.(*Call); ok {
					held[c.server]++
					most = max(most, held[c.server])
				}
			}
		}
	}
	return most
}

func TestDisputedOwnershipIsBounded(t *testing.T) {
	const slots = 6
	for _, c := range []struct {
		takeover tier.Millis
		within   bool
	}{{DefaultTakeoverDelay, true}, {0, false}} {
		t.Run(fmt.Sprintf("takeover %d", c.takeover), func(t *testing.T) {
			set := testSet(2, 4, slots)
			old := New(set, "here", WithTakeoverDelay(0))
			usurper := New(set, "here", WithTakeoverDelay(c.takeover))
			// A share that changes to and fro doesn't end the takeover time.
			usurper.Step(0, NewShareChanged(2, 1))
			usurper.Step(0, NewShareChanged(1, 0))
			most := inFlight(DefaultTakeoverDelay, []*Dispatcher{old, usurper})
			if got := most <= slots+1; got != c.within {
				t.Fatalf("%d calls on %d slots", most, slots)
			}
		})
	}
}

// floodFor keeps urgent and reports work waiting on one server, and returns
// the part of slot time that reports get and their longest wait for a call.
func floodFor(set *tier.ShardSet, imposed tier.Millis, tamper func(*Dispatcher)) (float64, tier.Millis) {
	const span = 5 * tier.Second
	times := [2]tier.Millis{10, 25}
	last, longest := tier.Millis(0), tier.Millis(0)
	profiles := [2]*tier.Profile{
		testProfile("gate", tier.Urgent, tier.WithImposedWait(imposed)),
		testProfile("fees", tier.Reports, tier.WithImposedWait(tier.MaxImposedWait)),
	}
	d := New(set, "here", WithTakeoverDelay(0))
	used := [2]tier.Millis{}
	running := map[uint64]tier.Millis{}
	kinds := map[uint64]int{}
	part := uint64(0)
	take := func(now tier.Millis, actions []Action) {
		for _, a := range actions {
			if c, ok := a.(*Call); ok {
				running[c.attempt] = now + times[c.part%2]
				kinds[c.attempt] = int(c.part % 2)
				if c.part%2 == 1 {
					longest = max(longest, now-last)
					last = now
				}
			}
		}
	}
	for now := tier.Millis(0); now < span; now++ {
		for d.queued.byRank[tier.Urgent] < 4 || d.queued.byRank[tier.Reports] < 4 {
			part++
			take(now, d.Step(now, NewSubmit(part, profiles[part%2], now+100*tier.Minute, []string{"s0"})))
		}
		for a := uint64(1); a <= d.attempts; a++ {
			if at, ok := running[a]; ok && at <= now {
				delete(running, a)
				used[kinds[a]] += times[kinds[a]]
				take(now, d.Step(now, NewCallEnded(a, &ReplyOK{})))
			}
		}
		if tamper != nil {
			tamper(d)
		}
	}
	return float64(used[1]) / float64(used[0]+used[1]), max(longest, span-last)
}

func TestReportsKeepTheirFloor(t *testing.T) {
	set := testSet(1, 1, 2, tier.WithFloors(0, 0.2))
	if got, _ := floodFor(set, tier.MaxImposedWait, nil); got < 0.19 || got > 0.25 {
		t.Fatalf("reports got %.3f of slot time, floor 0.2", got)
	}
	unfloored := func(d *Dispatcher) { d.set = testSet(1, 1, 2, tier.WithFloors(0, 0)) }
	if got, _ := floodFor(set, tier.MaxImposedWait, unfloored); got > 0.1 {
		t.Fatalf("without a floor reports still got %.3f of slot time", got)
	}
}

// TestImposedWaitIsKept: without floors, urgent work holds reports back for as
// long as its profile may, and the end of one call.
func TestImposedWaitIsKept(t *testing.T) {
	set := testSet(1, 1, 2, tier.WithFloors(0, 0))
	if _, got := floodFor(set, 200, nil); got < 200 || got > 200+10 {
		t.Fatalf("reports waited %d ms, imposed 200", got)
	}
	forget := func(d *Dispatcher) {
		for _, l := range d.shards["s0"].lanes {
			l.since = d.now
		}
	}
	if _, got := floodFor(set, 200, forget); got < 1000 {
		t.Fatalf("with no account of the wait reports still waited only %d ms", got)
	}
}

// TestStandbyKeepsOneSlot: a VM that is not the owner never uses more than one
// slot of a server, nor does a former owner once the takeover time is over.
func TestStandbyKeepsOneSlot(t *testing.T) {
	former := New(testSet(1, 1, 4), "here", WithTakeoverDelay(100))
	former.Step(0, &Tick{})
	former.Step(1000, &Standby{})
	guest := New(testSet(1, 1, 4), "here", WithTakeoverDelay(100))
	guest.Step(0, &Standby{})
	for name, c := range map[string]struct {
		d    *Dispatcher
		at   tier.Millis
		want int
	}{
		"former, before": {former, 1050, 4},
		"former, after":  {former, 1100, 1},
		"guest, before":  {guest, 50, 1},
		"guest, after":   {guest, 5000, 1},
	} {
		c.d.now = c.at
		for _, s := range c.d.servers {
			if got := c.d.share(s); got != c.want {
				t.Errorf("%s: share %d, want %d", name, got, c.want)
			}
		}
	}
	former.Step(6000, NewShareChanged(1, 0))
	former.now = 6100
	for _, s := range former.servers {
		if got := former.share(s); got != 4 {
			t.Errorf("owner again: share %d, want 4", got)
		}
	}
}
