// Package ranker keeps the greatest records of many parts. Records have a
// fixed size and compare byte by byte; equal ones all count.
package ranker

import (
	"encoding/binary"
	"sort"
)

// RecordBytes is the size of a record.
const RecordBytes = 16

type record struct{ high, low uint64 }

func less(a, b record) bool {
	return a.high < b.high || a.high == b.high && a.low < b.low
}

// Ranker keeps the top greatest records seen, as a heap with the least of
// them first.
type Ranker struct {
	top  int
	heap []record
}

// New returns a ranker of at most top records.
func New(top int) *Ranker { return &Ranker{top: top} }

// Add takes the records of one part, in any order. A remainder shorter than a
// record is none.
func (r *Ranker) Add(part []byte) {
	for ; len(part) >= RecordBytes; part = part[RecordBytes:] {
		v := record{binary.BigEndian.Uint64(part), binary.BigEndian.Uint64(part[8:])}
		switch {
		case len(r.heap) < r.top:
			r.heap = append(r.heap, v)
			r.up(len(r.heap) - 1)
		case r.top > 0 && less(r.heap[0], v):
			r.heap[0] = v
			r.down(0)
		}
	}
}

// Bytes returns the records, greatest first.
func (r *Ranker) Bytes() []byte {
	sort.Slice(r.heap, func(i, j int) bool { return less(r.heap[j], r.heap[i]) })
	b := make([]byte, 0, len(r.heap)*RecordBytes)
	for _, v := range r.heap {
		b = binary.BigEndian.AppendUint64(b, v.high)
		b = binary.BigEndian.AppendUint64(b, v.low)
	}
	// Falling order is no heap with the least first.
	for i, j := 0, len(r.heap)-1; i < j; i, j = i+1, j-1 {
		r.heap[i], r.heap[j] = r.heap[j], r.heap[i]
	}
	return b
}

func (r *Ranker) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !less(r.heap[i], r.heap[p]) {
			return
		}
		r.heap[i], r.heap[p] = r.heap[p], r.heap[i]
		i = p
	}
}

func (r *Ranker) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(r.heap) {
			return
		}
		if c+1 < len(r.heap) && less(r.heap[c+1], r.heap[c]) {
			c++
		}
		if !less(r.heap[c], r.heap[i]) {
			return
		}
		r.heap[i], r.heap[c] = r.heap[c], r.heap[i]
		i = c
	}
}
