package watcher_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/cicadagraded/exchanger"
	"cicadagrade.example/cicadagraded/watcher"
	"cicadagrade.example/platform"
	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/committer"
	"cicadagrade.example/tier/gossiper"
	"cicadagrade.example/tier/queue"

	peerv1 "cicadagrade.example/api/peer/v1"
	"cicadagrade.example/api/peer/v1/peerv1connect"
)

// node connects the watcher of a VM with gossip as the daemon does.
type node struct {
	peerv1connect.UnimplementedPeerServiceHandler
	self      tier.VM
	exchanger *exchanger.Exchanger
	watcher   *watcher.Watcher
	changes   *queue.Queue[gossiper.Action]
}

func (n *node) Exchange(ctx context.Context, r *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeReply], error) {
	return n.exchanger.Exchange(ctx, r)
}

func (n *node) Fetch(ctx context.Context, r *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchReply], error) {
	return n.watcher.Fetch(ctx, r)
}

// forwardChanges passes member and index changes from gossip to the watcher.
func (n *node) forwardChanges(ctx context.Context) error {
	for {
		a, err := n.changes.Pop(ctx)
		if err != nil {
			return nil
		}
		switch a := a.(type) {
		case *gossiper.MemberChanged:
			var local, remote []string
			for _, m := range n.exchanger.Members() {
				switch {
				case m.State() == tier.VMDead:
				case m.DataCentre() == n.self.DataCentre():
					local = append(local, m.Name())
				default:
					remote = append(remote, m.Name())
				}
			}
			n.watcher.OnMembers(local, remote)
		case *gossiper.EntryChanged:
			if strings.HasPrefix(a.Key(), watcher.IndexKeyPrefix) {
				_ = n.watcher.OnIndexEntry(a.Origin(), a.Key(), a.Value())
			}
		}
	}
}

func (n *node) dial(vm string) (watcher.Peer, bool) {
	for _, m := range n.exchanger.Members() {
		if m.Name() == vm {
			return peerv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+m.Address()), true
		}
	}
	return nil, false
}

func newNode(b *testing.B, self tier.VM, seeds []string, store *platform.Store) *node {
	n := &node{self: self, changes: queue.New[gossiper.Action](1024)}
	clock := tier.NewClock()
	x, err := exchanger.New(self, clock, exchanger.WithChanges(n.changes))
	if err != nil {
		b.Fatal(err)
	}
	x.SetSeeds(seeds[:3])
	x.SetState(tier.VMLive)
	n.exchanger = x
	n.watcher = watcher.New(self, store, clock, watcher.WithPublisher(x.Publish), watcher.WithPeers(n.dial))
	return n
}

// BenchmarkInForce measures the time from when a change is accepted until it is in force on
// every VM, over loopback, and the number of store calls of all VMs. It runs with seven VMs
// in three data centres and with thirty VMs in one.
func BenchmarkInForce(b *testing.B) {
	thirty := make([]string, 30)
	for i := range thirty {
		thirty[i] = fmt.Sprint("a", i)
	}
	b.Run("vms=7", func(b *testing.B) { benchmarkInForce(b, []string{"a1", "a2", "a3", "b1", "b2", "c1", "c2"}) })
	b.Run("vms=30", func(b *testing.B) { benchmarkInForce(b, thirty) })
}

func benchmarkInForce(b *testing.B, names []string) {
	server := storeserver.New(tier.NewClock())
	h := httptest.NewServer(server)
	defer h.Close()
	store := platform.NewStore(h.URL)
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	nodes := startNodes(ctx, b, group, store, names)
	change := func(i int) {
		d := profilesDocument(b, i+1)
		r := committer.Run(ctx, tier.NewClock(), store, committer.New(d, fmt.Sprint("change-", i), "op", "", 0))
		if _, ok := r.(*committer.Accepted); !ok {
			b.Fatalf("change ended %T", r)
		}
	}
	change(0)
	awaitInForce(b, nodes, "1", time.Now())
	var durations []float64
	for i := 1; b.Loop(); i++ {
		change(i)
		durations = append(durations, awaitInForce(b, nodes, fmt.Sprint(i+1), time.Now()))
	}
	sort.Float64s(durations)
	b.ReportMetric(durations[len(durations)/2], "median-ms")
	b.ReportMetric(durations[len(durations)-1], "worst-ms")
	b.ReportMetric(float64(server.CallCounts().Total)/float64(len(durations)), "store-calls/op")
	cancel()
	_ = group.Wait()
}

func startNodes(ctx context.Context, b *testing.B, group *errgroup.Group, store *platform.Store, names []string) []*node {
	listeners := make([]net.Listener, len(names))
	seeds := make([]string, len(names))
	for i := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[i], seeds[i] = l, l.Addr().String()
	}
	nodes := make([]*node, len(names))
	for i, name := range names {
		self := tier.NewVM(name, name[:1], seeds[i], tier.WithIncarnation(tier.Incarnation(time.Now().UnixMilli())))
		n := newNode(b, self, seeds, store)
		nodes[i] = n
		_, handler := peerv1connect.NewPeerServiceHandler(n)
		s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
		group.Go(func() error { _ = s.Serve(listeners[i]); return nil })
		group.Go(func() error { <-ctx.Done(); return s.Close() })
		group.Go(func() error { return n.exchanger.Run(ctx) })
		group.Go(func() error { return n.watcher.Run(ctx) })
		group.Go(func() error { return n.forwardChanges(ctx) })
	}
	return nodes
}

// awaitInForce waits until all VMs serve the queue limit and returns the milliseconds since
// start.
func awaitInForce(b *testing.B, nodes []*node, limit string, start time.Time) float64 {
	for _, n := range nodes {
		for !servesQueueLimit(n.watcher, limit) {
			if time.Since(start) > testTimeout {
				b.Fatalf("not in force on %s: %+v", n.self.Name(), n.watcher.Status())
			}
			time.Sleep(time.Millisecond)
		}
	}
	return float64(time.Since(start).Microseconds()) / 1000
}
