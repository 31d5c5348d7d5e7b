package tier

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Record is one row of an answer.
type Record struct {
	key   string
	value string
}

// NewRecord returns a record. The key identifies it within a snapshot.
func NewRecord(key, value string) Record { return Record{key: key, value: value} }

// Key identifies the record within a snapshot.
func (r Record) Key() string { return r.key }

// Value is the record's content.
func (r Record) Value() string { return r.value }

// HashKey places a record key on the hash ring that shards divide.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Digest is a checksum over the keys and values of records in their order,
// each with its length in front, as 16 hexadecimal digits.
func Digest(records []Record) string {
	d := xxhash.New()
	var n [8]byte
	put := func(s string) {
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(s)
	}
	for _, r := range records {
		put(r.key)
		put(r.value)
	}
	s := strconv.FormatUint(d.Sum64(), 16)
	for len(s) < 16 {
		s = "0" + s
	}
	return s
}
