package handler

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"cicadagrade.example/tier"
)

// BenchmarkSearchResponse measures encoding the response to a search over 110 shards,
// by the number of records of 100 bytes.
func BenchmarkSearchResponse(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			var records []tier.Record
			for i := range n {
				records = append(records, tier.NewRecord(fmt.Sprintf("crate-%07d", i), strings.Repeat("v", 100)))
			}
			var shards []string
			for i := range 110 {
				shards = append(shards, fmt.Sprintf("portao-%03d", i))
			}
			o := tier.NewAnswered(tier.NewSnapshot(1, 1), tier.NewCoverage(shards, nil), records)
			b.ReportAllocs()
			for b.Loop() {
				var w searchResponse
				w.fillResult(o)
				if _, err := json.Marshal(w); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
