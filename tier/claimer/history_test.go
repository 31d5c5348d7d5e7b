package claimer_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

var (
	histories = flag.Int("histories", 100, "how many histories to check")
	firstSeed = flag.Uint64("first-seed", 1, "the seed of the first history")
)

// playHistory has callers send a few keys, each several times to both VMs
// and some at the same moment, while the world disturbs them.
func playHistory(seed uint64, f faults) *world {
	w := newWorld(seed, f, 2)
	w.disturb()
	for k := range 5 {
		key := fmt.Sprintf("%s-order-%d", today, k)
		start := w.upTo(faultEnd * 3 / 4)
		for i := range 5 {
			at := start
			if i > 1 {
				at += w.upTo(faultEnd / 2)
			}
			v := w.vms[(i+w.random.IntN(2))%len(w.vms)]
			patience := 20 + w.upTo(400)
			vouched := i == 0 && w.chance(50)
			w.after(at, func() { w.submit(v, key, vouched, patience) })
		}
		w.after(2*faultEnd+w.upTo(100), func() { w.submit(w.vms[k%2], key, false, tier.Second) })
	}
	w.after(w.upTo(faultEnd/2), w.submitMinted)
	w.play()
	return w
}

// submitMinted has a VM mint a key, which is then sent to both VMs.
func (w *world) submitMinted() {
	key := w.vms[0].claimer.Mint().String()
	for i := range 4 {
		w.after(w.upTo(100), func() { w.submit(w.vms[i/3], key, false, tier.Second) })
	}
}

// answer is the output of one operation on the register that a key is.
type answer struct {
	outcome tier.Outcome
	runs    []string // what the backend server ran of the key
}

// register is the model: a key is a register that is written at most once,
// with the receipt. An unknown outcome may have written it, at any time; a
// refusal is true only while nothing is written.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		a := output.(answer)
		switch o := a.outcome.(type) {
		case *tier.Booked:
			if state == o.Receipt() && o.Repeated() || state == "" && !o.Repeated() {
				return []any{o.Receipt()}
			}
			return nil
		case *tier.Refused:
			if state == "" {
				return []any{""}
			}
			return nil
		}
		next := []any{state}
		for _, r := range a.runs {
			if state == "" {
				next = append(next, r)
			}
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkHistory reports a key that ran twice, or answers that no register
// could have given.
func checkHistory(w *world) error {
	byKey := map[string][]porcupine.Operation{}
	for i, s := range w.sent {
		ended := int64(s.ended)
		if _, unknown := s.outcome.(*tier.Unknown); unknown || s.outcome == nil {
			ended = math.MaxInt64
		}
		byKey[s.key] = append(byKey[s.key], porcupine.Operation{
			ClientId: i, Call: int64(s.called), Return: ended,
			Output: answer{outcome: s.outcome, runs: w.runs[s.key]},
		})
	}
	for key, ops := range byKey {
		if n := len(w.runs[key]); n > 1 {
			return errors.Errorf("%s ran %d times", key, n)
		}
		if porcupine.CheckOperationsTimeout(register.ToModel(), ops, 10*time.Second) != porcupine.Ok {
			return errors.Errorf("%s: the answers are those of no register", key)
		}
	}
	return nil
}

func TestAtMostOnce(t *testing.T) {
	ends := map[string]int{}
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		w := playHistory(seed, faults{})
		if err := checkHistory(w); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		for _, v := range w.vms {
			if !v.claimer.Idle() {
				t.Errorf("seed %d: %s is not idle at the end", seed, v.name)
			}
		}
		for _, s := range w.sent {
			ends[nameOf(s.outcome)]++
		}
	}
	for _, kind := range []string{"booked", "repeated", "refused", "unknown", "died"} {
		if ends[kind] == 0 {
			t.Errorf("no sending ended %s", kind)
		}
	}
	t.Logf("%d histories from seed %d: %v", *histories, *firstSeed, ends)
}

// TestCheckSeesBreaches shows that the check can fail: it objects to a
// hedged booking, to claims that the store lost and to refusals that do not
// reckon with earlier sendings.
func TestCheckSeesBreaches(t *testing.T) {
	for name, f := range map[string]faults{
		"hedged":    {hedged: true, off: true},
		"forgetful": {forgetful: true, off: true},
		"vouched":   {vouched: true},
	} {
		seen := slices.ContainsFunc(seeds(100), func(seed uint64) bool {
			return checkHistory(playHistory(seed, f)) != nil
		})
		if !seen {
			t.Errorf("%s: 100 histories pass", name)
		}
	}
}

func seeds(n uint64) []uint64 {
	var out []uint64
	for i := range n {
		out = append(out, i+1)
	}
	return out
}

func nameOf(o tier.Outcome) string {
	switch o := o.(type) {
	case *tier.Booked:
		if o.Repeated() {
			return "repeated"
		}
		return "booked"
	case *tier.Refused:
		return "refused"
	case *tier.Unknown:
		return "unknown"
	}
	return "died"
}
