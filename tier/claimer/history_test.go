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

// runHistory simulates callers that submit a few keys, each several times to both VMs
// and some of them concurrently, while faults occur.
func runHistory(seed uint64, f faults) *sim {
	si := newSim(seed, f, 2)
	si.scheduleFaults()
	for k := range 5 {
		key := fmt.Sprintf("%s-order-%d", today, k)
		start := si.upTo(faultEnd * 3 / 4)
		for i := range 5 {
			at := start
			if i > 1 {
				at += si.upTo(faultEnd / 2)
			}
			v := si.vms[(i+si.random.IntN(2))%len(si.vms)]
			timeout := 20 + si.upTo(400)
			first := i == 0 && si.chance(50)
			si.after(at, func() { si.submit(v, key, first, timeout) })
		}
		si.after(2*faultEnd+si.upTo(100), func() { si.submit(si.vms[k%2], key, false, tier.Second) })
	}
	si.after(si.upTo(faultEnd/2), si.submitMinted)
	si.runToEnd()
	return si
}

// submitMinted mints a key on one VM and submits it to both VMs.
func (si *sim) submitMinted() {
	key := si.vms[0].claimer.Mint().String()
	for i := range 4 {
		si.after(si.upTo(100), func() { si.submit(si.vms[i/3], key, false, tier.Second) })
	}
}

// answer is the output of one operation on the register that models a key.
type answer struct {
	outcome tier.Outcome
	runs    []string // receipts of all runs of the key on the back end
}

// register models a key as a register that is written at most once, with the receipt. An
// unknown outcome may have written it, at any time; a refusal is correct only while
// nothing is written.
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

// checkHistory reports a key that ran twice, or outcomes that are not linearizable with
// respect to the register.
func checkHistory(si *sim) error {
	byKey := map[string][]porcupine.Operation{}
	for i, s := range si.submissions {
		ended := int64(s.endedAt)
		if _, unknown := s.outcome.(*tier.Unknown); unknown || s.outcome == nil {
			ended = math.MaxInt64
		}
		byKey[s.key] = append(byKey[s.key], porcupine.Operation{
			ClientId: i, Call: int64(s.submittedAt), Return: ended,
			Output: answer{outcome: s.outcome, runs: si.runs[s.key]},
		})
	}
	for key, ops := range byKey {
		if n := len(si.runs[key]); n > 1 {
			return errors.Errorf("%s ran %d times", key, n)
		}
		if porcupine.CheckOperationsTimeout(register.ToModel(), ops, 10*time.Second) != porcupine.Ok {
			return errors.Errorf("%s: the outcomes are not linearizable", key)
		}
	}
	return nil
}

func TestAtMostOnce(t *testing.T) {
	ends := map[string]int{}
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		si := runHistory(seed, faults{})
		if err := checkHistory(si); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		for _, v := range si.vms {
			if !v.claimer.Idle() {
				t.Errorf("seed %d: %s is not idle at the end", seed, v.name)
			}
		}
		for _, s := range si.submissions {
			ends[outcomeName(s.outcome)]++
		}
	}
	for _, kind := range []string{"booked", "repeated", "refused", "unknown", "died"} {
		if ends[kind] == 0 {
			t.Errorf("no submission ended as %s", kind)
		}
	}
	t.Logf("%d histories from seed %d: %v", *histories, *firstSeed, ends)
}

// TestCheckDetectsViolations checks that checkHistory objects to a booking that is sent
// twice (hedged), to a store that loses claims, and to refusals that ignore earlier
// submissions.
func TestCheckDetectsViolations(t *testing.T) {
	for name, f := range map[string]faults{
		"hedged":       {hedged: true, disabled: true},
		"loses-claims": {losesClaims: true, disabled: true},
		"always-first": {alwaysFirst: true},
	} {
		seen := slices.ContainsFunc(seeds(100), func(seed uint64) bool {
			return checkHistory(runHistory(seed, f)) != nil
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

func outcomeName(o tier.Outcome) string {
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
