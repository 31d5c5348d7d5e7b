package coordinator

import (
	"context"
	"sync/atomic"

	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/planner"
)

// Directory is what the front reads of members, owners and servers.
type Directory interface {
	planner.View
	// Owners lists the VMs that may run a set's parts in a data centre, the
	// preferred one first. Turn spreads requests over several owners.
	Owners(set, dataCentre string, turn uint64) []tier.VM
	// MarkFailed notes that a VM did not answer a request, Answered that it did.
	MarkFailed(vm string)
	MarkAnswered(vm string)
	// Admit reports whether owners' published thresholds let a request of
	// this rank in; otherwise when to come back.
	Admit(set string, rank tier.Rank) (retryAfter tier.Millis, ok bool)
}

// Messenger carries parts to owners on other VMs and on this one. Its errors
// are *NotSentError when the part never reached the VM, or any other when it
// may have.
type Messenger interface {
	Ask(ctx context.Context, vm tier.VM, set string, s owner.Search) (owner.PartResult, error)
	Book(ctx context.Context, vm tier.VM, b ForwardedBooking) (tier.Outcome, error)
}

// Claimer lets bookings run at most once.
type Claimer interface {
	// Mint returns a key that only this life of this VM runs, or an empty one
	// when the VM stops.
	Mint(ctx context.Context) string
	// Book calls send at most once for the booking's key. Its errors are
	// *KeyReusedError and *tier.InvalidError.
	Book(ctx context.Context, b Booking, send func(context.Context) tier.Outcome) (tier.Outcome, error)
}

// ForwardedBooking is a booking on its way to the owner of its shard.
type ForwardedBooking struct {
	Booking
	shard  string
	minted bool
}

// NewForwardedBooking returns a booking for the owner of a shard; minted says that
// the front minted its key.
func NewForwardedBooking(b Booking, shard string, minted bool) ForwardedBooking {
	return ForwardedBooking{Booking: b, shard: shard, minted: minted}
}

// Shard is the id of the shard that the booking runs on.
func (f ForwardedBooking) Shard() string { return f.shard }

// Minted reports whether the front minted the idempotency key.
func (f ForwardedBooking) Minted() bool { return f.minted }

// NotSentError says that a part never reached the VM it was meant for.
type NotSentError struct{ cause error }

// NewNotSentError returns an error for a part that was not sent.
func NewNotSentError(cause error) *NotSentError { return &NotSentError{cause: cause} }

// Unwrap is the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// Error names the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.cause.Error() }

// Coordinator asks the owners on behalf of callers.
type Coordinator struct {
	dataCentre string
	clock      *tier.Clock
	directory  Directory
	messenger  Messenger
	claims     Claimer
	budgets    budgets
	turn       atomic.Uint64
}

// New returns the front of a VM in a data centre.
func New(dataCentre string, clock *tier.Clock, d Directory, m Messenger, c Claimer) *Coordinator {
	return &Coordinator{dataCentre: dataCentre, clock: clock, directory: d, messenger: m, claims: c}
}

// The retry-after of requests that found nobody to run them.
const noOwnerRetryAfter = 1 * tier.Second

func refused(r tier.RefuseReason, retryAfter tier.Millis) SearchResult {
	return SearchResult{outcome: tier.NewRefused(r, retryAfter)}
}
