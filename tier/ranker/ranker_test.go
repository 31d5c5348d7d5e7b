package ranker

import (
	"bytes"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// TestKeepsTheTopRecords compares the result with sorting the records of all replies
// and taking the first.
func TestKeepsTheTopRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 12).Draw(t, "top")
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 70), 0, 6).Draw(t, "parts")
		r := New(limit)
		var all [][]byte
		for _, p := range parts {
			r.Add(p)
			for ; len(p) >= RecordBytes; p = p[RecordBytes:] {
				all = append(all, p[:RecordBytes])
			}
		}
		sort.Slice(all, func(i, j int) bool { return bytes.Compare(all[i], all[j]) > 0 })
		want := bytes.Join(all[:min(limit, len(all))], nil)
		if got := r.Bytes(); !bytes.Equal(got, want) {
			t.Fatalf("got %x, expected %x", got, want)
		}
		if again := r.Bytes(); !bytes.Equal(again, want) {
			t.Fatalf("second call: got %x, expected %x", again, want)
		}
	})
}
