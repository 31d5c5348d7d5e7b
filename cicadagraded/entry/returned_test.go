package entry

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/refresher"
	"cicadagrade.example/tier/storer"
)

// returnedFleet is three VMs with the same view, and a store that has returned from a copy since.
type returnedFleet struct {
	*linkFleet
	before int64 // the store's revision before its return
}

// newReturnedFleet plays a drill: the copy lacks the last changes of leafs.
func newReturnedFleet(t *testing.T) *returnedFleet {
	f := &returnedFleet{linkFleet: newLinkFleet(t, "depot-a", "depot-a", "depot-b")}
	f.storeServer.Save("copy")
	f.changeLeafs(30)
	f.readStores()
	f.before = f.revision()
	if err := f.storeServer.Drill("copy"); err != nil {
		t.Fatal(err)
	}
	return f
}

// changeLeafs makes changes to entries that name no leaf.
func (f *returnedFleet) changeLeafs(count int) {
	for k := range count {
		f.put(platform.LeafsPrefix+"odd", fmt.Appendf(nil, "%d", k))
	}
}

// revision is the store's own revision.
func (f *returnedFleet) revision() int64 {
	_, at, err := f.store.GetWithRevision(context.Background(), "none")
	if err != nil {
		f.t.Fatal(err)
	}
	return at & (1<<40 - 1)
}

// putVersion stores a configuration without the route /line/.
func (f *returnedFleet) putVersion(version int) {
	raw, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		f.t.Fatal(err)
	}
	raw = bytes.Replace(raw, []byte(`"version": 7`), fmt.Appendf(nil, `"version": %d`, version), 1)
	f.put(platform.ConfigurationKey, bytes.Replace(raw, []byte(`"/line/"`), []byte(`"/other/"`), 1))
}

// copyView lets a VM copy the view of another one, and returns the age that it takes it to have.
func (f *returnedFleet) copyView(to, from *Entry) tier.Millis {
	f.t.Helper()
	for _, m := range to.scheduler.Partitioner().ReachablePeers() {
		if m.VM().Name() == from.settings.Load().Name() {
			age, err := to.fetchFrom(context.Background(), refresher.Peer{Member: m})
			if err != nil {
				f.t.Fatal(err)
			}
			return age
		}
	}
	f.t.Fatalf("%s does not know %s", to.settings.Load().Name(), from.settings.Load().Name())
	return 0
}

// read lets a VM read the store.
func (f *returnedFleet) read(e *Entry) {
	f.t.Helper()
	if err := e.readStore(context.Background(), false); err != nil {
		f.t.Fatal(err)
	}
}

func (f *returnedFleet) expectVersion(e *Entry, version int64) {
	f.t.Helper()
	if got := e.table.Load().Version(); got != version {
		f.t.Errorf("%s has version %d in force, expected %d", e.settings.Load().Name(), got, version)
	}
}

