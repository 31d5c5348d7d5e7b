package locator_test

import (
	"fmt"
	"math"
	"testing"

	"cicadagrade.example/cicadagraded/locator"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
)

func newSet(t *testing.T, e tier.Epoch, shard string) *tier.ShardSet {
	s, err := tier.NewShardSet("portao", tier.WithEpoch(e),
		tier.WithServers(tier.NewBackend("a", "127.0.0.1:1", "serra-caxias")),
		tier.WithShards(tier.NewShard(shard, 0, math.MaxUint64, "a")))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// report is what an owner publishes under an epoch.
func report(t *testing.T, e tier.Epoch, holdings string) owner.Report {
	r, err := owner.DecodeReport(fmt.Appendf(nil, `{"epoch":%d,"holdings":[%s]}`, e, holdings))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestFormerMapUntilTheNextIsHeld holds that a set stays searchable under its
// former map until an owner tells that servers hold the next one.
func TestFormerMapUntilTheNextIsHeld(t *testing.T) {
	l := locator.New(tier.NewManualClock(0).Clock())
	members := []tier.VM{tier.NewVM("caxias-1", "serra-caxias", "127.0.0.1:2", tier.WithVMState(tier.VMLive))}
	reachable := func(string) bool { return true }
	check := func(when, shard string, epoch tier.Epoch, versions int) {
		t.Helper()
		if e, v := l.Versions("portao", "serra-caxias", shard); e != epoch || len(v) != versions {
			t.Errorf("%s: epoch %d, versions %v, want epoch %d", when, e, v, epoch)
		}
	}
	l.Update([]*tier.ShardSet{newSet(t, 1, "old")}, members, reachable)
	l.UpdateReport("portao", "caxias-1", report(t, 1, `{"versions":[7],"runs":[[0,1]]}`), true)
	check("at first", "old", 1, 1)
	l.Update([]*tier.ShardSet{newSet(t, 2, "new")}, members, reachable)
	check("before the owner's report", "old", 1, 1)
	if s, ok := l.Earlier("portao"); !ok || s.Epoch() != 1 {
		t.Errorf("the former map is not kept: %v", s)
	}
	l.UpdateReport("portao", "caxias-1", report(t, 2, ""), true)
	check("before a server holds it", "old", 1, 1)
	l.UpdateReport("portao", "caxias-1", report(t, 2, `{"versions":[7],"runs":[[0,1]]}`), true)
	check("once it is held", "new", 2, 1)
}

// TestOwnersInOrder: a VM that leaves goes on until the next owner has
// reported, and a VM that did not answer is asked last for a while.
func TestOwnersInOrder(t *testing.T) {
	clock := tier.NewManualClock(0)
	l := locator.New(clock.Clock())
	set := newSet(t, 1, "s0")
	vm := func(name string, s tier.VMState) tier.VM {
		return tier.NewVM(name, "serra-caxias", "127.0.0.1:1", tier.WithVMState(s))
	}
	informed := func(name string) {
		l.UpdateReport("portao", name, report(t, 1, `{"versions":[7],"runs":[[0,1]]}`), true)
	}
	first := func() string { return l.Owners("portao", "serra-caxias", 0)[0].Name() }
	l.Update([]*tier.ShardSet{set}, []tier.VM{vm("old", tier.VMLeaving), vm("new", tier.VMLive)}, func(string) bool { return true })
	informed("old")
	if first() != "old" {
		t.Errorf("asks %s before it has reported", first())
	}
	informed("new")
	if first() != "new" {
		t.Errorf("asks %s, want the owner", first())
	}
	l.MarkFailed("new")
	if first() != "old" {
		t.Errorf("asks %s, which did not answer", first())
	}
	clock.Advance(locator.InitialSuspicion)
	if first() != "new" {
		t.Errorf("asks %s, want the owner again", first())
	}
	l.MarkFailed("new")
	clock.Advance(locator.InitialSuspicion)
	if first() != "old" {
		t.Errorf("asks %s, which failed twice", first())
	}
	l.MarkAnswered("new")
	if first() != "new" {
		t.Errorf("asks %s, want the owner that answers", first())
	}
}

// TestThresholdsFromReplies: what an owner gives with a reply counts at once,
// and ends at once when it lets everything in again.
func TestThresholdsFromReplies(t *testing.T) {
	l := locator.New(tier.NewManualClock(0).Clock())
	vm := tier.NewVM("caxias-1", "serra-caxias", "127.0.0.1:2", tier.WithVMState(tier.VMLive))
	l.Update([]*tier.ShardSet{newSet(t, 1, "s0")}, []tier.VM{vm}, func(string) bool { return true })
	l.UpdateThreshold("portao", "caxias-1", admitter.NewThreshold([3]float64{1, 1, 0}, [3]tier.Millis{0, 0, 700}))
	if wait, ok := l.Admit("portao", tier.Urgent); !ok {
		t.Errorf("urgent refused for %d ms", wait)
	}
	var wait tier.Millis
	for range 3 {
		wait, _ = l.Admit("portao", tier.Reports)
	}
	if wait < 700 || wait > 1051 {
		t.Errorf("reports may come after %d ms, want 700 to 1051", wait)
	}
	l.UpdateThreshold("portao", "caxias-1", admitter.AdmitAll())
	if _, ok := l.Admit("portao", tier.Reports); !ok {
		t.Error("reports refused though the owner lets everything in")
	}
}

// TestAnnouncedOwnerOfAnotherDataCentre: a front finds the owner in a data
// centre of which it knows only other members, until that owner is known to be
// dead.
func TestAnnouncedOwnerOfAnotherDataCentre(t *testing.T) {
	l := locator.New(tier.NewManualClock(0).Clock())
	vm := func(name string, s tier.VMState) tier.VM {
		return tier.NewVM(name, "serra-caxias", "127.0.0.1:2", tier.WithVMState(s))
	}
	sets := []*tier.ShardSet{newSet(t, 1, "s0")}
	reachable := func(string) bool { return true }
	l.Update(sets, []tier.VM{vm("caxias-9", tier.VMLive)}, reachable)
	l.UpdateRemoteOwner("portao", 0, vm("caxias-200", tier.VMLive), report(t, 1, `{"versions":[7],"runs":[[0,1]]}`))
	if _, v := l.Versions("portao", "serra-caxias", "s0"); len(v) != 1 {
		t.Errorf("versions %v", v)
	}
	if got := l.Owners("portao", "serra-caxias", 0)[0].Name(); got != "caxias-200" {
		t.Errorf("asks %s, want the announced owner", got)
	}
	l.Update(sets, []tier.VM{vm("caxias-9", tier.VMLive), vm("caxias-200", tier.VMDead)}, reachable)
	if got := l.Owners("portao", "serra-caxias", 0)[0].Name(); got != "caxias-9" {
		t.Errorf("asks %s, which is dead", got)
	}
	replaced := vm("caxias-200", tier.VMLive).With(tier.WithIncarnation(9))
	l.Update(sets, []tier.VM{vm("caxias-9", tier.VMLive), replaced}, reachable)
	l.UpdateReport("portao", "caxias-200", owner.Report{}, false)
	l.UpdateReport("portao", "caxias-9", report(t, 1, `{"versions":[7],"runs":[[0,1]]}`), true)
	if got := l.Owners("portao", "serra-caxias", 0)[0].Name(); got != "caxias-9" {
		t.Errorf("asks %s, which began another life and owns nothing yet", got)
	}
}
