package picker

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
)

type ownersFunc func(set, dataCentre string, members []tier.VM, n int) []tier.VM

func newVMs(states []tier.VMState) []tier.VM {
	out := make([]tier.VM, len(states))
	for i, s := range states {
		out[i] = tier.NewVM(fmt.Sprintf("vm-%d", i), "caxias", fmt.Sprintf("10.0.0.%d:7000", i+1), tier.WithVMState(s))
	}
	return out
}

func drawVMs(t *rapid.T) []tier.VM {
	state := rapid.SampledFrom([]tier.VMState{tier.VMJoining, tier.VMLive, tier.VMLive, tier.VMLeaving, tier.VMDead})
	return newVMs(rapid.SliceOfN(state, 1, 20).Draw(t, "states"))
}

func names(list []tier.VM) []string {
	var out []string
	for _, v := range list {
		out = append(out, v.Name())
	}
	return out
}

// checkMovement checks that the loss of a member replaces only that member in the list of
// owners and keeps the order of the others.
func checkMovement(owners ownersFunc, members []tier.VM, lost, n int) error {
	before := names(owners("portao", "caxias", members, n))
	rest := slices.Delete(slices.Clone(members), lost, lost+1)
	after := names(owners("portao", "caxias", rest, n))
	kept := slices.DeleteFunc(slices.Clone(before), func(s string) bool { return s == members[lost].Name() })
	if len(after) < len(kept) || !slices.Equal(kept, after[:len(kept)]) {
		return fmt.Errorf("owners %v became %v without %s", before, after, members[lost].Name())
	}
	if len(kept) == len(before) && len(after) != len(before) {
		return fmt.Errorf("owners %v became %v though %s was not an owner", before, after, members[lost].Name())
	}
	return nil
}

func TestMemberLossMovesOnlyItsPlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawVMs(t)
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		if err := checkMovement(Owners, members, lost, rapid.IntRange(1, 5).Draw(t, "n")); err != nil {
			t.Fatal(err)
		}
	})
}

func TestOwnersAreLiveInAnyMemberOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawVMs(t)
		want := Owners("portao", "caxias", members, 3)
		for _, v := range want {
			if v.State() != tier.VMLive {
				t.Fatalf("%s is %v", v.Name(), v.State())
			}
		}
		got := Owners("portao", "caxias", rapid.Permutation(members).Draw(t, "order"), 3)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", names(got), names(want))
		}
	})
}

// TestMovementCheckDetectsPositionalOwners checks that checkMovement rejects owners that
// are chosen by their position in the list of members.
func TestMovementCheckDetectsPositionalOwners(t *testing.T) {
	byPosition := func(set, _ string, members []tier.VM, _ int) []tier.VM {
		at := int(Score(set, "", "") % uint64(len(members)))
		return members[at : at+1]
	}
	members := newVMs([]tier.VMState{tier.VMLive, tier.VMLive, tier.VMLive, tier.VMLive, tier.VMLive})
	for lost := range members {
		if checkMovement(byPosition, members, lost, 1) != nil {
			return
		}
	}
	t.Fatal("the check accepts owners chosen by position")
}

// init sets a fixed seed for the property tests, unless -rapid.seed is given, so that
// each run draws the same values.
func init() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
}
