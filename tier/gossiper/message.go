package gossiper

import (
	"math/bits"

	"cicadagrade.example/tier"
)

// Digest says up to which version a VM holds all writes of another VM's incarnation.
type Digest struct {
	origin      string
	incarnation tier.Incarnation
	version     uint64
}

// NewDigest returns a digest of an origin's writes.
func NewDigest(origin string, i tier.Incarnation, version uint64) Digest {
	return Digest{origin: origin, incarnation: i, version: version}
}

// Origin is the name of the VM that wrote.
func (d Digest) Origin() string { return d.origin }

// Incarnation is the origin's incarnation.
func (d Digest) Incarnation() tier.Incarnation { return d.incarnation }

// Version is the highest version up to which no write is missing.
func (d Digest) Version() uint64 { return d.version }

// Entry is one value that its origin wrote. An entry without an origin is shared: the
// one with the highest (incarnation, version) wins, whichever VM wrote it.
type Entry struct {
	origin      string
	incarnation tier.Incarnation
	version     uint64
	key         string
	value       []byte
}

// NewEntry returns an entry of an origin.
func NewEntry(origin string, i tier.Incarnation, version uint64, key string, value []byte) Entry {
	return Entry{origin: origin, incarnation: i, version: version, key: key, value: value}
}

// Origin is the VM that wrote the entry; it is empty for a shared entry.
func (e Entry) Origin() string { return e.origin }

// Incarnation is the origin's incarnation, or a shared entry's epoch.
func (e Entry) Incarnation() tier.Incarnation { return e.incarnation }

// Version is the number of the origin's write, or a shared entry's revision.
func (e Entry) Version() uint64 { return e.version }

// Key is the key of the value.
func (e Entry) Key() string { return e.key }

// Value returns the value; callers must not change it.
func (e Entry) Value() []byte { return e.value }

// Message is a request or a reply of one exchange.
//
// The digests of a request say what its sender holds. Names form a ring, and the
// digests cover it from the first name listed to the last; a name in this range that
// is not listed is unknown to the sender. The digests of a reply say up to which
// version the receiver holds all writes of an origin once it has applied the entries.
type Message struct {
	sender      string
	incarnation tier.Incarnation
	digests     []Digest
	entries     []Entry
}

// NewMessage returns a message received from a peer.
func NewMessage(sender string, i tier.Incarnation, digests []Digest, entries []Entry) *Message {
	return &Message{sender: sender, incarnation: i, digests: digests, entries: entries}
}

// Sender is the VM that sent the message.
func (m *Message) Sender() string { return m.sender }

// Incarnation is the sender's incarnation.
func (m *Message) Incarnation() tier.Incarnation { return m.incarnation }

// Digests returns the digests.
func (m *Message) Digests() []Digest { return m.digests }

// Entries returns the entries.
func (m *Message) Entries() []Entry { return m.entries }

// Size returns the length in bytes of the encoded message and the headers that carry
// it.
func (m *Message) Size() int {
	n := messageOverhead + fieldSize(len(m.sender)) + 1 + varintSize(uint64(m.incarnation))
	for _, d := range m.digests {
		n += d.size()
	}
	for _, e := range m.entries {
		n += e.size()
	}
	return n
}

func (d Digest) size() int {
	return fieldSize(fieldSize(len(d.origin)) + 2 + varintSize(uint64(d.incarnation)) + varintSize(d.version))
}

func (e Entry) size() int {
	numbers := 2 + varintSize(uint64(e.incarnation)) + varintSize(e.version)
	return fieldSize(fieldSize(len(e.origin)) + numbers + fieldSize(len(e.key)) + fieldSize(len(e.value)))
}

// fieldSize returns the encoded length of a protocol buffer field with n bytes of
// content.
func fieldSize(n int) int { return 1 + varintSize(uint64(n)) + n }

func varintSize(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }
