package coordinator_test

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
)

// lostOwner has two owners: the first is lost with the part, which it may
// have run, and the second does not run it.
type lostOwner struct {
	*home
	second owner.PartResult
}

func (l *lostOwner) Owners(_, dataCentre string, _ uint64) []tier.VM {
	return []tier.VM{tier.NewVM("lost", dataCentre, "127.0.0.1:1"), tier.NewVM("second", dataCentre, "127.0.0.1:2")}
}

func (l *lostOwner) Ask(_ context.Context, vm tier.VM, _ string, _ owner.Search) (owner.PartResult, error) {
	if vm.Name() == "lost" {
		return nil, errors.New("connection reset")
	}
	return l.second, nil
}

// TestLostOwnerMayHaveRun: a search that a lost owner may have run is not
// refused, whatever the next owner says.
func TestLostOwnerMayHaveRun(t *testing.T) {
	for name, second := range map[string]owner.PartResult{
		"refuses":       owner.NewNotRun(tier.RefuseOverload, 0),
		"has no server": owner.NewDone(nil, nil, 0, 0),
	} {
		l := &lostOwner{home: newHome(t, 2), second: second}
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
