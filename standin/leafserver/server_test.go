package leafserver

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	backendv1 "cicadagrade.example/api/backend/v1"
	"cicadagrade.example/api/backend/v1/backendv1connect"
	"cicadagrade.example/standin/recordgenerator"
	"cicadagrade.example/tier"
)

const (
	testSlots       = 2
	testConnections = 8
)

// harness is a served fleet of one server, and a client of it.
type harness struct {
	t      *testing.T
	server *Server
	fleet  *Fleet
	clock  *tier.ManualClock
	client backendv1connect.LeafServiceClient
	addr   string
}

// newHarness serves one server, which holds one shard with all keys.
func newHarness(t *testing.T) *harness {
	t.Helper()
	b := tier.NewBackend("portao-01-a", "127.0.0.1:1", "serra-caxias", tier.WithSlots(testSlots), tier.WithConnections(testConnections), tier.WithConnectionCost(0))
	set, err := tier.NewShardSet("portao", tier.WithServers(b), tier.WithShards(tier.NewShard("portao-01", 0, ^uint64(0), b.Name())))
	if err != nil {
		t.Fatal(err)
	}
	clock := tier.NewManualClock(0)
	f := NewFleet([]*tier.ShardSet{set}, recordgenerator.New(7), WithClock(clock.Clock()), WithServiceTime(time.Millisecond, 0, 0))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f.Servers()[0].ServeOn(ctx, l) })
	t.Cleanup(func() {
		stop()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	addr := l.Addr().String()
	return &harness{
		t:      t,
		server: f.Servers()[0],
		fleet:  f,
		clock:  clock,
		client: backendv1connect.NewLeafServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+addr),
		addr:   addr,
	}
}

func (h *harness) search(ctx context.Context, v uint64) (*backendv1.SearchReply, connect.Code) {
	q := &backendv1.SearchRequest{Attempt: "caxias-1/1/1", Set: "portao", Shard: "portao-01", Snapshot: &backendv1.Snapshot{Epoch: 1, Version: v}, Term: "grower-7"}
	r, err := h.client.Search(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, connect.CodeOf(err)
	}
	return r.Msg, 0
}

func (h *harness) setFaults(q faultRequest) {
	h.t.Helper()
	if _, err := h.fleet.apply(q); err != nil {
		h.t.Fatal(err)
	}
}

// eventually waits until a condition holds, and fails the test if it does not in time.
func (h *harness) eventually(what string, ok func() bool) {
	h.t.Helper()
	for range 5000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	h.t.Fatal("did not happen:", what)
}

func ptr[T any](v T) *T { return &v }

// TestSlotsAreBounded fills the slots with calls that hang: the next call is
// shed without running, and cancelling the hung ones frees their slots.
func TestSlotsAreBounded(t *testing.T) {
	h := newHarness(t)
	h.setFaults(faultRequest{Call: ptr(CallHang), CallFraction: ptr(1.0)})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for range testSlots {
		g.Go(func() error { h.search(ctx, 1); return nil })
	}
	h.eventually("the slots are taken", func() bool { return h.server.slots.inUse() == testSlots })
	if _, code := h.search(context.Background(), 1); code != connect.CodeResourceExhausted {
		t.Errorf("a call without a free slot got %v", code)
	}
	cancel()
	_ = g.Wait()
	h.eventually("the slots are free", func() bool { return h.server.slots.inUse() == 0 })
	h.setFaults(faultRequest{Clear: true})
	if _, code := h.search(context.Background(), 1); code != 0 {
		t.Errorf("a call after the cancellation got %v", code)
	}
	c := h.server.Counters()
	if c.InUseMax != testSlots || c.Shed != 1 || c.Overbooked != 1 || c.Cancelled != testSlots || len(h.fleet.Journal().ServedSearches(0)) != 1 {
		t.Errorf("counters %+v, served %v", c, h.fleet.Journal().ServedSearches(0))
	}
}

