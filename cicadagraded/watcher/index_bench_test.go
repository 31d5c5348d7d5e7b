package watcher

import (
	"fmt"
	"testing"

	"cicadagrade.example/tier/replicator"
)

// BenchmarkIndexBytes measures how many bytes a watcher publishes after one document has
// changed, and the size of its whole index.
func BenchmarkIndexBytes(b *testing.B) {
	for _, sets := range []int{4, 24, 120, 360} {
		b.Run(fmt.Sprintf("sets=%d", sets), func(b *testing.B) {
			var refs []replicator.Ref
			for i := range sets {
				refs = append(refs, replicator.NewRef(fmt.Sprintf("cicadagrade/config/sets/portao-%03d", i), 1, uint64(1000+i), "0123456789abcdef"))
			}
			change, whole := 0, 0
			for b.Loop() {
				change, whole = 0, 0
				for i := 0; i < len(refs); i += maxRefsPerEntry {
					value, err := encodeIndex(refs[i:min(i+maxRefsPerEntry, len(refs))])
					if err != nil {
						b.Fatal(err)
					}
					change = max(change, len(value))
					whole += len(value)
				}
			}
			b.ReportMetric(float64(change), "change-bytes")
			b.ReportMetric(float64(whole), "index-bytes")
		})
	}
}
