package dispatcher

import (
	"fmt"
	"testing"

	"cicadagrade.example/tier"
)

// BenchmarkQuery runs whole queries over every shard, from Submit to PartDone.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{20, 110, 330, 1000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			set := testSet(2*shards, shards, 2)
			var ids []string
			for _, m := range set.Shards() {
				ids = append(ids, m.ID())
			}
			d := New(set, "here", WithTakeoverDelay(0))
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
					take(d.Step(now, NewCallEnded(a, &ReplyOK{})))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(d.attempts), "ns/leaf-call")
		})
	}
}

// BenchmarkQueue is the same over 20 shards, with parts waiting in the queue.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			set := testSet(40, 20, 2)
			p := testProfile("bulk", tier.Daily, tier.WithQueueLimit(tier.MaxQueueLimit))
			q := &queueBench{d: New(set, "here", WithTakeoverDelay(0)), profile: p}
			for _, m := range set.Shards() {
				q.ids = append(q.ids, m.ID())
			}
			b.ReportAllocs()
			for b.Loop() {
				q.round(waiting)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(q.d.attempts), "ns/leaf-call")
		})
	}
}

// queueBench keeps a dispatcher's queue at a length.
type queueBench struct {
	d       *Dispatcher
	profile *tier.Profile
	ids     []string
	now     tier.Millis
	part    uint64
	running []uint64
}

func (q *queueBench) round(waiting int) {
	for len(q.d.parts) < waiting {
		q.part++
		q.take(NewSubmit(q.part, q.profile, q.now+tier.Hour, q.ids))
	}
	q.now += 10
	batch := q.running
	q.running = nil
	for _, a := range batch {
		q.take(NewCallEnded(a, &ReplyOK{}))
	}
}

func (q *queueBench) take(e Event) {
	for _, a := range q.d.Step(q.now, e) {
		if c, ok := a.(*Call); ok {
			q.running = append(q.running, c.attempt)
		}
	}
}
