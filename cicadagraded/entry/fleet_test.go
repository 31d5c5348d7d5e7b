package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier"
)

// testFleet is a number of entry VMs that read the same store, and leafs that end, with all
// their connections, when they get a request to a path that ends in /crash. They hold one to a path
// that ends in /hold until release is closed.
type testFleet struct {
	t           *testing.T
	storeServer *storeserver.Server
	store       *platform.Store
	address     string
	entries     []*Entry
	servers     []*httptest.Server // of the leafs

	services map[string]string // of the leafs, by id
	leafs    map[string]*responder.FixedLeaf
	group    sync.WaitGroup // closes the connections of leafs
	nextID   int

	mu      sync.Mutex
	crashed []string // ids of leafs that have ended
	held    int      // requests to /line/hold that have come to leafs
	release chan struct{}
}

func newTestFleet(t *testing.T, vms int) *testFleet {
	t.Helper()
	storeServer := storeserver.New(tier.NewClock())
	server := httptest.NewServer(storeServer)
	f := &testFleet{t: t, storeServer: storeServer, release: make(chan struct{}), services: map[string]string{}, leafs: map[string]*responder.FixedLeaf{}, store: platform.NewStore(server.URL), address: server.Listener.Addr().String()}
	t.Cleanup(func() {
		f.group.Wait()
		for _, e := range f.entries {
			e.Close()
		}
		f.store.Close()
		server.Close()
	})
	for range vms {
		f.addVM()
	}
	f.putConfiguration("configuration.json")
	return f
}

// putConfiguration stores a configuration of testdata.
func (f *testFleet) putConfiguration(file string) {
	raw, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		f.t.Fatal(err)
	}
	f.put(platform.ConfigurationKey, raw)
}

// addVM starts an entry VM in data centre depot-a.
func (f *testFleet) addVM() *Entry { return f.addVMIn("depot-a") }

// addVMIn starts an entry VM in a data centre.
func (f *testFleet) addVMIn(dataCentre string) *Entry {
	raw, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		f.t.Fatal(err)
	}
	text := strings.ReplaceAll(string(raw), "STORE", f.address)
	text = strings.ReplaceAll(text, `zone = "depot-a"`, fmt.Sprintf("zone = %q", dataCentre))
	settings, err := platform.DecodeSettings([]byte(strings.ReplaceAll(text, "entry-1", fmt.Sprint("entry-", len(f.entries)+1))))
	if err != nil {
		f.t.Fatal(err)
	}
	clock := tier.NewClock()
	e, err := New(settings, clock, eventlog.New(io.Discard, clock))
	if err != nil {
		f.t.Fatal(err)
	}
	f.entries = append(f.entries, e)
	return e
}

func (f *testFleet) put(key string, raw []byte) {
	if _, err := f.store.Put(context.Background(), key, raw, 0); err != nil {
		f.t.Fatal(err)
	}
}

// addLeafs starts leafs of a service in data centre depot-a.
func (f *testFleet) addLeafs(service string, count int) {
	f.addLeafsIn("depot-a", service, count)
	f.settle()
}

// addLeafsIn starts leafs of a service in a data centre.
func (f *testFleet) addLeafsIn(dataCentre, service string, count int) {
	for range count {
		f.nextID++
		id := fmt.Sprint("i-", f.nextID)
		leaf := responder.NewFixedLeaf(id, "abc")
		f.leafs[id] = leaf
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case strings.HasSuffix(r.URL.Path, "/crash"):
				f.mu.Lock()
				f.crashed = append(f.crashed, id)
				f.mu.Unlock()
				_ = server.Listener.Close()
				f.group.Go(server.CloseClientConnections)
				panic(http.ErrAbortHandler)
			case strings.HasSuffix(r.URL.Path, "/hold"):
				f.mu.Lock()
				f.held++
				f.mu.Unlock()
				select {
				case <-f.release:
				case <-r.Context().Done():
				}
			case strings.HasSuffix(r.URL.Path, "/mute"):
				panic(http.ErrAbortHandler)
			}
			leaf.ServeHTTP(w, r)
		}))
		f.t.Cleanup(server.Close)
		raw, err := leaf.Registration(service, server.Listener.Addr().String(), dataCentre)
		if err != nil {
			f.t.Fatal(err)
		}
		f.servers = append(f.servers, server)
		f.services[id] = service
		f.put(platform.LeafsPrefix+id, raw)
	}
}

// settle removes the registrations of leafs that have ended, and lets all VMs do what follows
// from earlier requests and read the store.
func (f *testFleet) settle() {
	for _, e := range f.entries {
		e.background.Wait()
	}
	f.settleReports()
	f.mu.Lock()
	crashed := f.crashed
	f.mu.Unlock()
	for _, id := range crashed {
		registration, err := f.store.Get(context.Background(), platform.LeafsPrefix+id)
		if err == nil && registration.Present() {
			err = f.store.Delete(context.Background(), platform.LeafsPrefix+id, registration.Revision())
		}
		if err != nil {
			f.t.Fatal(err)
		}
	}
	f.readStores()
}

// settleReports lets all VMs report the leafs that have ended, and read the reports.
func (f *testFleet) settleReports() {
	for _, e := range f.entries {
		if err := e.writeCrashReports(context.Background()); err != nil {
			f.t.Fatal(err)
		}
	}
	f.readStores()
}

// readStores lets all VMs read the store.
func (f *testFleet) readStores() {
	for _, e := range f.entries {
		if err := e.readStore(context.Background(), false); err != nil {
			f.t.Fatal(err)
		}
		e.finishRefresh(false)
	}
}

// ask sends a request to a VM and returns the response.
func (f *testFleet) ask(e *Entry, path string) *httptest.ResponseRecorder {
	f.nextID++
	response := f.send(e, path, f.nextID)
	f.settle()
	return response
}

// send sends a request with a number of its own to a VM and returns the response.
func (f *testFleet) send(e *Entry, path string, id int) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, path, nil)
	request.Host = "search.example"
	// A caller reaches each VM from an address near it.
	request.RemoteAddr = fmt.Sprintf("192.0.2.%d:4711", 1+slices.Index(f.entries, e))
	responder.SetCallerHeaders(request.Header, fmt.Sprint("a", id), callerTimeoutMs)
	response := httptest.NewRecorder()
	e.ServeHTTP(response, request)
	return response
}

// newRequest returns a caller's request, as far as its content goes.
func (f *testFleet) newRequest(path string) *request {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "search.example"
	return &request{fingerprints: newFingerprints(r, path, nil)}
}

func (f *testFleet) heldCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

func (f *testFleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashed)
}
