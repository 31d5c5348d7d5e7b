// Package coordinator is the front of a VM: it plans each caller's request, has the
// owners of the shard set run it and puts the answer together.
package coordinator

import "cicadagrade.example/tier"

// Search is a caller's search.
type Search struct {
	id       string
	profile  *tier.Profile
	set      string
	term     string
	deadline tier.Millis
}

// NewSearch returns a search under a profile, with an absolute deadline.
func NewSearch(id string, profile *tier.Profile, set, term string, deadline tier.Millis) Search {
	return Search{id: id, profile: profile, set: set, term: term, deadline: deadline}
}

// SearchResult is the end of a search.
type SearchResult struct {
	outcome    tier.Outcome
	leafCalls  int
	extraCalls int
}

// Outcome says how it ended.
func (a SearchResult) Outcome() tier.Outcome { return a.outcome }

// LeafCalls is how many calls to backend servers it took.
func (a SearchResult) LeafCalls() int { return a.leafCalls }

// ExtraCalls is how many of them were hedges and retries.
func (a SearchResult) ExtraCalls() int { return a.extraCalls }

// Booking is a caller's request that may not be repeated.
type Booking struct {
	id             string
	profile        *tier.Profile
	set            string
	recordKey      string
	body           string
	idempotencyKey string
	first          bool
	deadline       tier.Millis
}

// BookingOption sets one field of a booking.
type BookingOption func(*Booking)

// WithIdempotencyKey sets the caller's key. First says that the caller
// vouches never to have sent it before. Without a key the VM mints one.
func WithIdempotencyKey(key string, first bool) BookingOption {
	return func(b *Booking) { b.idempotencyKey, b.first = key, first }
}

// NewBooking returns a booking, with an absolute deadline.
func NewBooking(id string, profile *tier.Profile, set, recordKey, body string, deadline tier.Millis, opts ...BookingOption) Booking {
	b := Booking{id: id, profile: profile, set: set, recordKey: recordKey, body: body, deadline: deadline}
	for _, o := range opts {
		o(&b)
	}
	return b
}

// ID is the caller's request id.
func (b Booking) ID() string { return b.id }

// Profile is the caller's profile.
func (b Booking) Profile() *tier.Profile { return b.profile }

// Set is the name of the shard set.
func (b Booking) Set() string { return b.set }

// RecordKey is the record that the booking is about.
func (b Booking) RecordKey() string { return b.recordKey }

// Body is what is booked.
func (b Booking) Body() string { return b.body }

// IdempotencyKey is the key that it may run under once.
func (b Booking) IdempotencyKey() string { return b.idempotencyKey }

// FirstSending reports whether the caller vouches never to have sent the key before.
func (b Booking) FirstSending() bool { return b.first }

// Deadline is absolute.
func (b Booking) Deadline() tier.Millis { return b.deadline }

// BookingResult is the end of a booking: the outcome is *tier.Booked,
// *tier.Refused or *tier.Unknown.
type BookingResult struct {
	outcome        tier.Outcome
	idempotencyKey string
	ran            bool
	epoch          tier.Epoch
	shard          string
}

// NewBookingResult returns the end of a booking under a key.
func NewBookingResult(o tier.Outcome, idempotencyKey string) BookingResult {
	return BookingResult{outcome: o, idempotencyKey: idempotencyKey}
}

// Outcome says how it ended.
func (r BookingResult) Outcome() tier.Outcome { return r.outcome }

// IdempotencyKey is the key it ran under.
func (r BookingResult) IdempotencyKey() string { return r.idempotencyKey }

// ExecutedOn is the shard map and the shard of a booking that ran for this
// request.
func (r BookingResult) ExecutedOn() (e tier.Epoch, shard string, ok bool) {
	return r.epoch, r.shard, r.ran
}

// at notes where a booking ran.
func (r BookingResult) at(set *tier.ShardSet, shard tier.Shard) BookingResult {
	b, ok := r.outcome.(*tier.Booked)
	r.ran = ok && !b.Repeated()
	r.epoch = set.Epoch()
	r.shard = shard.ID()
	return r
}

// KeyReusedError says that an idempotency key was already used for another
// request. Nothing was run.
type KeyReusedError struct{ key string }

// NewKeyReusedError returns an error for a key that belongs to another request.
func NewKeyReusedError(key string) *KeyReusedError { return &KeyReusedError{key: key} }

// Key is the idempotency key.
func (e *KeyReusedError) Key() string { return e.key }

// Error names the key.
func (e *KeyReusedError) Error() string {
	return "idempotency key " + e.key + " belongs to another request"
}
