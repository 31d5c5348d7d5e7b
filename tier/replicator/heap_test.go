package replicator_test

import (
	"fmt"
	"runtime"
	"testing"

	"cicadagrade.example/tier/replicator"
)

// BenchmarkSetMemory measures the heap that a served shard set takes by its number of
// servers, and the size of the stored document.
func BenchmarkSetMemory(b *testing.B) {
	for _, servers := range []int{20, 220, 880, 2600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			var states []*replicator.State
			before := heapBytes()
			for b.Loop() {
				s, _ := replicator.NextState(nil, bigSet(b, servers, 2), replicator.NewAuthor("ana", "9f2d6c1b7a3e4f50", "new set", 0))
				read, err := replicator.Decode(s.Ref().Key(), s.Encode())
				if err != nil {
					b.Fatal(err)
				}
				states = append(states, read)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(len(states)), "heap-bytes/set")
			b.ReportMetric(float64(len(states[0].Encode())), "document-bytes")
			runtime.KeepAlive(states)
		})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
