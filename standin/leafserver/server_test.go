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

type bench struct {
	t      *testing.T
	server *Server
	fleet  *Fleet
	clock  *tier.ManualClock
	client backendv1connect.LeafServiceClient
	addr   string
}

// newBench serves one server with one shard of everything.
func newBench(t *testing.T) *bench {
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
	return &bench{
		t:      t,
		server: f.Servers()[0],
		fleet:  f,
		clock:  clock,
		client: backendv1connect.NewLeafServiceClient(&http.Client{Transport: &http.Transport{}}, "http://"+addr),
		addr:   addr,
	}
}

func (b *bench) search(ctx context.Context, v uint64) (*backendv1.SearchReply, connect.Code) {
	q := &backendv1.SearchRequest{Attempt: "caxias-1/1/1", Set: "portao", Shard: "portao-01", Snapshot: &backendv1.Snapshot{Epoch: 1, Version: v}, Term: "grower-7"}
	r, err := b.client.Search(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, connect.CodeOf(err)
	}
	return r.Msg, 0
}

func (b *bench) order(o faultOrder) {
	b.t.Helper()
	if _, err := b.fleet.apply(o); err != nil {
		b.t.Fatal(err)
	}
}

// until waits for a condition that must come about.
func (b *bench) until(what string, ok func() bool) {
	b.t.Helper()
	for range 5000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	b.t.Fatal("never:", what)
}

func ptr[T any](v T) *T { return &v }

// TestSlotsAreBounded fills the slots with calls that hang: the next call is
// shed without running, and cancelling the hung ones frees their slots.
func TestSlotsAreBounded(t *testing.T) {
	b := newBench(t)
	b.order(faultOrder{Call: ptr(CallHang), CallFraction: ptr(1.0)})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for range testSlots {
		g.Go(func() error { b.search(ctx, 1); return nil })
	}
	b.until("the slots are taken", func() bool { return b.server.gate.inUse() == testSlots })
	if _, code := b.search(context.Background(), 1); code != connect.CodeResourceExhausted {
		t.Errorf("a call beyond the slots got %v", code)
	}
	cancel()
	_ = g.Wait()
	b.until("the slots are free", func() bool { return b.server.gate.inUse() == 0 })
	b.order(faultOrder{Clear: true})
	if _, code := b.search(context.Background(), 1); code != 0 {
		t.Errorf("after cancellation: %v", code)
	}
	c := b.server.Counters()
	if c.InUseMax != testSlots || c.Shed != 1 || c.Overbooked != 1 || c.Cancelled != testSlots || len(b.fleet.Journal().ServedSearches(0)) != 1 {
		t.Errorf("counters %+v, served %v", c, b.fleet.Journal().ServedSearches(0))
	}
}

