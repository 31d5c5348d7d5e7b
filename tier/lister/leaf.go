package lister

import "cicadagrade.example/tier"

// Leaf is a backend server as it has registered itself in the store.
type Leaf struct {
	id            string
	service       string
	address       string
	dataCentre    string
	slots         int
	leaving       bool
	coldRemaining tier.Millis
	startTime     int64
}

// Option sets an optional field of a leaf.
type Option func(*Leaf)

// NewLeaf returns a leaf of a service, registered under id.
func NewLeaf(id, service, address string, options ...Option) Leaf {
	l := Leaf{id: id, service: service, address: address, slots: 1}
	for _, o := range options {
		o(&l)
	}
	return l
}

// InDataCentre sets the data centre.
func InDataCentre(dataCentre string) Option { return func(l *Leaf) { l.dataCentre = dataCentre } }

// WithSlots sets how many requests it processes concurrently.
func WithSlots(n int) Option { return func(l *Leaf) { l.slots = max(n, 1) } }

// Leaving marks a leaf that has announced its shutdown.
func Leaving() Option { return func(l *Leaf) { l.leaving = true } }

// WithColdRemaining sets how much longer it is slow after its start.
func WithColdRemaining(remaining tier.Millis) Option {
	return func(l *Leaf) { l.coldRemaining = remaining }
}

// StartedAt sets the Unix time of its start in milliseconds. A registration of the
// same id with another start time is of a restarted server.
func StartedAt(unixMillis int64) Option { return func(l *Leaf) { l.startTime = unixMillis } }

// ID is the id under which it registered.
func (l Leaf) ID() string { return l.id }

// Service is the name of its service.
func (l Leaf) Service() string { return l.service }

// Address is its host and port.
func (l Leaf) Address() string { return l.address }

// DataCentre is the data centre it runs in.
func (l Leaf) DataCentre() string { return l.dataCentre }

// Slots is how many requests it processes concurrently.
func (l Leaf) Slots() int { return l.slots }

// IsLeaving reports whether it has announced its shutdown.
func (l Leaf) IsLeaving() bool { return l.leaving }

// ColdRemaining is how much longer it is slow, counted from its registration.
func (l Leaf) ColdRemaining() tier.Millis { return l.coldRemaining }

// StartTime is the Unix time of its start in milliseconds. It tells a restarted
// server from the former one with the same id.
func (l Leaf) StartTime() int64 { return l.startTime }

// equalIgnoringCold compares all fields but the remaining cold time, which runs out
// without a registration.
func (l Leaf) equalIgnoringCold(other Leaf) bool {
	other.coldRemaining = l.coldRemaining
	return l == other
}
