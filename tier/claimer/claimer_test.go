package claimer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/claimer"
)

const minute = 60 * tier.Second

// submitAndRun submits a key to a VM and runs the simulation until no event is left.
func submitAndRun(si *sim, v *vm, key string) tier.Outcome {
	si.submit(v, key, false, minute)
	si.runToEnd()
	return si.submissions[len(si.submissions)-1].outcome
}

func unknownReason(o tier.Outcome) tier.UnknownReason {
	if u, ok := o.(*tier.Unknown); ok {
		return u.Reason()
	}
	return ""
}

func TestSameKeyAgain(t *testing.T) {
	si := newSim(1, faults{disabled: true}, 2)
	key := today + "-certificate-9"
	first, _ := submitAndRun(si, si.vms[0], key).(*tier.Booked)
	second, _ := submitAndRun(si, si.vms[1], key).(*tier.Booked)
	if first == nil || second == nil || first.Repeated() || !second.Repeated() || first.Receipt() != second.Receipt() {
		t.Errorf("first %+v, second %+v", first, second)
	}
}

func TestSameKeyOtherRequest(t *testing.T) {
	si := newSim(1, faults{disabled: true}, 2)
	v := si.vms[0]
	k, err := claimer.ParseKey(today + "-x")
	if err != nil {
		t.Fatal(err)
	}
	v.open[1], v.open[2] = &submission{}, &submission{}
	v.handle(v.incarnation, claimer.NewSubmit(1, k, "portao", "one", false, minute, wallStart))
	acts := v.claimer.Step(si.now, claimer.NewSubmit(2, k, "portao", "two", false, minute, wallStart))
	var reused *claimer.KeyReusedError
	if len(acts) != 1 || !errors.As(acts[0].(*claimer.Finish).Err(), &reused) || reused.FirstFingerprint() != "one" {
		t.Errorf("got %+v", acts)
	}
}

func TestKeysByDate(t *testing.T) {
	for key, want := range map[string]string{
		"2026-11-03-a": "refused", // older than the retention
		"2026-11-04-a": "booked",
		"2026-12-05-a": "booked",
		"2026-12-06-a": "invalid",
	} {
		si := newSim(1, faults{disabled: true, alwaysFirst: true}, 2)
		got := "invalid"
		if o := submitAndRun(si, si.vms[0], key); o != nil {
			got = outcomeName(o)
		}
		if got != want {
			t.Errorf("%s: %s, want %s", key, got, want)
		}
	}
}

// TestExpiredPagesAreDeleted checks that the first booking of a day deletes a page whose
// keys have all expired.
func TestExpiredPagesAreDeleted(t *testing.T) {
	si := newSim(1, faults{disabled: true}, 1)
	outcome := submitAndRun(si, si.vms[0], "2026-12-03-a")
	if len(si.deletedPages) != 1 || !strings.HasPrefix(si.deletedPages[0], claimer.PagePrefix+"portao/2026-10-31/") {
		t.Errorf("%v: deleted %v", outcome, si.deletedPages)
	}
}

func TestHolderGone(t *testing.T) {
	si := newSim(1, faults{disabled: true}, 2)
	key := today + "-kill"
	si.submit(si.vms[0], key, true, minute)
	for len(si.pages) == 0 { // until the claim is stored
		si.runNext()
	}
	si.vms[0].start()
	for _, v := range si.vms {
		if o := submitAndRun(si, v, key); unknownReason(o) != tier.UnknownHolderGone {
			t.Errorf("%s: %v", v.name, o)
		}
	}
	if len(si.runs[key]) > 0 {
		t.Errorf("the booking ran")
	}
}

