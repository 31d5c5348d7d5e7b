package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"cicadagrade.example/tier"
)

// TestSweepThatEndsLeafsSparesTheirTwins guards against a sweep that ends the first leaf of each
// shard, and whose hedges, retries and next tries at other VMs end the second as well, so that no
// caller is served until they are back.
func TestSweepThatEndsLeafsSparesTheirTwins(t *testing.T) {
	const shards, tries = 6, 4
	f := newLinkFleet(t, "depot-a", "depot-a", "depot-b", "depot-c")
	f.putConfiguration("six-shards.json")
	for k := range shards {
		f.addLeafsIn("depot-a", fmt.Sprint("t", k), 1)
		f.addLeafsIn("depot-c", fmt.Sprint("t", k), 1)
	}
	f.settleReports()
	for _, e := range f.entries {
		if response := f.ask(e, "/wide/1"); response.Code != http.StatusOK {
			t.Fatalf("%s: status %d", e.settings.Load().Name(), response.Code)
		}
	}
	for k := range tries {
		// The caller tries again at once, at another VM.
		f.nextID++
		f.send(f.entries[k%len(f.entries)], "/wide/crash", f.nextID)
	}
	time.Sleep(endedLeafTimeout.Duration()) // calls of other VMs may still be in progress
	f.settleReports()
	down := map[string]int{}
	f.mu.Lock()
	for _, id := range f.crashed {
		down[f.services[id]]++
	}
	f.mu.Unlock()
	gone := 0
	for _, n := range down {
		if n == 2 {
			gone++
		}
	}
	if len(down) < shards {
		t.Errorf("leafs of %d shards have ended, the sweep was to end one of each: %v", len(down), down)
	}
	if gone > 1 {
		t.Errorf("%d shards have lost both leafs: %v", gone, down)
	}
	for _, e := range f.entries {
		if response := f.ask(e, "/wide/1"); response.Code != http.StatusOK {
			t.Errorf("%s: another sweep got %d", e.settings.Load().Name(), response.Code)
		}
	}
}

// TestSweepsThatLoseLeafsWithARackAreServed guards against sweeps that are held or refused because
// leafs have ended for another reason while they had them.
func TestSweepsThatLoseLeafsWithARackAreServed(t *testing.T) {
	const shards = 6
	f := newLinkFleet(t, "depot-a", "depot-a", "depot-c")
	f.putConfiguration("six-shards.json")
	var rack []*httptest.Server
	for k := range shards {
		f.addLeafsIn("depot-a", fmt.Sprint("t", k), 1)
		rack = append(rack, f.servers[len(f.servers)-1])
		f.addLeafsIn("depot-c", fmt.Sprint("t", k), 1)
	}
	f.settleReports()
	var group sync.WaitGroup
	results := make([]int, 2) // more would exceed the retry budget of a VM
	for k := range results {
		f.nextID++
		id := f.nextID
		group.Go(func() { results[k] = f.send(f.entries[k%2], "/wide/hold", id).Code })
	}
	for f.heldCount() < shards {
		time.Sleep(time.Millisecond)
	}
	for _, server := range rack {
		_ = server.Listener.Close()
		f.group.Go(server.CloseClientConnections)
	}
	time.Sleep((100 * tier.Millisecond).Duration())
	close(f.release)
	group.Wait()
	for k, code := range results {
		if code != http.StatusOK {
			t.Errorf("sweep %d, in progress when the rack ended: status %d", k, code)
		}
	}
	for _, e := range f.entries {
		if response := f.ask(e, "/wide/hold"); response.Code != http.StatusOK {
			t.Errorf("%s: the same sweep later: status %d", e.settings.Load().Name(), response.Code)
		}
	}
}

// TestRequestsThatLoseAllLeafsAtOnceAreServedLater guards against the content of good requests that
// is refused for ten minutes because all leafs of a service have ended at the same moment.
func TestRequestsThatLoseAllLeafsAtOnceAreServedLater(t *testing.T) {
	f := newTestFleet(t, 2)
	f.addLeafs("orders", 5)
	rack := slices.Clone(f.servers)
	f.addLeafs("s1", 2) // other services go on
	var group sync.WaitGroup
	const requests = 20
	for k := range requests {
		f.nextID++
		id := f.nextID
		group.Go(func() { f.send(f.entries[k%2], "/line/hold", id) })
	}
	for f.heldCount() < requests {
		time.Sleep(time.Millisecond)
	}
	for _, server := range rack {
		_ = server.Listener.Close()
	}
	for _, server := range rack {
		server.CloseClientConnections()
	}
	group.Wait()
	close(f.release)
	f.addLeafs("orders", 2)
	time.Sleep((2 * tier.Second).Duration())
	for _, e := range f.entries {
		if response := f.ask(e, "/line/hold"); response.Code != http.StatusOK {
			t.Errorf("%s: status %d, Retry-After %q", e.settings.Load().Name(), response.Code, response.Header().Get("Retry-After"))
		}
	}
}
