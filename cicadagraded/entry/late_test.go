package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier"
)

// lateFleet is a VM whose clock and reads of the store a test controls.
type lateFleet struct {
	*testFleet
	vm       *Entry
	clock    *tier.ManualClock
	callTime atomic.Int64 // of each call to the store, in milliseconds
	down     atomic.Bool  // the store answers no call
}

// newLateFleet returns a VM that has version 7 in force, with the route /line/, while the store
// holds version 8, which drops the route.
func newLateFleet(t *testing.T) *lateFleet {
	t.Helper()
	f := &lateFleet{testFleet: newTestFleet(t, 0), clock: tier.NewManualClock(0)}
	// The clock of a VM that has just started is not at 0.
	f.clock.Advance(10 * tier.Second)
	store := storeserver.New(f.clock.Clock())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.clock.Advance(tier.Millis(f.callTime.Load()))
		if f.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	f.store, f.address = platform.NewStore(server.URL), server.Listener.Addr().String()
	f.putConfiguration("configuration.json")
	f.addLeafsIn("depot-a", "orders", 1)
	raw, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := platform.DecodeSettings([]byte(strings.ReplaceAll(string(raw), "STORE", f.address)))
	if err != nil {
		t.Fatal(err)
	}
	f.vm, err = New(settings, f.clock.Clock(), eventlog.New(io.Discard, f.clock.Clock()))
	if err != nil {
		t.Fatal(err)
	}
	f.entries = append(f.entries, f.vm)
	f.round()
	f.expect(http.StatusOK)
	raw, err = os.ReadFile("testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	raw = bytes.Replace(raw, []byte(`"version": 7`), []byte(`"version": 8`), 1)
	f.put(platform.ConfigurationKey, bytes.Replace(raw, []byte(`"/line/"`), []byte(`"/other/"`), 1))
	return f
}

// round makes the reads of one round and returns the pause after it.
func (f *lateFleet) round() tier.Millis {
	for {
		pause, ended := f.step()
		if ended {
			return pause
		}
	}
}

// step makes one read, or ends the round and returns the pause after it.
func (f *lateFleet) step() (tier.Millis, bool) {
	source, pause := f.vm.nextRead()
	if source == nil {
		return pause, true
	}
	f.vm.carryOut(context.Background(), source)
	return 0, false
}

func (f *lateFleet) expect(status int) {
	f.t.Helper()
	f.nextID++
	if got := f.send(f.vm, "/line/1", f.nextID).Code; got != status {
		f.t.Errorf("the request is answered with %d, expected %d", got, status)
	}
}

// TestOverloadedVMServesNoOldConfiguration guards against requests that are handled by a
// configuration that was replaced more than 4 s before, because the VM has so much work that its
// own reads of the store get no turn, or end long after their limit.
func TestOverloadedVMServesNoOldConfiguration(t *testing.T) {
	t.Run("no-turn", func(t *testing.T) {
		f := newLateFleet(t)
		f.clock.Advance(4200)
		f.expect(http.StatusServiceUnavailable)
		f.round()
		f.expect(http.StatusNotFound)
	})
	t.Run("read-past-its-limit", func(t *testing.T) {
		f := newLateFleet(t)
		f.callTime.Store(4200)
		f.down.Store(true)
		f.step()
		f.expect(http.StatusServiceUnavailable)
	})
}

// TestOutageServesTheLastConfiguration guards against an outage of the store that becomes one of
// the VMs: each read fails in time, and the last known configuration stays in use.
func TestOutageServesTheLastConfiguration(t *testing.T) {
	f := newLateFleet(t)
	f.down.Store(true)
	f.callTime.Store(int64(storeCallTimeout))
	for f.vm.viewAge() < 9*tier.Second {
		f.clock.Advance(f.round())
	}
	f.expect(http.StatusOK)
}