func TestStoreDown(t *testing.T) {
	for first, want := range map[bool]string{true: "refused", false: "unknown"} {
		si := newSim(1, faults{disabled: true}, 2)
		si.down = true
		si.submit(si.vms[0], today+"-down", first, tier.Second)
		si.after(2*tier.Second, func() { si.down = false })
		si.runToEnd()
		if got := outcomeName(si.submissions[0].outcome); got != want || len(si.runs) > 0 {
			t.Errorf("first %t: %s, want %s; runs %v", first, got, want, si.runs)
		}
		if o := submitAndRun(si, si.vms[1], today+"-down"); outcomeName(o) != "booked" {
			t.Errorf("after the outage: %v", o)
		}
	}
}

// TestStoreDownFailsFast checks that a booking is refused soon after the store is found
// to be down, not at its deadline.
func TestStoreDownFailsFast(t *testing.T) {
	si := newSim(1, faults{disabled: true, alwaysFirst: true}, 1)
	si.down = true
	key := today + "-down"
	si.submit(si.vms[0], key, true, minute)
	si.after(2*tier.Second, func() { si.down = false })
	si.runToEnd()
	if s := si.submissions[0]; outcomeName(s.outcome) != "refused" || s.endedAt-s.submittedAt > tier.Second {
		t.Errorf("%v after %d ms", s.outcome, s.endedAt-s.submittedAt)
	}
}

func TestFencedVM(t *testing.T) {
	si := newSim(1, faults{disabled: true, alwaysFirst: true}, 2)
	si.vms[0].handle(si.vms[0].incarnation, &claimer.Fenced{})
	if o := submitAndRun(si, si.vms[0], today+"-late"); outcomeName(o) != "refused" {
		t.Errorf("got %v", o)
	}
}

func TestMintedKeys(t *testing.T) {
	si := newSim(1, faults{disabled: true}, 2)
	key := si.vms[0].claimer.Mint().String()
	if o := submitAndRun(si, si.vms[1], key); unknownReason(o) != tier.UnknownOtherIncarnation {
		t.Errorf("another VM: %v", o)
	}
	if o := submitAndRun(si, si.vms[0], key); outcomeName(o) != "booked" {
		t.Errorf("the VM that minted it: %v", o)
	}
	if o := submitAndRun(si, si.vms[0], key); outcomeName(o) != "repeated" {
		t.Errorf("again: %v", o)
	}
	si.vms[0].start()
	if o := submitAndRun(si, si.vms[0], key); unknownReason(o) != tier.UnknownOtherIncarnation {
		t.Errorf("its next incarnation: %v", o)
	}
	if len(si.pages) > 0 {
		t.Error("a minted key was written to the store")
	}
}

// BenchmarkStoreWrites reports the store writes per booking, for keys of one shard set
// and day that are submitted at the same time to one VM or spread over seven.
func BenchmarkStoreWrites(b *testing.B) {
	for _, vms := range []int{1, 7} {
		for _, pages := range []int{1, 8, 64} {
			for _, burst := range []int{1, 10, 30, 100} {
				b.Run(fmt.Sprintf("vms-%d/pages-%d/at-once-%d", vms, pages, burst), func(b *testing.B) {
					writes, took := 0, tier.Millis(0)
					for i := range b.N {
						si := newSim(uint64(i), faults{disabled: true}, vms)
						took += si.burst(10, burst, pages)
						for _, v := range si.vms {
							writes += v.claimer.Counters().Writes()
						}
					}
					b.ReportMetric(float64(writes)/float64(b.N*10*burst), "writes/booking")
					b.ReportMetric(float64(took)/float64(b.N*10*burst), "wait-ms/booking")
				})
			}
		}
	}
}

// burst submits rounds of simultaneous bookings and returns the total time that their
// callers waited.
func (si *sim) burst(rounds, size, pages int) tier.Millis {
	for _, v := range si.vms {
		v.claimer = claimer.New(v.name, v.incarnation, claimer.WithPages(pages))
	}
	for round := range rounds {
		for k := range size {
			si.submit(si.vms[k%len(si.vms)], fmt.Sprintf("%s-%d-%d", today, round, k), true, minute)
		}
		si.runToEnd()
	}
	var took tier.Millis
	for _, s := range si.submissions {
		took += s.endedAt - s.submittedAt
	}
	return took
}
