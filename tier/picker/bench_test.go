package picker_test

import (
	"fmt"
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

// BenchmarkOwners measures the choice of a set's owners among a number of members.
func BenchmarkOwners(b *testing.B) {
	for _, n := range []int{7, 30, 100, 270} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			var members []tier.VM
			for i := range n {
				members = append(members, tier.NewVM(fmt.Sprintf("vm-%d", i), "here", "127.0.0.1:1", tier.WithVMState(tier.VMLive)))
			}
			for b.Loop() {
				picker.Owners("portao", "here", members, 2)
			}
		})
	}
}
