package replicator_test

import (
	"fmt"
	"runtime"
	"testing"

	"cicadagrade.example/tier/replicator"
)

// BenchmarkSetMemory is the heap that a set in force takes, by its servers,
// and the bytes of its document in the store.
func BenchmarkSetMemory(b *testing.B) {
	for _, servers := range []int{20, 220, 880, 2600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			var states []*replicator.State
			before := heap()
			for b.Loop() {
				s, _ := replicator.NextState(nil, bigSet(b, servers, 2), replicator.NewAuthor("ana", "9f2d6c1b7a3e4f50", "new set", 0))
				read, err := replicator.Decode(s.Ref().Key(), s.Encode())
				if err != nil {
					b.Fatal(err)
				}
				states = append(states, read)
			}
			b.ReportMetric(float64(heap()-before)/float64(len(states)), "heap-bytes/set")
			b.ReportMetric(float64(len(states[0].Encode())), "document-bytes")
			runtime.KeepAlive(states)
		})
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
