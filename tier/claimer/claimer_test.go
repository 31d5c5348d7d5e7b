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

// sendOne submits a key to a VM at once and plays the world to its end.
func sendOne(w *world, v *vm, key string) tier.Outcome {
	w.submit(v, key, false, minute)
	w.play()
	return w.sent[len(w.sent)-1].outcome
}

func unknownReason(o tier.Outcome) tier.UnknownReason {
	if u, ok := o.(*tier.Unknown); ok {
		return u.Reason()
	}
	return ""
}

func TestSameKeyAgain(t *testing.T) {
	w := newWorld(1, faults{off: true}, 2)
	key := today + "-certificate-9"
	first, _ := sendOne(w, w.vms[0], key).(*tier.Booked)
	second, _ := sendOne(w, w.vms[1], key).(*tier.Booked)
	if first == nil || second == nil || first.Repeated() || !second.Repeated() || first.Receipt() != second.Receipt() {
		t.Errorf("first %+v, second %+v", first, second)
	}
}

func TestSameKeyOtherRequest(t *testing.T) {
	w := newWorld(1, faults{off: true}, 2)
	v := w.vms[0]
	k, err := claimer.ParseKey(today + "-x")
	if err != nil {
		t.Fatal(err)
	}
	v.open[1], v.open[2] = &sending{}, &sending{}
	v.step(v.life, claimer.NewSubmit(1, k, "portao", "one", false, minute, wall))
	acts := v.claimer.Step(w.now, claimer.NewSubmit(2, k, "portao", "two", false, minute, wall))
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
		w := newWorld(1, faults{off: true, vouched: true}, 2)
		got := "invalid"
		if o := sendOne(w, w.vms[0], key); o != nil {
			got = nameOf(o)
		}
		if got != want {
			t.Errorf("%s: %s, want %s", key, got, want)
		}
	}
}

// TestOldPagesAreDropped holds that the first booking of a day drops a page
// of keys that are taken no more.
func TestOldPagesAreDropped(t *testing.T) {
	w := newWorld(1, faults{off: true}, 1)
	old := sendOne(w, w.vms[0], "2026-12-03-a")
	if len(w.dropped) != 1 || !strings.HasPrefix(w.dropped[0], claimer.PagePrefix+"portao/2026-10-31/") {
		t.Errorf("%v: dropped %v", old, w.dropped)
	}
}

func TestHolderGone(t *testing.T) {
	w := newWorld(1, faults{off: true}, 2)
	key := today + "-kill"
	w.submit(w.vms[0], key, true, minute)
	for len(w.pages) == 0 { // until the claim stands
		w.step()
	}
	w.vms[0].start()
	for _, v := range w.vms {
		if o := sendOne(w, v, key); unknownReason(o) != tier.UnknownHolderGone {
			t.Errorf("%s: %v", v.name, o)
		}
	}
	if len(w.runs[key]) > 0 {
		t.Errorf("it ran")
	}
}

func TestStoreDown(t *testing.T) {
	for first, want := range map[bool]string{true: "refused", false: "unknown"} {
		w := newWorld(1, faults{off: true}, 2)
		w.down = true
		w.submit(w.vms[0], today+"-down", first, tier.Second)
		w.after(2*tier.Second, func() { w.down = false })
		w.play()
		if got := nameOf(w.sent[0].outcome); got != want || len(w.runs) > 0 {
			t.Errorf("first %t: %s, want %s; runs %v", first, got, want, w.runs)
		}
		if o := sendOne(w, w.vms[1], today+"-down"); nameOf(o) != "booked" {
			t.Errorf("after the outage: %v", o)
		}
	}
}

// TestStoreDownTellsAtOnce: a caller is not kept until its deadline once the
// store is known to be down, and the next one is told without a try.
func TestStoreDownTellsAtOnce(t *testing.T) {
	w := newWorld(1, faults{off: true, vouched: true}, 1)
	w.down = true
	key := today + "-down"
	w.submit(w.vms[0], key, true, minute)
	w.after(2*tier.Second, func() { w.down = false })
	w.play()
	if s := w.sent[0]; nameOf(s.outcome) != "refused" || s.ended-s.called > tier.Second {
		t.Errorf("%v after %d ms", s.outcome, s.ended-s.called)
	}
}

func TestFencedVM(t *testing.T) {
	w := newWorld(1, faults{off: true, vouched: true}, 2)
	w.vms[0].step(w.vms[0].life, &claimer.Fenced{})
	if o := sendOne(w, w.vms[0], today+"-late"); nameOf(o) != "refused" {
		t.Errorf("got %v", o)
	}
}

func TestMintedKeys(t *testing.T) {
	w := newWorld(1, faults{off: true}, 2)
	key := w.vms[0].claimer.Mint().String()
	if o := sendOne(w, w.vms[1], key); unknownReason(o) != tier.UnknownIncarnations {
		t.Errorf("another VM: %v", o)
	}
	if o := sendOne(w, w.vms[0], key); nameOf(o) != "booked" {
		t.Errorf("the VM that minted it: %v", o)
	}
	if o := sendOne(w, w.vms[0], key); nameOf(o) != "repeated" {
		t.Errorf("again: %v", o)
	}
	w.vms[0].start()
	if o := sendOne(w, w.vms[0], key); unknownReason(o) != tier.UnknownIncarnations {
		t.Errorf("its next life: %v", o)
	}
	if len(w.pages) > 0 {
		t.Error("a minted key went to the store")
	}
}

// BenchmarkStoreWrites reports the store's writes for each booking, for keys
// of one set and day that are sent at once to one VM or to seven in turn.
func BenchmarkStoreWrites(b *testing.B) {
	for _, vms := range []int{1, 7} {
		for _, pages := range []int{1, 8, 64} {
			for _, burst := range []int{1, 10, 30, 100} {
				b.Run(fmt.Sprintf("vms-%d/pages-%d/at-once-%d", vms, pages, burst), func(b *testing.B) {
					writes, took := 0, tier.Millis(0)
					for i := range b.N {
						w := newWorld(uint64(i), faults{off: true}, vms)
						took += w.burst(10, burst, pages)
						for _, v := range w.vms {
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

// burst sends rounds of bookings, each round at one moment, and returns how
// long their callers waited, all together.
func (w *world) burst(rounds, size, pages int) tier.Millis {
	for _, v := range w.vms {
		v.claimer = claimer.New(v.name, v.life, claimer.WithPages(pages))
	}
	for round := range rounds {
		for k := range size {
			w.submit(w.vms[k%len(w.vms)], fmt.Sprintf("%s-%d-%d", today, round, k), true, minute)
		}
		w.play()
	}
	var took tier.Millis
	for _, s := range w.sent {
		took += s.ended - s.called
	}
	return took
}
