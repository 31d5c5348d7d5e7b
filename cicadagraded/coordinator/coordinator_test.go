package coordinator_test

import (
	"context"
	"fmt"
	"math"
	"testing"

	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
)

// fakeTier is a Directory and a Messenger for one shard set. It answers every part of a
// search with one record for each shard.
type fakeTier struct{ set *tier.ShardSet }

func (f *fakeTier) Set(string) (*tier.ShardSet, bool) { return f.set, true }

func (f *fakeTier) Versions(_, _, _ string) (tier.Epoch, []tier.Version) {
	return f.set.Epoch(), []tier.Version{7}
}

func (f *fakeTier) Reachable(string) bool { return true }

func (f *fakeTier) Owners(_, dataCentre string, _ uint64) []tier.VM {
	return []tier.VM{tier.NewVM("vm-1", dataCentre, "127.0.0.1:1")}
}

func (f *fakeTier) MarkFailed(string) {}

func (f *fakeTier) MarkAnswered(string) {}

func (f *fakeTier) Admit(string, tier.Rank) (tier.Millis, bool) { return 0, true }

func (f *fakeTier) Ask(_ context.Context, _ tier.VM, _ string, s owner.Search) (owner.PartResult, error) {
	results := make([]merger.ShardResult, 0, len(s.Shards()))
	for _, id := range s.Shards() {
		results = append(results, merger.NewShardResult(id, []tier.Record{tier.NewRecord(id, "value")}))
	}
	return owner.NewDone(results, nil, len(results), 0), nil
}

func (f *fakeTier) Book(context.Context, tier.VM, coordinator.ForwardedBooking) (tier.Outcome, error) {
	return nil, nil
}

func newFakeTier(tb testing.TB, shardCount int) *fakeTier {
	tb.Helper()
	var shards []tier.Shard
	width := math.MaxUint64/uint64(shardCount) + 1
	for i := range shardCount {
		to := uint64(i+1)*width - 1
		if i == shardCount-1 {
			to = math.MaxUint64
		}
		shards = append(shards, tier.NewShard(fmt.Sprintf("s%03d", i), uint64(i)*width, to, "a"))
	}
	set, err := tier.NewShardSet("set",
		tier.WithServers(tier.NewBackend("a", "127.0.0.1:1", "here")),
		tier.WithShards(shards...))
	if err != nil {
		tb.Fatal(err)
	}
	return &fakeTier{set: set}
}

// BenchmarkSearch measures what a search costs on the entry VM, without the requests to
// the owners.
func BenchmarkSearch(b *testing.B) {
	for _, shards := range []int{10, 30, 110, 330} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			f := newFakeTier(b, shards)
			clock := tier.NewClock()
			c := coordinator.New("here", clock, f, f, nil)
			p, err := tier.NewProfile("gate", tier.WithRank(tier.Urgent))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				a := c.Search(context.Background(), coordinator.NewSearch("r", p, "set", "term", clock.Now()+tier.Second))
				if o, ok := a.Outcome().(*tier.Answered); !ok || len(o.Records()) != shards {
					b.Fatalf("outcome %v", a.Outcome())
				}
			}
		})
	}
}
