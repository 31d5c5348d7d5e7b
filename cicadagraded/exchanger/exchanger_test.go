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

// peerHandler implements only the Exchange method of the PeerService.
type peerHandler struct {
	peerv1connect.UnimplementedPeerServiceHandler
	exchanger *Exchanger
}

func (p peerHandler) Exchange(ctx context.Context, r *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeReply], error) {
	return p.exchanger.Exchange(ctx, r)
}

// cluster is a set of VMs that gossip over loopback.
type cluster struct {
	vms       []*Exchanger
	stops     []context.CancelFunc
	group     errgroup.Group
	wireBytes atomic.Int64 // on the wire, both ways
}

// add starts a VM with the given seeds and returns its address.
func (c *cluster) add(tb testing.TB, dataCentre string, seeds ...string) string {
	mux := http.NewServeMux()
	server := httptest.NewUnstartedServer(mux)
	server.Listener = countingListener{Listener: server.Listener, bytes: &c.wireBytes}
	server.Start()
	address := server.Listener.Addr().String()
	self := tier.NewVM(fmt.Sprintf("vm-%d", len(c.vms)), dataCentre, address, tier.WithIncarnation(tier.Incarnation(len(c.vms)+1)))
	x, err := New(self, tier.NewClock(), WithGossip(gossiper.WithSeed(uint64(len(c.vms)))))
	if err != nil {
		tb.Fatal(err)
	}
	mux.Handle(peerv1connect.NewPeerServiceHandler(peerHandler{exchanger: x}))
	x.SetSeeds(seeds)
	x.SetState(tier.VMLive)
	ctx, stop := context.WithCancel(context.Background())
	c.group.Go(func() error { return x.Run(ctx) })
	c.vms = append(c.vms, x)
	c.stops = append(c.stops, func() {
		stop()
		server.CloseClientConnections()
		server.Close()
	})
	return address
}

// stop stops all VMs.
func (c *cluster) stop(tb testing.TB) {
	for _, stop := range c.stops {
		stop()
	}
	if err := c.group.Wait(); err != nil {
		tb.Error(err)
	}
}

// waitFor polls done until it returns true. The test fails if that takes a minute.
func waitFor(tb testing.TB, what string, done func() bool) {
	tb.Helper()
	for end := time.Now().Add(time.Minute); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// countLive is the number of members that a VM sees in state live.
func countLive(x *Exchanger) int {
	n := 0
	for _, v := range x.Members() {
		if v.State() == tier.VMLive {
			n++
		}
	}
	return n
}

// allVMs returns a condition that is true if holds is true of every VM.
func (c *cluster) allVMs(holds func(x *Exchanger) bool) func() bool {
	return func() bool {
		for _, x := range c.vms {
			if !holds(x) {
				return false
			}
		}
		return true
	}
}

func TestExchangeOverLoopback(t *testing.T) {
	var c cluster
	seed := c.add(t, "caxias")
	c.add(t, "caxias", seed)
	c.add(t, "itajai", seed)
	defer c.stop(t)
	waitFor(t, "all VMs live and fresh", c.allVMs(func(x *Exchanger) bool { return countLive(x) == 3 && x.Fresh() }))
	if err := c.vms[0].Publish("set/portao", []byte("queue 3")); err != nil {
		t.Fatal(err)
	}
	if err := c.vms[2].Announce("profiles", 1, 4, []byte("digest")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "values published on all VMs", c.allVMs(func(x *Exchanger) bool {
		_, revision, _, _ := x.Shared("profiles")
		return len(x.Entries("set/portao")) == 1 && revision == 4
	}))
	waitFor(t, "all data centres reachable", c.allVMs(func(x *Exchanger) bool { return x.Reachable("caxias") && x.Reachable("itajai") }))
	c.vms[1].SetState(tier.VMLeaving)
	waitFor(t, "leaving VM known on all VMs", c.allVMs(func(x *Exchanger) bool { return countLive(x) == 2 }))
}

func TestPublishRejectsTooLargeValues(t *testing.T) {
	x, err := New(tier.NewVM("vm-0", "caxias", "127.0.0.1:7000"), tier.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	if err := x.Publish("k", make([]byte, gossiper.MaxValueBytes+1)); err == nil {
		t.Fatal("a value above the size limit was accepted")
	}
	if err := x.Publish("k", make([]byte, gossiper.MaxValueBytes)); err != nil {
		t.Fatal(err)
	}
}
