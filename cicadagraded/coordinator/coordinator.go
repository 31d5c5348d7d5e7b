package coordinator

import (
	"context"
	"sync/atomic"

	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/planner"
)

// Directory tells a coordinator about members, owners and backend servers.
type Directory interface {
	planner.View
	// Owners lists the VMs that may run requests to a set in a data centre, in order of
	// preference. If several VMs share the set, turn selects which of them is first.
	Owners(set, dataCentre string, turn uint64) []tier.VM
	// MarkFailed records that a VM did not answer a request.
	MarkFailed(vm string)
	// MarkAnswered records that a VM answered a request.
	MarkAnswered(vm string)
	// Admit reports whether the owners' admission thresholds admit a request of this
	// rank, and if not, after what time the caller may retry.
	Admit(set string, rank tier.Rank) (retryAfter tier.Millis, ok bool)
}

// Messenger sends requests to the owners on other VMs and on this one. Its errors are
// *NotSentError if the request did not reach the VM; after any other error it may have
// run.
type Messenger interface {
	// Ask has the owner of a set on a VM run a part of a search.
	Ask(ctx context.Context, vm tier.VM, set string, s owner.Search) (owner.PartResult, error)
	// Book has the owner on a VM run a booking. It returns a *KeyReusedError if the key
	// was used for another request.
	Book(ctx context.Context, vm tier.VM, b ForwardedBooking) (tier.Outcome, error)
}

// Claimer mints idempotency keys and runs bookings at most once per key.
type Claimer interface {
	// Mint returns a key that only this incarnation of this VM may run, or an empty one
	// if the VM is shutting down.
	Mint(ctx context.Context) string
	// Book calls send at most once per idempotency key. Its errors are *KeyReusedError
	// and *tier.InvalidError.
	Book(ctx context.Context, b Booking, send func(context.Context) tier.Outcome) (tier.Outcome, error)
}

// ForwardedBooking is a booking that is sent to the owner of its shard.
type ForwardedBooking struct {
	Booking
	shard  string
	minted bool
}

// NewForwardedBooking returns a booking for the owner of a shard. Minted says whether the
// entry VM minted its idempotency key.
func NewForwardedBooking(b Booking, shard string, minted bool) ForwardedBooking {
	return ForwardedBooking{Booking: b, shard: shard, minted: minted}
}

// Shard is the id of the shard that the booking runs on.
func (f ForwardedBooking) Shard() string { return f.shard }

// Minted reports whether the entry VM minted the idempotency key.
func (f ForwardedBooking) Minted() bool { return f.minted }

// NotSentError reports that a request did not reach the VM it was sent to.
type NotSentError struct{ cause error }

// NewNotSentError returns the error of a request that was not sent.
func NewNotSentError(cause error) *NotSentError { return &NotSentError{cause: cause} }

// Unwrap is the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// Error gives the cause.
func (e *NotSentError) Error() string { return "not sent: " + e.cause.Error() }

// Coordinator runs callers' searches and bookings on the owners of the shard sets. It is
// safe for concurrent use.
type Coordinator struct {
	dataCentre   string
	clock        *tier.Clock
	directory    Directory
	messenger    Messenger
	claimer      Claimer
	rerunBudgets rerunBudgets
	turn         atomic.Uint64 // a request counter, for Directory.Owners
}

// New returns the coordinator of a VM in a data centre.
func New(dataCentre string, clock *tier.Clock, d Directory, m Messenger, c Claimer) *Coordinator {
	return &Coordinator{dataCentre: dataCentre, clock: clock, directory: d, messenger: m, claimer: c}
}

// noOwnerRetryAfter is the retry-after of requests that no owner could be found for.
const noOwnerRetryAfter = 1 * tier.Second

func refusedResult(r tier.RefuseReason, retryAfter tier.Millis) SearchResult {
	return SearchResult{outcome: tier.NewRefused(r, retryAfter)}
}
