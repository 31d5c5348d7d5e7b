package entry

import (
	"net/http"
	"os"
	"slices"
	"testing"

	"cicadagrade.example/platform"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/storer"
)

// TestViewsTellWhichLeafsAreCold guards against VMs that send their usual load to a cold leaf,
// because a whole read of the view or a copy from another VM did not tell that it is cold.
func TestViewsTellWhichLeafsAreCold(t *testing.T) {
	e, _ := newOfflineEntry(t)
	raw, err := os.ReadFile("testdata/cold.json")
	if err != nil {
		t.Fatal(err)
	}
	configuration := storer.NewValue(platform.ConfigurationKey, raw, 1)
	registration := func(sequence int64, remaining tier.Millis) storer.Value {
		raw, err := responder.NewFixedLeaf("i-1", "a").ColdRegistration("orders", "127.0.0.1:1", "depot-a", sequence, remaining)
		if err != nil {
			t.Fatal(err)
		}
		return storer.NewValue(platform.LeafsPrefix+"i-1", raw, sequence)
	}
	remaining := func() tier.Millis {
		e.mu.Lock()
		defer e.mu.Unlock()
		leaf, _ := e.scheduler.Lister().Leaf(platform.LeafsPrefix + "i-1")
		return e.scheduler.Balancer().ColdRemaining(e.clock.Now(), leaf)
	}
	known := func(after int64) int {
		list, _ := e.relayer.ChangesSince(after)
		return len(list)
	}
	e.replaceView([]storer.Value{registration(2, 9*tier.Second), configuration}, 2, false)
	if got := remaining(); got < 8*tier.Second {
		t.Errorf("after a whole read the leaf is cold for %d ms", got)
	}
	e.applyChange(registration(3, 8*tier.Second), 3, false)
	if known(2) != 0 {
		t.Error("a renewal is told to VMs that copy the view")
	}
	e.applyChange(registration(4, 20*tier.Second), 4, false)
	if known(3) != 1 || remaining() < 19*tier.Second {
		t.Error("VMs that copy the view are not told that the leaf is cold again")
	}
	e.replaceView([]storer.Value{registration(4, 20*tier.Second), configuration}, 5, false)
	e.replaceView([]storer.Value{registration(6, 30*tier.Second), configuration}, 6, false)
	if got := remaining(); got < 29*tier.Second {
		t.Errorf("after a further whole read the leaf is cold for %d ms", got)
	}
	if e.scheduler.Balancer().MayCall(e.clock.Now(), lister.NewLeaf("i-1", "orders", "127.0.0.1:1", lister.StartedAt(1))) {
		t.Error("a VM that nobody knows calls a cold leaf")
	}
	e.logColdChanges()
}

// TestCallersOfVMsWithoutAShareAreServed guards against requests that fail because all leafs of
// their service are cold, and only other VMs may call them.
func TestCallersOfVMsWithoutAShareAreServed(t *testing.T) {
	f := newLinkFleet(t, "depot-a", "depot-a", "depot-a", "depot-b", "depot-b")
	f.putConfiguration("cold.json")
	f.readStores()
	for _, e := range f.entries {
		e.registered.Store(true)
		e.mu.Lock()
		e.scheduler.SetContact(e.clock.Now()-tier.Minute, true, false)
		for _, service := range []string{"orders", "ledger"} {
			for _, leaf := range e.scheduler.Lister().Leafs(service) {
				e.scheduler.Balancer().TurnedCold(e.clock.Now(), leaf, tier.Minute)
			}
		}
		e.mu.Unlock()
	}
	passed := 0
	for _, e := range f.entries {
		for _, path := range []string{"/line/1", "/book/1"} {
			if response := f.ask(e, path); response.Code != http.StatusOK {
				t.Errorf("%s: %s: status %d, %s", e.settings.Load().Name(), path, response.Code, response.Body)
			}
		}
		e.mu.Lock()
		leafs := e.scheduler.Lister().Leafs("orders")
		if !slices.ContainsFunc(leafs, func(l lister.Leaf) bool { return e.scheduler.Balancer().MayCall(e.clock.Now(), l) }) {
			passed++
		}
		e.mu.Unlock()
	}
	if passed == 0 {
		t.Error("all VMs have a share of a cold leaf; the test shows nothing")
	}
}

// TestColdTimeOutlivesARemovalBeforeIt guards against the usual load on a cold leaf whose
// registration was removed and written again between two refreshes: the removal, handled after
// both, must not drop the cold time.
func TestColdTimeOutlivesARemovalBeforeIt(t *testing.T) {
	e, _ := newOfflineEntry(t)
	raw, err := os.ReadFile("testdata/cold.json")
	if err != nil {
		t.Fatal(err)
	}
	key := platform.LeafsPrefix + "i-1"
	register := func(sequence int64, remaining tier.Millis) {
		raw, err := responder.NewFixedLeaf("i-1", "a").ColdRegistration("orders", "127.0.0.1:1", "depot-a", sequence, remaining)
		if err != nil {
			t.Fatal(err)
		}
		e.applyChange(storer.NewValue(key, raw, sequence), sequence, false)
	}
	e.applyChange(storer.NewValue(platform.ConfigurationKey, raw, 1), 1, false)
	register(2, 0)
	e.finishRefresh(false)
	e.applyChange(storer.NewValue(key, nil, 0), 3, false)
	register(4, 9*tier.Second)
	e.finishRefresh(false)
	leaf, _ := e.scheduler.Lister().Leaf(key)
	if got := e.scheduler.Balancer().ColdRemaining(e.clock.Now(), leaf); got < 8*tier.Second {
		t.Errorf("the leaf is cold for %d ms", got)
	}
	e.applyChange(storer.NewValue(key, nil, 0), 5, false)
	e.finishRefresh(false)
	if got := e.scheduler.Balancer().ColdRemaining(e.clock.Now(), leaf); got != 0 {
		t.Errorf("the state of a leaf that is gone is kept: cold for %d ms", got)
	}
}