// TestConnectionsAreBounded opens one connection too many.
func TestConnectionsAreBounded(t *testing.T) {
	b := newBench(t)
	var conns []net.Conn
	for range testConnections {
		c, err := net.Dial("tcp", b.addr)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	b.until("all are open", func() bool { return b.server.Counters().Connections == testConnections })
	c, err := net.Dial("tcp", b.addr)
	if err == nil {
		_, err = io.ReadAll(c)
		_ = c.Close()
	}
	b.until("one is refused", func() bool { return b.server.Counters().ConnectionsRefused == 1 })
	if got := b.server.Counters().ConnectionsMax; got != testConnections {
		t.Errorf("%d connections (%v)", got, err)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	b.until("closed ones are given back", func() bool { return b.server.Counters().Connections == 0 })
}

// TestHealthLagsBehindLeaving checks that calls are refused at once while
// the health page still shows the server live.
func TestHealthLagsBehindLeaving(t *testing.T) {
	b := newBench(t)
	b.order(faultOrder{HealthLag: ptr(2 * tier.Second)})
	b.clock.Advance(5 * tier.Second)
	b.order(faultOrder{State: "leaving"})
	if _, code := b.search(context.Background(), 1); code != connect.CodeUnavailable {
		t.Errorf("a leaving server answered %v", code)
	}
	for _, want := range []backendv1.ServerState{backendv1.ServerState_SERVER_STATE_LIVE, backendv1.ServerState_SERVER_STATE_LEAVING} {
		h, err := b.client.Health(context.Background(), connect.NewRequest(&backendv1.HealthRequest{}))
		if err != nil || h.Msg.GetState() != want {
			t.Errorf("health shows %v (%v), want %v", h.Msg.GetState(), err, want)
		}
		b.clock.Advance(3 * tier.Second)
	}
}

// TestVersionsAreToldApart holds two versions, then drops the older one.
func TestVersionsAreToldApart(t *testing.T) {
	b := newBench(t)
	b.order(faultOrder{Publish: 2})
	for v := uint64(1); v <= 2; v++ {
		r, code := b.search(context.Background(), v)
		if code != 0 || len(r.GetRecords()) == 0 || len(r.GetHolding().GetVersions()) != 2 {
			t.Fatalf("version %d: %v %v", v, code, r)
		}
		for _, x := range r.GetRecords() {
			if got, ok := recordgenerator.ParseVersion(x.GetValue()); !ok || uint64(got) != v {
				t.Errorf("version %d has %s", v, x.GetValue())
			}
		}
	}
	b.order(faultOrder{Drop: 1})
	if _, code := b.search(context.Background(), 1); code != connect.CodeFailedPrecondition {
		t.Errorf("the dropped version got %v", code)
	}
}

// TestLostServerComesBack takes a server down under a call that hangs.
func TestLostServerComesBack(t *testing.T) {
	b := newBench(t)
	b.order(faultOrder{Call: ptr(CallHang), CallFraction: ptr(1.0)})
	var g errgroup.Group
	g.Go(func() error {
		if _, code := b.search(context.Background(), 1); code == 0 {
			t.Error("the hung call was answered")
		}
		return nil
	})
	b.until("the call hangs", func() bool { return b.server.gate.inUse() == 1 })
	b.order(faultOrder{Down: ptr(true)})
	_ = g.Wait()
	b.order(faultOrder{Call: ptr(CallNormal)})
	if _, err := net.Dial("tcp", b.addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a server that is down: %v", err)
	}
	b.order(faultOrder{Down: ptr(false)})
	if _, code := b.search(context.Background(), 1); code != 0 {
		t.Errorf("back again: %v", code)
	}
}

// TestRepartitionIsLearned holds the shard of two maps at once, then forgets
// the older map.
func TestRepartitionIsLearned(t *testing.T) {
	b := newBench(t)
	whole, _ := b.search(context.Background(), 1)
	half := `{"name":"portao","epoch":2,"servers":[{"name":"portao-01-a","address":"127.0.0.1:1","data-centre":"serra-caxias"}],
		"shards":[{"id":"portao-01","from":"0000000000000000","to":"7fffffffffffffff","replicas":["portao-01-a"]},
		{"id":"portao-02","from":"8000000000000000","to":"ffffffffffffffff","replicas":["portao-01-a"]}]}`
	b.order(faultOrder{Learn: json.RawMessage(half)})
	ask := func(shard string, epoch uint64) (*backendv1.SearchReply, connect.Code) {
		q := &backendv1.SearchRequest{Set: "portao", Shard: shard, Snapshot: &backendv1.Snapshot{Epoch: epoch, Version: 1}, Term: "grower-7"}
		r, err := b.client.Search(context.Background(), connect.NewRequest(q))
		if err != nil {
			return nil, connect.CodeOf(err)
		}
		return r.Msg, 0
	}
	low, _ := ask("portao-01", 2)
	high, _ := ask("portao-02", 2)
	if len(low.GetRecords()) == 0 || len(high.GetRecords()) == 0 || low.GetCount()+high.GetCount() != whole.GetCount() {
		t.Errorf("%d and %d records of %d", low.GetCount(), high.GetCount(), whole.GetCount())
	}
	b.order(faultOrder{Forget: 1})
	if _, code := ask("portao-01", 1); code != connect.CodeFailedPrecondition {
		t.Errorf("the forgotten map got %v", code)
	}
}

// TestSpoiltRepliesShow checks that each reply fault changes what it says.
func TestSpoiltRepliesShow(t *testing.T) {
	b := newBench(t)
	whole, _ := b.search(context.Background(), 1)
	for _, f := range []ReplyFault{ReplyTruncated, ReplyCorrupted, ReplyRepeated} {
		b.order(faultOrder{Reply: &f, ReplyFraction: ptr(1.0)})
		r, _ := b.search(context.Background(), 1)
		records := wireRecords(r.GetRecords())
		sound := len(records) == int(r.GetCount()) && tier.Digest(records) == r.GetDigest()
		if sound != (f == ReplyRepeated) || tier.Digest(records) == whole.GetDigest() {
			t.Errorf("%s: %d records, count %d", f, len(records), r.GetCount())
		}
	}
}
