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

func vms(states []tier.VMState) []tier.VM {
	out := make([]tier.VM, len(states))
	for i, s := range states {
		out[i] = tier.NewVM(fmt.Sprintf("vm-%d", i), "caxias", fmt.Sprintf("10.0.0.%d:7000", i+1), tier.WithVMState(s))
	}
	return out
}

func drawVMs(t *rapid.T) []tier.VM {
	state := rapid.SampledFrom([]tier.VMState{tier.VMJoining, tier.VMLive, tier.VMLive, tier.VMLeaving, tier.VMDead})
	return vms(rapid.SliceOfN(state, 1, 20).Draw(t, "states"))
}

func names(list []tier.VM) []string {
	var out []string
	for _, v := range list {
		out = append(out, v.Name())
	}
	return out
}

// checkMovement says what is wrong with the owners before and after a member
// is gone: only its own place may be taken by another.
func checkMovement(owners ownersFunc, members []tier.VM, gone, n int) error {
	before := names(owners("portao", "caxias", members, n))
	rest := slices.Delete(slices.Clone(members), gone, gone+1)
	after := names(owners("portao", "caxias", rest, n))
	kept := slices.DeleteFunc(slices.Clone(before), func(s string) bool { return s == members[gone].Name() })
	if len(after) < len(kept) || !slices.Equal(kept, after[:len(kept)]) {
		return fmt.Errorf("owners %v became %v without %s", before, after, members[gone].Name())
	}
	if len(kept) == len(before) && len(after) != len(before) {
		return fmt.Errorf("owners %v became %v though %s was none", before, after, members[gone].Name())
	}
	return nil
}

func TestMinimalMovement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawVMs(t)
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		if err := checkMovement(Owners, members, gone, rapid.IntRange(1, 5).Draw(t, "n")); err != nil {
			t.Fatal(err)
		}
	})
}

func TestOnlyLiveMembersOwnInAnyOrder(t *testing.T) {
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

// TestMovementCheckFails shows that the check sees a choice by position.
func TestMovementCheckFails(t *testing.T) {
	byPosition := func(set, _ string, members []tier.VM, _ int) []tier.VM {
		at := int(Score(set, "", "") % uint64(len(members)))
		return members[at : at+1]
	}
	members := vms([]tier.VMState{tier.VMLive, tier.VMLive, tier.VMLive, tier.VMLive, tier.VMLive})
	for gone := range members {
		if checkMovement(byPosition, members, gone, 1) != nil {
			return
		}
	}
	t.Fatal("the check accepts owners by position")
}

// init fixes the seed of the properties, unless one is given, so that each run
// draws the same.
func init() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
}