// TestConnectionsAreBounded opens one connection beyond the limit: the server closes it and
// counts it as refused.
func TestConnectionsAreBounded(t *testing.T) {
	h := newHarness(t)
	var conns []net.Conn
	for range testConnections {
		c, err := net.Dial("tcp", h.addr)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	h.eventually("all are open", func() bool { return h.server.Counters().Connections == testConnections })
	c, err := net.Dial("tcp", h.addr)
	if err == nil {
		_, err = io.ReadAll(c)
		_ = c.Close()
	}
	h.eventually("one is refused", func() bool { return h.server.Counters().ConnectionsRefused == 1 })
	if got := h.server.Counters().ConnectionsMax; got != testConnections {
		t.Errorf("%d connections (%v)", got, err)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	h.eventually("closed connections are not counted", func() bool { return h.server.Counters().Connections == 0 })
}

// TestHealthLagsBehindLeaving checks that a leaving server refuses calls at once while its
// lagging Health still reports it as live.
func TestHealthLagsBehindLeaving(t *testing.T) {
	h := newHarness(t)
	h.setFaults(faultRequest{HealthLag: ptr(2 * tier.Second)})
	h.clock.Advance(5 * tier.Second)
	h.setFaults(faultRequest{State: "leaving"})
	if _, code := h.search(context.Background(), 1); code != connect.CodeUnavailable {
		t.Errorf("a leaving server answered %v", code)
	}
	for _, want := range []backendv1.ServerState{backendv1.ServerState_SERVER_STATE_LIVE, backendv1.ServerState_SERVER_STATE_LEAVING} {
		health, err := h.client.Health(context.Background(), connect.NewRequest(&backendv1.HealthRequest{}))
		if err != nil || health.Msg.GetState() != want {
			t.Errorf("health shows %v (%v), want %v", health.Msg.GetState(), err, want)
		}
		h.clock.Advance(3 * tier.Second)
	}
}

// TestServesRequestedVersion searches two versions that the server holds, then one that it
// has dropped.
func TestServesRequestedVersion(t *testing.T) {
	h := newHarness(t)
	h.setFaults(faultRequest{Publish: 2})
	for v := uint64(1); v <= 2; v++ {
		r, code := h.search(context.Background(), v)
		if code != 0 || len(r.GetRecords()) == 0 || len(r.GetHolding().GetVersions()) != 2 {
			t.Fatalf("version %d: %v %v", v, code, r)
		}
		for _, x := range r.GetRecords() {
			if got, ok := recordgenerator.ParseVersion(x.GetValue()); !ok || uint64(got) != v {
				t.Errorf("version %d has %s", v, x.GetValue())
			}
		}
	}
	h.setFaults(faultRequest{Drop: 1})
	if _, code := h.search(context.Background(), 1); code != connect.CodeFailedPrecondition {
		t.Errorf("the dropped version got %v", code)
	}
}

// TestServerComesUpAgain takes a server down during a call that hangs: the call fails, new
// connections are refused, and once up again the server answers.
func TestServerComesUpAgain(t *testing.T) {
	h := newHarness(t)
	h.setFaults(faultRequest{Call: ptr(CallHang), CallFraction: ptr(1.0)})
	var g errgroup.Group
	g.Go(func() error {
		if _, code := h.search(context.Background(), 1); code == 0 {
			t.Error("the hung call was answered")
		}
		return nil
	})
	h.eventually("the call hangs", func() bool { return h.server.slots.inUse() == 1 })
	h.setFaults(faultRequest{Down: ptr(true)})
	_ = g.Wait()
	h.setFaults(faultRequest{Call: ptr(CallNormal)})
	if _, err := net.Dial("tcp", h.addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("connecting to a server that is down: %v", err)
	}
	h.setFaults(faultRequest{Down: ptr(false)})
	if _, code := h.search(context.Background(), 1); code != 0 {
		t.Errorf("a call after the server came up again got %v", code)
	}
}

// TestRepartitionIsLearned gives the server a second shard map, which splits its shard. It
// serves both maps until the older one is forgotten.
func TestRepartitionIsLearned(t *testing.T) {
	h := newHarness(t)
	intact, _ := h.search(context.Background(), 1)
	splitMap := `{"name":"portao","epoch":2,"servers":[{"name":"portao-01-a","address":"127.0.0.1:1","data-centre":"serra-caxias"}],
		"shards":[{"id":"portao-01","from":"0000000000000000","to":"7fffffffffffffff","replicas":["portao-01-a"]},
		{"id":"portao-02","from":"8000000000000000","to":"ffffffffffffffff","replicas":["portao-01-a"]}]}`
	h.setFaults(faultRequest{Learn: json.RawMessage(splitMap)})
	search := func(shard string, epoch uint64) (*backendv1.SearchReply, connect.Code) {
		q := &backendv1.SearchRequest{Set: "portao", Shard: shard, Snapshot: &backendv1.Snapshot{Epoch: epoch, Version: 1}, Term: "grower-7"}
		r, err := h.client.Search(context.Background(), connect.NewRequest(q))
		if err != nil {
			return nil, connect.CodeOf(err)
		}
		return r.Msg, 0
	}
	low, _ := search("portao-01", 2)
	high, _ := search("portao-02", 2)
	if len(low.GetRecords()) == 0 || len(high.GetRecords()) == 0 || low.GetCount()+high.GetCount() != intact.GetCount() {
		t.Errorf("%d and %d records of %d", low.GetCount(), high.GetCount(), intact.GetCount())
	}
	h.setFaults(faultRequest{Forget: 1})
	if _, code := search("portao-01", 1); code != connect.CodeFailedPrecondition {
		t.Errorf("the forgotten map got %v", code)
	}
}

// TestReplyFaultsShow checks that each reply fault changes the records, and that only a
// repeated reply still matches its own count and digest.
func TestReplyFaultsShow(t *testing.T) {
	h := newHarness(t)
	intact, _ := h.search(context.Background(), 1)
	for _, f := range []ReplyFault{ReplyTruncated, ReplyCorrupted, ReplyRepeated} {
		h.setFaults(faultRequest{Reply: &f, ReplyFraction: ptr(1.0)})
		r, _ := h.search(context.Background(), 1)
		records := parseRecords(r.GetRecords())
		consistent := len(records) == int(r.GetCount()) && tier.Digest(records) == r.GetDigest()
		if consistent != (f == ReplyRepeated) || tier.Digest(records) == intact.GetDigest() {
			t.Errorf("%s: %d records, count %d", f, len(records), r.GetCount())
		}
	}
}
