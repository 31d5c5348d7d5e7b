package dispatcher

import (
	"fmt"
	"testing"

	"cicadagrade.example/tier"
)

// BenchmarkQuery runs whole queries over every shard, from Submit to PartDone,

func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{20, 1000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			set := testSet(2*shards, shards, 2)
			var ids []string
			for _, m := range set.Shards() {
				ids = append(ids, m.ID())
			}
			d := New(set, "here", WithTakeover(0))
			now, part := tier.Millis(0), uint64(0)
			var running []uint64
			take := func(actions []Action) {
				for _, a := range actions {
					if c, ok := a.(*Call); ok {
						running = append(running, c.attempt)
					}
				}
			}
			submit := func() {
				part++
				take(d.Step(now, NewSubmit(part, testProfiles[1], now+tier.Hour, ids)))
			}
			b.ReportAllocs()
			for b.Loop() {
				for len(d.parts) < 8 {
					submit()
				}
				now += 10
				batch := running
				running = nil
				for _, a := range batch {
					take(d.Step(now, NewReplied(a, &ReplyOK{})))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(d.attempts), "ns/leaf-call")
		})
	}
}
