package gossiper

import (
	"math/bits"

	"cicadagrade.example/tier"
)

// Digest says up to which version a VM holds, without a gap, what another VM
// wrote in one life.
type Digest struct {
	origin      string
	incarnation tier.Incarnation
	version     uint64
}

// NewDigest returns a digest of an origin's writes.
func NewDigest(origin string, i tier.Incarnation, version uint64) Digest {
	return Digest{origin: origin, incarnation: i, version: version}
}

// Origin is the VM that wrote.
func (d Digest) Origin() string { return d.origin }

// Incarnation is the origin's life.
func (d Digest) Incarnation() tier.Incarnation { return d.incarnation }

// Version is the highest version held without a gap.
func (d Digest) Version() uint64 { return d.version }

// Entry is one value that its origin wrote. An entry without an origin is
// shared: its highest (incarnation, version) wins, whoever wrote it.
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

// Origin is the VM that wrote it, empty for a shared entry.
func (e Entry) Origin() string { return e.origin }

// Incarnation is the origin's life, or a shared entry's epoch.
func (e Entry) Incarnation() tier.Incarnation { return e.incarnation }

// Version numbers the origin's writes, or is a shared entry's revision.
func (e Entry) Version() uint64 { return e.version }

// Key names the value.
func (e Entry) Key() string { return e.key }

// Value is the value; callers must not change it.
func (e Entry) Value() []byte { return e.value }

// Message is a request or a reply of one exchange.
//
// The digests of a request, read as a circle of names from the first to the
// last, say what the sender holds; a name inside that arc that is not listed
// is unknown to the sender. The digests of a reply say up to which version
// the receiver holds the origin's writes once it has taken the entries.
type Message struct {
	sender      string
	incarnation tier.Incarnation
	digests     []Digest
	entries     []Entry
}

// NewMessage returns a message as it came from a peer.
func NewMessage(sender string, i tier.Incarnation, digests []Digest, entries []Entry) *Message {
	return &Message{sender: sender, incarnation: i, digests: digests, entries: entries}
}

// Sender is the VM that sent it.
func (m *Message) Sender() string { return m.sender }

// Incarnation is the sender's life.
func (m *Message) Incarnation() tier.Incarnation { return m.incarnation }

// Digests lists the digests.
func (m *Message) Digests() []Digest { return m.digests }

// Entries lists the entries.
func (m *Message) Entries() []Entry { return m.entries }

// Size is the length in bytes of the encoded message with the headers that
// carry it.
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

// fieldSize is the length of a protocol buffer field of n bytes.
func fieldSize(n int) int { return 1 + varintSize(uint64(n)) + n }

func varintSize(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }
