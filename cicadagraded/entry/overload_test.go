package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// overloadVM makes a VM measure a wait of 2 s, after which it refuses nearly all requests.
func overloadVM(e *Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.shedder.Waiting(now - 2*tier.Second)
	e.shedder.Waited(now)
}

// TestOverloadedVMRefusesAtTheDoor guards against an overloaded VM that begins to work on requests
// that it can't finish, and against refusals that tell callers nothing of when to return.
func TestOverloadedVMRefusesAtTheDoor(t *testing.T) {
	f := newTestFleet(t, 1)
	f.addLeafs("orders", 1)
	overloadVM(f.entries[0])
	refused := 0
	for i := range 40 {
		response := f.send(f.entries[0], "/line/1", i)
		if response.Code == http.StatusOK {
			continue
		}
		refused++
		if response.Code != http.StatusServiceUnavailable || response.Header().Get("Retry-After") == "" {
			t.Errorf("refused with %d, Retry-After %q", response.Code, response.Header().Get("Retry-After"))
		}
	}
	if refused < 30 {
		t.Errorf("%d of 40 requests were refused, expected nearly all", refused)
	}
}

// TestOverloadedVMRefusesSharesWithoutBeingSuspected guards against VMs that take an overloaded one
// for one that has failed, so that its load goes to the next.
func TestOverloadedVMRefusesSharesWithoutBeingSuspected(t *testing.T) {
	e, c := newOfflineEntry(t)
	e.replaceView(testView(t), 3, false)
	overloadVM(e)
	refused := 0
	for i := range 40 {
		ctx, cancel := context.WithCancel(t.Context())
		stream, err := c.Gather(ctx, connect.NewRequest(&gatherv1.GatherRequest{
			Attempt: strings.Repeat("a", i+1), Shards: []string{"s1"}, Attempts: 1, Rank: 1, EndMs: 60_000,
		}))
		if err != nil {
			t.Fatal(err)
		}
		if !stream.Receive() {
			t.Fatal(stream.Err())
		}
		if stream.Msg().GetRefusedPermille() < 900 {
			t.Errorf("the VM tells that it refuses %d of 1000, expected nearly all", stream.Msg().GetRefusedPermille())
		}
		if stream.Msg().GetDeclined() {
			refused++
		}
		cancel()
		_ = stream.Close()
	}
	if refused < 30 {
		t.Errorf("%d of 40 shares were refused, expected nearly all", refused)
	}
	if share, probe := declines(t, c); probe {
		t.Errorf("the VM tells a probe that it takes no shares (share declined: %v)", share)
	}
}

// TestVMWithoutLinksRefusesWhatOverloadedVMsWould guards against requests that a VM without links
// passes on to others only to have them refused there.
func TestVMWithoutLinksRefusesWhatOverloadedVMsWould(t *testing.T) {
	f := newTestFleet(t, 2)
	f.addLeafs("orders", 1)
	e := f.entries[0]
	e.linksLost.Store(true)
	var lease storer.LeaseID
	if err := f.entries[1].renewRegistration(t.Context(), &lease); err != nil {
		t.Fatal(err)
	}
	f.readStores()
	e.hearPeerLevel("entry-2", false, &gatherv1.GatherReply{Declined: true, RefusedPermille: 980})
	q := f.newRequest("/line/1")
	q.route, _ = e.table.Load().Match("search.example", "/line/1")
	refused := 0
	for range 40 {
		if cause, sheds := e.sheds(q); sheds {
			refused++
			if cause != "vms-overloaded" {
				t.Errorf("refused with cause %q", cause)
			}
		}
	}
	if refused < 30 {
		t.Errorf("%d of 40 requests were refused, expected nearly all", refused)
	}
}
