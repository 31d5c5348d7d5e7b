package tier

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Record is a key with its value, one item of an answer.
type Record struct {
	key   string
	value string
}

// NewRecord returns a record.
func NewRecord(key, value string) Record { return Record{key: key, value: value} }

// Key identifies the record within a snapshot.
func (r Record) Key() string { return r.key }

// Value is the record's content.
func (r Record) Value() string { return r.value }

// HashKey hashes a record key. The shards of a set partition the range of these hashes.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Digest returns a checksum, as 16 hexadecimal digits, of the keys and values of records in
// the given order. Each string is hashed with its length in front, so that moving bytes from
// one string to the next changes the digest.
func Digest(records []Record) string {
	d := xxhash.New()
	var n [8]byte
	write := func(s string) {
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(s)
	}
	for _, r := range records {
		write(r.key)
		write(r.value)
	}
	s := strconv.FormatUint(d.Sum64(), 16)
	for len(s) < 16 {
		s = "0" + s
	}
	return s
}
