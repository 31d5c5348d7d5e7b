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

// home answers every part with one record for each shard.
type home struct{ set *tier.ShardSet }

func (h *home) Set(string) (*tier.ShardSet, bool) { return h.set, true }

func (h *home) Versions(_, _, _ string) (tier.Epoch, []tier.Version) {
	return h.set.Epoch(), []tier.Version{7}
}

func (h *home) Reachable(string) bool { return true }

func (h *home) Owners(_, dataCentre string, _ uint64) []tier.VM {
	return []tier.VM{tier.NewVM("vm-1", dataCentre, "127.0.0.1:1")}
}

func (h *home) MarkFailed(string) {}

func (h *home) MarkAnswered(string) {}

func (h *home) Admit(string, tier.Rank) (tier.Millis, bool) { return 0, true }

func (h *home) Ask(_ context.Context, _ tier.VM, _ string, s owner.Search) (owner.PartResult, error) {
	results := make([]merger.ShardResult, 0, len(s.Shards()))
	for _, id := range s.Shards() {
		results = append(results, merger.NewShardResult(id, []tier.Record{tier.NewRecord(id, "value")}))
	}
	return owner.NewDone(results, nil, len(results), 0), nil
}

func (h *home) Book(context.Context, tier.VM, coordinator.ForwardedBooking) (tier.Outcome, error) {
	return nil, nil
}

func newHome(b testing.TB, shards int) *home {
	b.Helper()
	var list []tier.Shard
	width := math.MaxUint64/uint64(shards) + 1
	for i := range shards {
		to := uint64(i+1)*width - 1
		if i == shards-1 {
			to = math.MaxUint64
		}
		list = append(list, tier.NewShard(fmt.Sprintf("s%03d", i), uint64(i)*width, to, "a"))
	}
	set, err := tier.NewShardSet("set",
		tier.WithServers(tier.NewBackend("a", "127.0.0.1:1", "here")),
		tier.WithShards(list...))
	if err != nil {
		b.Fatal(err)
	}
	return &home{set: set}
}

// BenchmarkSearch is the cost of a search at the front, without the way to
// the owner.
func BenchmarkSearch(b *testing.B) {
	for _, shards := range []int{10, 30, 110, 330} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			h := newHome(b, shards)
			clock := tier.NewClock()
			f := coordinator.New("here", clock, h, h, nil)
			p, err := tier.NewProfile("gate", tier.WithRank(tier.Urgent))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				a := f.Search(context.Background(), coordinator.NewSearch("r", p, "set", "term", clock.Now()+tier.Second))
				if o, ok := a.Outcome().(*tier.Answered); !ok || len(o.Records()) != shards {
					b.Fatalf("outcome %v", a.Outcome())
				}
			}
		})
	}
}
