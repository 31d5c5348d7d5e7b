// Package ranker merges records into the top k. Records have a fixed size and are
// compared byte by byte; duplicates are kept.
package ranker

import (
	"encoding/binary"
	"sort"
)

// RecordBytes is the size of a record in bytes.
const RecordBytes = 16

// record is a record as two big-endian numbers, which compare like its bytes.
type record struct{ high, low uint64 }

func less(a, b record) bool {
	return a.high < b.high || a.high == b.high && a.low < b.low
}

// Ranker keeps the greatest records in a min-heap, up to a limit.
type Ranker struct {
	limit int
	heap  []record
}

// New returns a ranker that keeps up to limit records.
func New(limit int) *Ranker { return &Ranker{limit: limit} }

// Add adds the records of one leaf's reply, in any order. It ignores a trailing
// incomplete record.
func (r *Ranker) Add(records []byte) {
	for ; len(records) >= RecordBytes; records = records[RecordBytes:] {
		rec := record{binary.BigEndian.Uint64(records), binary.BigEndian.Uint64(records[8:])}
		switch {
		case len(r.heap) < r.limit:
			r.heap = append(r.heap, rec)
			r.siftUp(len(r.heap) - 1)
		case r.limit > 0 && less(r.heap[0], rec):
			r.heap[0] = rec
			r.siftDown(0)
		}
	}
}

// Bytes returns the records, greatest first.
func (r *Ranker) Bytes() []byte {
	sort.Slice(r.heap, func(i, j int) bool { return less(r.heap[j], r.heap[i]) })
	b := make([]byte, 0, len(r.heap)*RecordBytes)
	for _, rec := range r.heap {
		b = binary.BigEndian.AppendUint64(b, rec.high)
		b = binary.BigEndian.AppendUint64(b, rec.low)
	}
	// Ascending order restores the min-heap.
	for i, j := 0, len(r.heap)-1; i < j; i, j = i+1, j-1 {
		r.heap[i], r.heap[j] = r.heap[j], r.heap[i]
	}
	return b
}

func (r *Ranker) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !less(r.heap[i], r.heap[parent]) {
			return
		}
		r.heap[i], r.heap[parent] = r.heap[parent], r.heap[i]
		i = parent
	}
}

func (r *Ranker) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(r.heap) {
			return
		}
		if child+1 < len(r.heap) && less(r.heap[child+1], r.heap[child]) {
			child++
		}
		if !less(r.heap[child], r.heap[i]) {
			return
		}
		r.heap[i], r.heap[child] = r.heap[child], r.heap[i]
		i = child
	}
}
