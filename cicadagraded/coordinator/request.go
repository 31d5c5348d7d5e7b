// Package coordinator coordinates callers' requests on their entry VM: it plans each
// search, has the owners of the shard set run its parts and merges the results, and it
// forwards each booking to the owner of its shard.
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

// NewSearch returns a search under a profile. The deadline is a time of the VM's clock.
func NewSearch(id string, profile *tier.Profile, set, term string, deadline tier.Millis) Search {
	return Search{id: id, profile: profile, set: set, term: term, deadline: deadline}
}

// SearchResult is the result of a search.
type SearchResult struct {
	outcome    tier.Outcome
	leafCalls  int
	extraCalls int
}

// Outcome is the outcome of the search.
func (r SearchResult) Outcome() tier.Outcome { return r.outcome }

// LeafCalls is the number of calls to backend servers that were made.
func (r SearchResult) LeafCalls() int { return r.leafCalls }

// ExtraCalls is the number of these calls that were hedges or retries.
func (r SearchResult) ExtraCalls() int { return r.extraCalls }

// Booking is a caller's non-idempotent request: it must run at most once.
type Booking struct {
	id             string
	profile        *tier.Profile
	set            string
	recordKey      string
	body           string
	idempotencyKey string
	firstSending   bool
	deadline       tier.Millis
}

// BookingOption sets one field of a booking.
type BookingOption func(*Booking)

// WithIdempotencyKey sets the caller's idempotency key. FirstSending says that the caller
// guarantees never to have sent the key before. Without a key the VM mints one.
func WithIdempotencyKey(key string, firstSending bool) BookingOption {
	return func(b *Booking) { b.idempotencyKey, b.firstSending = key, firstSending }
}

// NewBooking returns a booking under a profile. The deadline is a time of the VM's clock.
func NewBooking(id string, profile *tier.Profile, set, recordKey, body string, deadline tier.Millis, opts ...BookingOption) Booking {
	b := Booking{id: id, profile: profile, set: set, recordKey: recordKey, body: body, deadline: deadline}
	for _, o := range opts {
		o(&b)
	}
	return b
}

// ID is the request id that the caller gave.
func (b Booking) ID() string { return b.id }

// Profile is the caller's profile.
func (b Booking) Profile() *tier.Profile { return b.profile }

// Set is the name of the shard set.
func (b Booking) Set() string { return b.set }

// RecordKey is the key of the record to book; it determines the shard.
func (b Booking) RecordKey() string { return b.recordKey }

// Body is the content of the booking.
func (b Booking) Body() string { return b.body }

// IdempotencyKey is the idempotency key, under which the booking runs at most once.
func (b Booking) IdempotencyKey() string { return b.idempotencyKey }

// FirstSending reports whether the caller guarantees never to have sent the key before.
func (b Booking) FirstSending() bool { return b.firstSending }

// Deadline is the time on the VM's clock by which the booking has to end.
func (b Booking) Deadline() tier.Millis { return b.deadline }

// BookingResult is the result of a booking. Its outcome is *tier.Booked, *tier.Refused or
// *tier.Unknown.
type BookingResult struct {
	outcome        tier.Outcome
	idempotencyKey string
	executed       bool
	epoch          tier.Epoch
	shard          string
}

// NewBookingResult returns the result of a booking with an idempotency key.
func NewBookingResult(o tier.Outcome, idempotencyKey string) BookingResult {
	return BookingResult{outcome: o, idempotencyKey: idempotencyKey}
}

// Outcome is the outcome of the booking.
func (r BookingResult) Outcome() tier.Outcome { return r.outcome }

// IdempotencyKey is the caller's idempotency key or the one that was minted.
func (r BookingResult) IdempotencyKey() string { return r.idempotencyKey }

// ExecutedOn returns the epoch of the shard map and the id of the shard on which the
// booking ran. Ok is false if it did not run, or ran for an earlier request with the same
// key.
func (r BookingResult) ExecutedOn() (e tier.Epoch, shard string, ok bool) {
	return r.epoch, r.shard, r.executed
}

// withLocation adds the shard map and the shard of the booking.
func (r BookingResult) withLocation(set *tier.ShardSet, shard tier.Shard) BookingResult {
	b, ok := r.outcome.(*tier.Booked)
	r.executed = ok && !b.Repeated()
	r.epoch = set.Epoch()
	r.shard = shard.ID()
	return r
}

// KeyReusedError reports that an idempotency key was used before for another request.
// Nothing was run.
type KeyReusedError struct{ key string }

// NewKeyReusedError returns the error for a key that belongs to another request.
func NewKeyReusedError(key string) *KeyReusedError { return &KeyReusedError{key: key} }

// Key is the idempotency key.
func (e *KeyReusedError) Key() string { return e.key }

// Error gives the key.
func (e *KeyReusedError) Error() string {
	return "idempotency key " + e.key + " belongs to another request"
}
