package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// withEvacuations gives a VM the settings of a deployment that has evacuations.
func withEvacuations(t *testing.T, e *Entry, store string) {
	t.Helper()
	raw, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(strings.ReplaceAll(string(raw), "STORE", store), "[bounds]", "[bounds]\nevacuationMs = 5000")
	settings, err := platform.DecodeSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	e.Reload(settings)
}

// testView is a view with one leaf in depot-a and one in depot-c, at revision 3.
func testView(t *testing.T) []storer.Value {
	t.Helper()
	raw, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []storer.Value{storer.NewValue(platform.ConfigurationKey, raw, 1)}
	for i, dataCentre := range []string{"depot-a", "depot-c"} {
		registration, err := responder.NewFixedLeaf(dataCentre, "x").Registration("s1", fmt.Sprint("127.0.0.1:", i+1), dataCentre)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, storer.NewValue(platform.LeafsPrefix+dataCentre, registration, int64(i+2)))
	}
	return list
}

func evacuationOf(dataCentre string, revision int64) storer.Value {
	return storer.NewValue(platform.EvacuationsPrefix+dataCentre, []byte("{}"), revision)
}

// usableDataCentres lists the data centres with a usable leaf of s1.
func usableDataCentres(e *Entry) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for _, leaf := range e.scheduler.Lister().Leafs("s1") {
		list = append(list, leaf.DataCentre())
	}
	return strings.Join(list, " ")
}

// TestEvacuationsStayInForce guards against a VM that uses the leafs of an evacuated data centre
// because it started with the view of another VM, has read an older view or an older write again,
// or has lost the store, and against one that relays less than it knows.
func TestEvacuationsStayInForce(t *testing.T) {
	source, client := newOfflineEntry(t)
	follower, _ := newOfflineEntry(t)
	withEvacuations(t, source, "127.0.0.1:1")
	withEvacuations(t, follower, "127.0.0.1:1")
	view := testView(t)
	expect := func(when, usable string, inForce int) {
		t.Helper()
		if got := usableDataCentres(follower); got != usable {
			t.Errorf("%s: leafs in %q are used, expected %q", when, got, usable)
		}
		if n := len(follower.relayer.WithPrefix(platform.EvacuationsPrefix)); n != inForce {
			t.Errorf("%s: the VM relays %d evacuations, expected %d", when, n, inForce)
		}
		if n := follower.scheduler.Lister().Evacuations(); n != inForce {
			t.Errorf("%s: %d evacuations are in force, expected %d", when, n, inForce)
		}
	}
	source.replaceView(view, 3, false)
	source.applyChange(evacuationOf("depot-a", 9), 9, false)
	source.applyChange(evacuationOf("atlantis", 10), 10, false)
	source.advanceView(10, 0)
	if usable := usableDataCentres(source); usable != "depot-a depot-c" {
		t.Errorf("a VM that has used the leafs turns away at once: %q is left", usable)
	}
	response, err := client.Fetch(t.Context(), connect.NewRequest(&gatherv1.FetchRequest{After: 3}))
	if err != nil || len(response.Msg.GetItems()) != 2 {
		t.Fatalf("a VM that copies changes gets %v, %v", response, err)
	}
	response, err = client.Fetch(t.Context(), connect.NewRequest(&gatherv1.FetchRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	copied := decodeItems(response.Msg.GetItems())
	follower.replaceView(copied, 10, true)
	expect("started with the view of another VM", "depot-c", 2)
	if follower.relayer.KeyDigest() != response.Msg.GetKeyDigest() {
		t.Error("the copy has another digest")
	}
	follower.replaceView(view, 8, true)
	expect("an older view", "depot-c", 2)
	follower.finishRefresh(true)
	expect("no store", "depot-c", 2)
	follower.replaceView(copied, 11, true)
	expect("all read again, after the store has lost its history", "depot-c", 2)
	follower.applyChange(evacuationOf("depot-a", 0), 8, true)
	expect("a removal before the write", "depot-c", 2)
	follower.applyChange(evacuationOf("atlantis", 0), 12, true)
	follower.applyChange(evacuationOf("depot-a", 0), 12, true)
	follower.applyChange(evacuationOf("depot-a", 9), 12, true)
	expect("withdrawn, and the write delivered late", "depot-c", 0)
}

// TestEvacuationsNeedNoFurtherCall guards against a start that takes longer, or costs the store
// more, for the evacuations, and against changed calls of deployments that have none.
func TestEvacuationsNeedNoFurtherCall(t *testing.T) {
	for _, evacuates := range []bool{false, true} {
		var mu sync.Mutex
		var calls []string
		server := storeserver.New(tier.NewClock())
		listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				mu.Lock()
				calls = append(calls, r.URL.Path+"?"+r.URL.RawQuery)
				mu.Unlock()
			}
			server.ServeHTTP(w, r)
		}))
		t.Cleanup(listener.Close)
		e, _ := newOfflineEntry(t)
		e.store = platform.NewStore(listener.URL)
		t.Cleanup(e.store.Close)
		want := []string{"/kv-key?key=op%2Fconfig", "/kv-range?pathPrefix=cicadagrade%2Fvm", "/kv-range?pathPrefix=leafs%2F"}
		usable := "depot-a depot-c"
		if evacuates {
			withEvacuations(t, e, listener.Listener.Addr().String())
			want[0], usable = "/kv-range?pathPrefix=op%2F", "depot-c"
		}
		want[2] = strings.ReplaceAll(want[2], "leafs%2F", strings.ReplaceAll(platform.LeafsPrefix, "/", "%2F"))
		for _, v := range append(testView(t), evacuationOf("depot-a", 1), storer.NewValue(platform.OperatorPrefix+"other", []byte("x"), 1)) {
			if _, err := e.store.Put(t.Context(), v.Key(), v.Data(), 0); err != nil {
				t.Fatal(err)
			}
		}
		if err := e.readAll(t.Context()); err != nil {
			t.Fatal(err)
		}
		slices.Sort(calls)
		slices.Sort(want)
		if !slices.Equal(calls, want) {
			t.Errorf("evacuations %v: the calls are %q, expected %q", evacuates, calls, want)
		}
		if got := usableDataCentres(e); got != usable || e.table.Load() == nil {
			t.Errorf("evacuations %v: leafs in %q are used, expected %q", evacuates, got, usable)
		}
		if n := len(e.relayer.WithPrefix(platform.OperatorPrefix + "other")); n != 0 {
			t.Error("another key of operators is kept")
		}
	}
}

