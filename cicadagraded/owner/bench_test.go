package owner

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	backendv1 "cicadagrade.example/api/backend/v1"
	"cicadagrade.example/cicadagraded/backendclient"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/prober"
)

var benchShardCounts = []int{5, 10, 20, maxTestShards}

// BenchmarkOwner measures a part of a search that an owner runs. BenchmarkDirectCalls
// makes the same calls without an owner. Both figures include the processor time of the
// backend servers, which run in this process.
func BenchmarkOwner(b *testing.B) {
	for _, shards := range benchShardCounts {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			set := newLeafSet(b, &leafServer{}, shards, 2)
			o, clock := startOwner(b, set)
			ids := shardIDs(set)
			p := newProfile(b)
			measurePerCall(b, shards, func() {
				e := o.Search(context.Background(), NewSearch(p, tier.NewSnapshot(1, 1), ids, "term", clock.Now()+tier.Second))
				if d, ok := e.(*Done); !ok || len(d.Results()) != shards {
					b.Fatalf("result %T", e)
				}
			})
		})
	}
}

func BenchmarkDirectCalls(b *testing.B) {
	for _, shards := range benchShardCounts {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			set := newLeafSet(b, &leafServer{}, shards, 2)
			var clients []*backendclient.Client
			for _, s := range set.Servers() {
				clients = append(clients, backendclient.New(s, s.Slots()))
			}
			measurePerCall(b, shards, func() { searchDirectly(b, clients) })
		})
	}
}

// searchDirectly makes one search call with each client, all at once.
func searchDirectly(b *testing.B, clients []*backendclient.Client) {
	g, ctx := errgroup.WithContext(context.Background())
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for i, c := range clients {
		g.Go(func() error {
			_, err := c.Search(ctx, &backendv1.SearchRequest{Attempt: "a", Set: "set", Shard: shardName(i), Snapshot: &backendv1.Snapshot{Epoch: 1, Version: 1}, Term: "term"})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
}

// measurePerCall reports the processor time of query for each leaf call, of which it
// makes one a shard.
func measurePerCall(b *testing.B, shards int, query func()) {
	b.ReportAllocs()
	start, n := processorTime(), 0
	for b.Loop() {
		query()
		n++
	}
	b.ReportMetric(float64((processorTime()-start).Microseconds())/float64(n*shards), "cpu-us/leaf-call")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// idleOwner returns an owner whose event loop does not run. It knows that the one backend
// server of each shard is live and holds version 1.
func idleOwner(b *testing.B, shards int) *Owner {
	set := newLeafSet(b, &leafServer{}, shards, 2)
	o := New(NewIdentity("vm-1", "here", 1), tier.NewClock(), set, nil, testPublisher(nil))
	for _, s := range set.Servers() {
		p, err := prober.New(s.Name())
		if err != nil {
			b.Fatal(err)
		}
		p.Step(0, prober.NewHealth(0, tier.BackendLive))
		o.probers[s.Name()] = p
	}
	for _, s := range set.Shards() {
		o.updateHolding(s.Replicas()[0], HeldVersions{shard: s.ID(), epoch: 1, versions: []tier.Version{1}})
	}
	return o
}

// BenchmarkUntilNextDue measures how long the event loop takes after each message to find
// out when it has to act next.
func BenchmarkUntilNextDue(b *testing.B) {
	for _, n := range []int{10, 100, 400, 1600} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			o := idleOwner(b, n)
			for b.Loop() {
				o.untilNextDue()
			}
		})
	}
}

// BenchmarkReport measures how long an owner takes to check whether its report has
// changed, and the size of the encoded report.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{20, 110, 330, 1000} {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			o := idleOwner(b, n)
			for b.Loop() {
				o.publishReport(o.clock.Now())
			}
			value, err := o.lastReport.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(value)), "report-bytes")
		})
	}
}
