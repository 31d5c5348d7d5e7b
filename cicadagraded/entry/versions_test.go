package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/tier/refresher"
)

// newOutdatedVM starts a VM that reads version 7 from a store that has lost version 8, which the other
// two VMs have in force.
func newOutdatedVM(t *testing.T) (*returnedFleet, *Entry) {
	f := &returnedFleet{linkFleet: newLinkFleet(t, "depot-a", "depot-a")}
	f.storeServer.Save("copy")
	f.putVersion(8)
	f.readStores()
	if err := f.storeServer.Drill("copy"); err != nil {
		t.Fatal(err)
	}
	started := f.addVM()
	for _, m := range f.entries[0].scheduler.Partitioner().ReachablePeers() {
		started.scheduler.Partitioner().Put(m)
	}
	started.carryOut(context.Background(), refresher.Store{Whole: true})
	f.expectVersion(started, 7)
	return f, started
}

// fetchAs lets a VM answer the fetch of another one that has a version in force.
func fetchAs(t *testing.T, from *Entry, request *gatherv1.FetchRequest) *gatherv1.FetchReply {
	t.Helper()
	reply, err := (&peerService{entry: from}).Fetch(context.Background(), connect.NewRequest(request))
	if err != nil {
		t.Fatal(err)
	}
	return reply.Msg
}

// Guards against a VM that handles requests by an older configuration than all others: it has started
// after the store's return from a copy that lacks the newest one.
func TestConfigurationThatTheStoreHasLostIsTakenOver(t *testing.T) {
	for name, othersHaveSeenReturn := range map[string]bool{"others have not seen the return": false, "others have seen it": true} {
		t.Run("asks another VM, "+name, func(t *testing.T) {
			f, started := newOutdatedVM(t)
			if othersHaveSeenReturn {
				f.read(f.entries[1])
			}
			f.copyView(started, f.entries[1])
			f.expectVersion(started, 8)
			f.read(started)
			f.expectVersion(started, 8)
		})
	}
	t.Run("is asked by another VM", func(t *testing.T) {
		f, started := newOutdatedVM(t)
		name := f.entries[1].settings.Load().Name()
		fetchAs(t, started, &gatherv1.FetchRequest{Name: name, After: f.entries[1].revision(), Version: proto.Int64(8)})
		source, _ := started.nextRead()
		peer, ok := source.(refresher.Peer)
		if !ok || peer.Member.VM().Name() != name {
			t.Fatalf("the next read is of %v, expected %s", source, name)
		}
		started.carryOut(context.Background(), source)
		f.expectVersion(started, 8)
		// Those that copy from the VM get it as well.
		if c := fetchAs(t, started, &gatherv1.FetchRequest{Name: "entry-9", After: started.revision(), Version: proto.Int64(7)}).GetConfiguration(); c == nil {
			t.Error("the configuration is not passed on")
		}
	})
}

// Guards against VMs of an earlier build, which tell no version, that are taken for VMs without one: each
// fetch would bring the whole configuration.
func TestConfigurationIsSentOnlyIfItIsNewer(t *testing.T) {
	f := newLinkFleet(t, "depot-a")
	vm := f.entries[0]
	for name, c := range map[string]struct {
		request  *gatherv1.FetchRequest
		expected bool
	}{
		"a build that tells no version": {&gatherv1.FetchRequest{After: vm.revision()}, false},
		"the same version":              {&gatherv1.FetchRequest{After: vm.revision(), Version: proto.Int64(7)}, false},
		"a newer version":               {&gatherv1.FetchRequest{After: vm.revision(), Version: proto.Int64(8)}, false},
		"an older version":              {&gatherv1.FetchRequest{After: vm.revision(), Version: proto.Int64(6)}, true},
		"an older version, whole view":  {&gatherv1.FetchRequest{Version: proto.Int64(6)}, false},
		"no configuration":              {&gatherv1.FetchRequest{After: vm.revision(), Version: proto.Int64(0)}, true},
	} {
		if got := fetchAs(t, vm, c.request).GetConfiguration() != nil; got != c.expected {
			t.Errorf("%s: configuration sent: %v", name, got)
		}
	}
}

// Guards against a 404 on a route that a newer configuration has, on a VM that knows of that.
func TestRouteThatANewerConfigurationMayHaveIsNotDenied(t *testing.T) {
	f := newLinkFleet(t, "depot-a", "depot-a")
	vm := f.entries[0]
	if got := f.send(vm, "/other/1", 1).Code; got != http.StatusNotFound {
		t.Fatalf("a route that does not exist: %d", got)
	}
	fetchAs(t, vm, &gatherv1.FetchRequest{Name: "entry-2", After: vm.revision(), Version: proto.Int64(8)})
	response := f.send(vm, "/other/1", 2)
	if response.Code != http.StatusServiceUnavailable || response.Header().Get("Retry-After") == "" {
		t.Errorf("a route that a newer configuration may have: %d, %v", response.Code, response.Header())
	}
	missed, _ := vm.missedVersion()
	missed.lastAt -= newerVersionTTL + 1
	vm.newer.Store(&missed)
	if got := f.send(vm, "/other/1", 3).Code; got != http.StatusNotFound {
		t.Errorf("no VM has told of the newer configuration any more: %d", got)
	}
}

// Guards against logs that can't tell why a route is unknown: which state of the store the view is of, who
// it is from, and whether a newer configuration is known.
func TestRefusalsOfUnknownRoutesTellTheView(t *testing.T) {
	f, started := newOutdatedVM(t)
	var logged strings.Builder
	started.log = eventlog.New(&logged, started.clock)
	f.send(started, "/other/1", 1)
	fetchAs(t, started, &gatherv1.FetchRequest{Name: "entry-2", After: started.revision(), Version: proto.Int64(8)})
	f.send(started, "/other/1", 2)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := started.log.Run(ctx); err != nil { // writes what has been logged
		t.Fatal(err)
	}
	for _, text := range []string{
		"cause=no-route ", "version=7", "era=2", "revision=", "source=store",
		"cause=no-route-in-stale-view", "newer-version=8", "newer-from=entry-2", "newer-for-ms=",
	} {
		if !strings.Contains(logged.String(), text) {
			t.Errorf("no %q in the log:\n%s", text, logged.String())
		}
	}
}