// TestEvacuationIsLogged guards against an evacuation that operators cannot follow in the logs, and
// against leafs that only leave with the next read of the view.
func TestEvacuationIsLogged(t *testing.T) {
	e, _ := newOfflineEntry(t)
	withEvacuations(t, e, "127.0.0.1:1")
	var out strings.Builder
	e.log = eventlog.New(&out, e.clock)
	e.replaceView(testView(t), 3, false)
	ctx, cancel := context.WithTimeout(t.Context(), (10 * tier.Second).Duration())
	var group sync.WaitGroup
	group.Go(func() { _ = e.RunEvacuations(ctx) })
	e.applyChange(evacuationOf("depot-a", 9), 9, false)
	e.applyChange(evacuationOf("atlantis", 10), 10, false)
	for usableDataCentres(e) != "depot-c" && ctx.Err() == nil {
		sleep(ctx, evacuationInterval)
	}
	e.applyChange(evacuationOf("depot-a", 0), 12, false)
	for usableDataCentres(e) != "depot-a depot-c" && ctx.Err() == nil {
		sleep(ctx, evacuationInterval)
	}
	expired := ctx.Err()
	cancel()
	group.Wait()
	if expired != nil {
		t.Error("the leafs do not leave and return")
	}
	if err := e.log.Run(ctx); err != nil { // writes what has been logged
		t.Fatal(err)
	}
	for _, line := range []string{
		"msg=evacuation-in-force", "data-centre=depot-a known=true revision=9", "data-centre=atlantis known=false revision=10",
		"msg=leaf-evacuated", "msg=evacuation-ended", "revision=12", "msg=leaf-returned",
	} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("no line has %q:\n%s", line, out.String())
		}
	}
}

// TestRestrictedRequests guards against requests that leave their regions, and checks what callers
// of refused ones are told.
func TestRestrictedRequests(t *testing.T) {
	f := newTestFleet(t, 1)
	f.putConfiguration("regions.json")
	for _, service := range []string{"s1", "s2", "s3", "ledger", "orders"} {
		f.addLeafsIn("depot-a", service, 1)
	}
	f.readStores()
	e := f.entries[0]
	expect := func(path string, status int, waits bool) {
		t.Helper()
		r := f.ask(e, path)
		if r.Code != status || (r.Header().Get("Retry-After") != "") != waits {
			t.Errorf("%s: status %d, headers %v, expected status %d, Retry-After %v", path, r.Code, r.Header(), status, waits)
		}
	}
	expect("/sweep/1", http.StatusServiceUnavailable, true)
	expect("/book/1", http.StatusServiceUnavailable, false)
	if calls, refused := e.leafClient.Counts().Requests, e.refusedRegions.Load(); calls != 0 || refused != 2 {
		t.Errorf("%d calls were made, %d requests are counted as refused", calls, refused)
	}
	expect("/line/1", http.StatusOK, false)
	f.addLeafsIn("depot-c", "s1", 1)
	f.addLeafsIn("depot-c", "s2", 1)
	f.readStores()
	expect("/sweep/1", http.StatusOK, false)
}

// TestReceivedSharesKeepTheirRegions guards against a VM that sends what it gets from another VM,
// to leafs that the request must not reach.
func TestReceivedSharesKeepTheirRegions(t *testing.T) {
	e, client := newOfflineEntry(t)
	e.replaceView(testView(t), 3, false)
	for _, call := range []func(context.Context, *connect.Request[gatherv1.GatherRequest]) (*connect.ServerStreamForClient[gatherv1.GatherReply], error){
		client.Gather, client.Relay,
	} {
		for _, regions := range [][]string{{"east"}, nil} {
			stream, err := call(t.Context(), connect.NewRequest(&gatherv1.GatherRequest{
				Shards: []string{"s1"}, Attempts: 1, AimMs: 1000, EndMs: 2000, Restricted: true, Regions: regions,
			}))
			if err != nil {
				t.Fatal(err)
			}
			var last *gatherv1.GatherReply
			for stream.Receive() {
				last = stream.Msg()
			}
			if err := stream.Err(); err != nil {
				t.Fatal(err)
			}
			_ = stream.Close()
			if !last.GetLast() || last.GetCalls() != 0 || !slices.Equal(last.GetUncalled(), []uint32{0}) {
				t.Errorf("regions %v: the last reply is %v", regions, last)
			}
		}
	}
}
