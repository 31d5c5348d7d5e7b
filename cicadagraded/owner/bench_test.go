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

var benchShards = []int{5, 10, 20, maxLeafShards}

// BenchmarkOwner is a part through an owner; BenchmarkBare is the same fan-out
// without one, on the same servers. Both count the processor time of the
// servers too, which run in this process.
func BenchmarkOwner(b *testing.B) {
	for _, shards := range benchShards {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			set := leafSet(b, &leaf{}, shards, 2)
			o, clock := startOwner(b, set)
			ids := shardIDs(set)
			p := gate(b)
			perCall(b, shards, func() {
				e := o.Search(context.Background(), NewSearch(p, tier.NewSnapshot(1, 1), ids, "term", clock.Now()+tier.Second))
				if d, ok := e.(*Done); !ok || len(d.Results()) != shards {
					b.Fatalf("end %T", e)
				}
			})
		})
	}
}

func BenchmarkBare(b *testing.B) {
	for _, shards := range benchShards {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			set := leafSet(b, &leaf{}, shards, 2)
			var links []*backendclient.Client
			for _, s := range set.Servers() {
				links = append(links, backendclient.New(s, s.Slots()))
			}
			perCall(b, shards, func() { bare(b, links) })
		})
	}
}

func bare(b *testing.B, links []*backendclient.Client) {
	g, ctx := errgroup.WithContext(context.Background())
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	for i, l := range links {
		g.Go(func() error {
			_, err := l.Search(ctx, &backendv1.SearchRequest{Attempt: "a", Set: "set", Shard: shardName(i), Snapshot: &backendv1.Snapshot{Epoch: 1, Version: 1}, Term: "term"})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
}

// perCall reports the processor time for each leaf call.
func perCall(b *testing.B, shards int, query func()) {
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

// idleOwner is an owner whose loop does not run.
func idleOwner(b *testing.B, n int) *Owner {
	set := leafSet(b, &leaf{}, n, 2)
	o := New(NewIdentity("vm-1", "here", 1), tier.NewClock(), set, nil, testPublisher(nil))
	for _, s := range set.Servers() {
		p, err := prober.New(s.Name())
		if err != nil {
			b.Fatal(err)
		}
		p.Step(0, prober.NewHealth(0, tier.BackendLive))
		o.probers[s.Name()] = p
	}
	for _, h := range set.Shards() {
		o.noteHolding(h.Replicas()[0], HeldVersions{shard: h.ID(), epoch: 1, versions: []tier.Version{1}})
	}
	return o
}

// BenchmarkWait is what the loop spends after each event to find what is due
// next.
func BenchmarkWait(b *testing.B) {
	for _, n := range []int{10, 100, 400, 1600} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			o := idleOwner(b, n)
			for b.Loop() {
				o.wait()
			}
		})
	}
}

// BenchmarkReport is what an owner spends on each look at what it publishes,
// and the size of the report.
func BenchmarkReport(b *testing.B) {
	for _, n := range []int{20, 110, 330, 1000} {
		b.Run(fmt.Sprintf("shards=%d", n), func(b *testing.B) {
			o := idleOwner(b, n)
			for b.Loop() {
				o.report(o.clock.Now())
			}
			value, err := o.published.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(value)), "report-bytes")
		})
	}
}
