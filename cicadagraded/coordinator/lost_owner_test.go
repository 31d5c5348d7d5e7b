package coordinator_test

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
)

// lostOwnerTier has two owners. The connection to the first breaks after the part was
// sent, so that it may have run the part; the second returns a fixed result.
type lostOwnerTier struct {
	*fakeTier
	secondResult owner.PartResult
}

func (l *lostOwnerTier) Owners(_, dataCentre string, _ uint64) []tier.VM {
	return []tier.VM{tier.NewVM("lost", dataCentre, "127.0.0.1:1"), tier.NewVM("second", dataCentre, "127.0.0.1:2")}
}

func (l *lostOwnerTier) Ask(_ context.Context, vm tier.VM, _ string, _ owner.Search) (owner.PartResult, error) {
	if vm.Name() == "lost" {
		return nil, errors.New("connection reset")
	}
	return l.secondResult, nil
}

// A search that an owner may have run before it was lost has the outcome unknown, not
// refused, whatever the next owner returns.
func TestLostOwnerMayHaveRun(t *testing.T) {
	for name, secondResult := range map[string]owner.PartResult{
		"refuses":       owner.NewNotRun(tier.RefuseOverload, 0),
		"has no server": owner.NewDone(nil, nil, 0, 0),
	} {
		l := &lostOwnerTier{fakeTier: newFakeTier(t, 2), secondResult: secondResult}
		clock := tier.NewClock()
		p, err := tier.NewProfile("gate")
		if err != nil {
			t.Fatal(err)
		}
		a := coordinator.New("here", clock, l, l, nil).Search(context.Background(), coordinator.NewSearch("r", p, "set", "term", clock.Now()+tier.Second))
		if _, ok := a.Outcome().(*tier.Unknown); !ok {
			t.Errorf("the second owner %s: outcome %T", name, a.Outcome())
		}
	}
}
