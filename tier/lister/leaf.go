package lister

import "cicadagrade.example/tier"

// Leaf is what a backend server says of itself in the store.
type Leaf struct {
	id         string
	service    string
	address    string
	dataCentre string
	slots      int
	leaving    bool
	cold       tier.Millis
	born       int64
}

// Option sets a part of a leaf.
type Option func(*Leaf)

// NewLeaf returns a leaf of a service under the id it has registered with.
func NewLeaf(id, service, address string, options ...Option) Leaf {
	l := Leaf{id: id, service: service, address: address, slots: 1}
	for _, o := range options {
		o(&l)
	}
	return l
}

// InDataCentre sets the data centre.
func InDataCentre(dataCentre string) Option { return func(l *Leaf) { l.dataCentre = dataCentre } }

// WithSlots sets how many requests it works on at once.
func WithSlots(n int) Option { return func(l *Leaf) { l.slots = max(n, 1) } }

// Leaving says that it has announced its planned end.
func Leaving() Option { return func(l *Leaf) { l.leaving = true } }

// WithColdRemaining says how much longer it works slowly after its start.
func WithColdRemaining(m tier.Millis) Option { return func(l *Leaf) { l.cold = m } }

// StartedAt sets the Unix time of its start in milliseconds. The same id with
// another start is another life of the server.
func StartedAt(m int64) Option { return func(l *Leaf) { l.born = m } }

// ID is the name under which it registered.
func (l Leaf) ID() string { return l.id }

// Service is the service it belongs to.
func (l Leaf) Service() string { return l.service }

// Address is host and port.
func (l Leaf) Address() string { return l.address }

// DataCentre is where it lies.
func (l Leaf) DataCentre() string { return l.dataCentre }

// Slots is how many requests it works on at once.
func (l Leaf) Slots() int { return l.slots }

// IsLeaving reports whether it has announced its planned end.
func (l Leaf) IsLeaving() bool { return l.leaving }

// ColdRemaining is how much longer it works slowly, counted from when it said so.
func (l Leaf) ColdRemaining() tier.Millis { return l.cold }

// StartTime tells two lives under one id apart.
func (l Leaf) StartTime() int64 { return l.born }

// sameBut reports whether two registrations differ in nothing but how long the
// leaf is still cold, which passes by itself.
func (l Leaf) sameBut(o Leaf) bool {
	o.cold = l.cold
	return l == o
}
