package exchanger

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/gossiper"

	peerv1 "cicadagrade.example/api/peer/v1"
	"cicadagrade.example/api/peer/v1/peerv1connect"
)

// peer is the peer service with only the exchange.
type peer struct {
	peerv1connect.UnimplementedPeerServiceHandler
	x *Exchanger
}

func (p peer) Exchange(ctx context.Context, r *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeReply], error) {
	return p.x.Exchange(ctx, r)
}

// fleet is VMs that exchange over loopback.
type fleet struct {
	vms   []*Exchanger
	stops []context.CancelFunc
	group errgroup.Group
	bytes atomic.Int64 // on the wire, both ways
}

func (f *fleet) add(tb testing.TB, dataCentre string, seeds ...string) string {
	mux := http.NewServeMux()
	server := httptest.NewUnstartedServer(mux)
	server.Listener = countingListener{Listener: server.Listener, bytes: &f.bytes}
	server.Start()
	address := server.Listener.Addr().String()
	self := tier.NewVM(fmt.Sprintf("vm-%d", len(f.vms)), dataCentre, address, tier.WithIncarnation(tier.Incarnation(len(f.vms)+1)))
	x, err := New(self, tier.NewClock(), WithGossip(gossiper.WithSeed(uint64(len(f.vms)))))
	if err != nil {
		tb.Fatal(err)
	}
	mux.Handle(peerv1connect.NewPeerServiceHandler(peer{x: x}))
	x.SetSeeds(seeds)
	x.SetState(tier.VMLive)
	ctx, stop := context.WithCancel(context.Background())
	f.group.Go(func() error { return x.Run(ctx) })
	f.vms = append(f.vms, x)
	f.stops = append(f.stops, func() {
		stop()
		server.CloseClientConnections()
		server.Close()
	})
	return address
}

func (f *fleet) stop(tb testing.TB) {
	for _, s := range f.stops {
		s()
	}
	if err := f.group.Wait(); err != nil {
		tb.Error(err)
	}
}

func eventually(tb testing.TB, what string, done func() bool) {
	tb.Helper()
	for end := time.Now().Add(time.Minute); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("never: %s", what)
		}
	}
}

func live(x *Exchanger) int {
	n := 0
	for _, v := range x.Members() {
		if v.State() == tier.VMLive {
			n++
		}
	}
	return n
}

func (f *fleet) all(is func(x *Exchanger) bool) func() bool {
	return func() bool {
		for _, x := range f.vms {
			if !is(x) {
				return false
			}
		}
		return true
	}
}

func TestExchangeOverLoopback(t *testing.T) {
	var f fleet
	seed := f.add(t, "caxias")
	f.add(t, "caxias", seed)
	f.add(t, "itajai", seed)
	defer f.stop(t)
	eventually(t, "all live and fresh", f.all(func(x *Exchanger) bool { return live(x) == 3 && x.Fresh() }))
	if err := f.vms[0].Publish("set/portao", []byte("queue 3")); err != nil {
		t.Fatal(err)
	}
	if err := f.vms[2].Announce("profiles", 1, 4, []byte("digest")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "values everywhere", f.all(func(x *Exchanger) bool {
		_, revision, _, _ := x.Shared("profiles")
		return len(x.Entries("set/portao")) == 1 && revision == 4
	}))
	eventually(t, "data centres reached", f.all(func(x *Exchanger) bool { return x.Reachable("caxias") && x.Reachable("itajai") }))
	f.vms[1].SetState(tier.VMLeaving)
	eventually(t, "leaving known", f.all(func(x *Exchanger) bool { return live(x) == 2 }))
}

func TestTooLargeToPublish(t *testing.T) {
	x, err := New(tier.NewVM("vm-0", "caxias", "127.0.0.1:7000"), tier.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	if err := x.Publish("k", make([]byte, gossiper.MaxValue+1)); err == nil {
		t.Fatal("no error")
	}
	if err := x.Publish("k", make([]byte, gossiper.MaxValue)); err != nil {
		t.Fatal(err)
	}
}
