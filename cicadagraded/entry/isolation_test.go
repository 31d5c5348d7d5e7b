package entry

import (
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
)

// Guards against a VM that takes itself for isolated, and fails its readiness check, because all
// others have lost their links to the leafs and decline shares.
func TestVMBesideDecliningOnesIsNotIsolated(t *testing.T) {
	for name, c := range map[string]struct {
		cause    partitioner.Cause
		isolated bool
	}{
		"declines shares": {cause: partitioner.ShareDeclined},
		"unreachable":     {cause: partitioner.FetchFailed, isolated: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLateFleet(t)
			other := tier.NewVM("entry-2", "depot-a", "127.0.0.1:1", tier.WithVMState(tier.VMLive))
			f.vm.scheduler.Partitioner().Put(partitioner.NewMember(other, "south", 1))
			f.vm.scheduler.Partitioner().Failed(f.clock.Clock().Now(), "entry-2", c.cause)
			f.clock.Advance(isolationViewAge + 1)
			f.vm.finishRefresh(true)
			if got := f.vm.isolated.Load(); got != c.isolated {
				t.Errorf("isolated: %v, expected %v", got, c.isolated)
			}
		})
	}
}