// Guards against VMs that stay on an old configuration after the store has returned from a copy: they
// drop what others have read since, for its lower revision, but take over how fresh it is; or they go
// on from a revision that the store has given out again.
func TestConfigurationAfterAReturnFromACopyIsTakenOver(t *testing.T) {
	t.Run("copied from another VM", func(t *testing.T) {
		f := newReturnedFleet(t)
		f.putVersion(8)
		f.read(f.entries[0])
		f.expectVersion(f.entries[0], 8)
		f.copyView(f.entries[1], f.entries[0])
		f.expectVersion(f.entries[1], 8)
		f.copyView(f.entries[2], f.entries[1])
		f.expectVersion(f.entries[2], 8)
	})
	t.Run("revisions given out again", func(t *testing.T) {
		f := newReturnedFleet(t)
		f.putVersion(8)
		f.changeLeafs(int(f.before - f.revision()))
		f.read(f.entries[0])
		f.expectVersion(f.entries[0], 8)
		f.copyView(f.entries[1], f.entries[0])
		f.expectVersion(f.entries[1], 8)
	})
	t.Run("VM that has not seen the return", func(t *testing.T) {
		f := newReturnedFleet(t)
		f.read(f.entries[0])
		f.entries[0].storeAnsweredAt.Add(-int64(maxOverdueViewAge))
		if age := f.copyView(f.entries[0], f.entries[1]); age < maxOverdueViewAge || f.entries[0].viewAge() < maxOverdueViewAge {
			t.Errorf("a view of the history before counts as %d ms old, and makes this one %d ms old", age, f.entries[0].viewAge())
		}
	})
	t.Run("older configuration in the copy", func(t *testing.T) {
		f := &returnedFleet{linkFleet: newLinkFleet(t, "depot-a", "depot-a")}
		f.storeServer.Save("copy")
		f.putVersion(8)
		f.readStores()
		if err := f.storeServer.Drill("copy"); err != nil {
			t.Fatal(err)
		}
		f.readStores()
		f.expectVersion(f.entries[0], 8)
		started := f.addVM()
		for _, m := range f.entries[0].scheduler.Partitioner().ReachablePeers() {
			started.scheduler.Partitioner().Put(m)
		}
		f.copyView(started, f.entries[1])
		f.expectVersion(started, 8)
	})
}

// Guards against requests to a leaf that had left, and stands in the copy from which the store has
// returned, and against one that is dropped because the copy lacks it.
func TestLeafsAfterAReturnFromACopy(t *testing.T) {
	f := &returnedFleet{linkFleet: newLinkFleet(t, "depot-a")}
	vm := f.entries[0]
	listed := func(key string) bool {
		vm.mu.Lock()
		defer vm.mu.Unlock()
		_, known := vm.scheduler.Lister().Leaf(key)
		return known
	}
	left := platform.LeafsPrefix + "i-1"
	f.storeServer.Save("copy")
	registration, err := f.store.Get(context.Background(), left)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.store.Delete(context.Background(), left, registration.Revision()); err != nil {
		t.Fatal(err)
	}
	f.addLeafsIn("depot-a", "orders", 1)
	added := platform.LeafsPrefix + fmt.Sprint("i-", f.nextID)
	f.readStores()
	if listed(left) || !listed(added) {
		t.Fatal("the list is not that of the store")
	}
	if err := f.storeServer.Drill("copy"); err != nil {
		t.Fatal(err)
	}
	f.readStores()
	if listed(left) {
		t.Error("a leaf that has left is used again")
	}
	if !listed(added) {
		t.Error("a leaf that the copy lacks is dropped before it had the time to register again")
	}
	if got := f.send(vm, "/line/1", 4711).Code; got != http.StatusOK {
		t.Errorf("the request is answered with %d", got)
	}
}

// Guards against a VM that takes another VM's lease for its own: a store that has returned from a copy
// gives out ids again.
func TestRegistrationAfterAReturnFromACopy(t *testing.T) {
	f := &returnedFleet{linkFleet: newLinkFleet(t, "depot-a", "depot-a")}
	f.storeServer.Save("copy")
	vm := f.entries[0]
	key := vmsPrefix + vm.settings.Load().Name()
	var lease storer.LeaseID
	if err := vm.renewRegistration(context.Background(), &lease); err != nil {
		t.Fatal(err)
	}
	if err := f.storeServer.Drill("copy"); err != nil {
		t.Fatal(err)
	}
	f.put(key, []byte("{}")) // the copy lacks the registration
	// Another VM gets the lease with the same id.
	if _, err := f.store.Grant(context.Background(), registrationTTL); err != nil {
		t.Fatal(err)
	}
	if err := vm.renewRegistration(context.Background(), &lease); err != nil {
		t.Fatal(err)
	}
	registered, err := f.store.Get(context.Background(), key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeMember(registered); err != nil {
		t.Errorf("the VM is not registered: %v", err)
	}
}
