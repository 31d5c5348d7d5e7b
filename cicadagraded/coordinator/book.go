package coordinator

import (
	"context"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/claimer"
)

// Book runs a booking at most once. Its errors are *KeyReusedError and
// *tier.InvalidError; nothing was run then.
func (f *Coordinator) Book(ctx context.Context, b Booking) (BookingResult, error) {
	set, ok := f.directory.Set(b.set)
	if !ok {
		return notRun(b, tier.RefuseNoConfig, 0), nil
	}
	minted, err := f.key(ctx, &b)
	if err != nil {
		return BookingResult{}, errors.Wrap(err, "Front.Book")
	}
	if b.idempotencyKey == "" {
		return notRun(b, tier.RefuseLeaving, noOwnerRetryAfter), nil
	}
	if wait, ok := f.directory.Admit(b.set, b.profile.Rank()); !ok {
		return notRun(b, tier.RefuseOverload, wait), nil
	}
	shard := set.ShardOf(b.recordKey)
	o, err := f.claimed(ctx, b, set, shard, minted)
	if err != nil {
		return BookingResult{}, errors.Wrap(err, "Front.Book")
	}
	return NewBookingResult(o, b.idempotencyKey).at(set, shard), nil
}

// key checks the booking's key, or mints one, and reports whether it is a
// minted one.
func (f *Coordinator) key(ctx context.Context, b *Booking) (minted bool, err error) {
	if b.idempotencyKey == "" {
		b.idempotencyKey, b.first = f.claims.Mint(ctx), true
		return true, nil
	}
	k, err := claimer.ParseKey(b.idempotencyKey)
	return k.Minted(), err
}

// claimed runs a booking under its claim: a minted key is claimed here, where
// it was minted; a caller's own key by the owner, in the store.
func (f *Coordinator) claimed(ctx context.Context, b Booking, set *tier.ShardSet, shard tier.Shard, minted bool) (tier.Outcome, error) {
	if !minted {
		o, err := f.forward(ctx, b, set, shard, false)
		if o == nil && err == nil {
			o = notRun(b, tier.RefuseUnreachable, noOwnerRetryAfter).outcome
		}
		return o, err
	}
	return f.claims.Book(ctx, b, func(ctx context.Context) tier.Outcome {
		o, err := f.forward(ctx, b, set, shard, true)
		if err != nil {
			return tier.NewUnknown(tier.UnknownLostReply)
		}
		if o == nil {
			return tier.NewRefused(tier.RefuseUnreachable, noOwnerRetryAfter)
		}
		return o
	})
}

// bookingReserve is kept of a booking's time for the owner's answer to come
// back.
const bookingReserve = 50 * tier.Millis(1)

// forward sends a booking to an owner, once: the next owner is tried only
// when the booking did not reach the one before.
func (f *Coordinator) forward(ctx context.Context, b Booking, set *tier.ShardSet, shard tier.Shard, minted bool) (tier.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, (b.deadline - f.clock.Now()).Duration())
	defer cancel()
	b.deadline -= min(bookingReserve, (b.deadline-f.clock.Now())/4)
	for _, vm := range f.bookingOwners(set, shard) {
		o, err := f.messenger.Book(ctx, vm, NewForwardedBooking(b, shard.ID(), minted))
		if err == nil {
			f.directory.MarkAnswered(vm.Name())
			return o, nil
		}
		var reused *KeyReusedError
		if errors.As(err, &reused) {
			return nil, errors.Wrap(err, "Front.forward")
		}
		f.directory.MarkFailed(vm.Name())
		if !wasNotSent(err) {
			return tier.NewUnknown(tier.UnknownLostReply), nil
		}
	}
	return nil, nil
}

// wasNotSent reports whether a booking never reached its VM.
func wasNotSent(err error) bool {
	var n *NotSentError
	return errors.As(err, &n)
}

// bookingOwners lists the VMs that may run a booking on a shard: those of
// the data centre of its first replica, then those of the others.
func (f *Coordinator) bookingOwners(set *tier.ShardSet, shard tier.Shard) []tier.VM {
	var vms []tier.VM
	seen := map[string]bool{}
	for _, r := range shard.Replicas() {
		b, ok := set.Server(r)
		if !ok || seen[b.DataCentre()] || !f.directory.Reachable(b.DataCentre()) {
			continue
		}
		seen[b.DataCentre()] = true
		owners := f.directory.Owners(set.Name(), b.DataCentre(), f.turn.Add(1))
		vms = append(vms, owners[:min(len(owners), maxOwnersTried)]...)
	}
	return vms
}

// notRun is the end of a booking that this VM did not send. Unless the caller
// vouches for the first sending, an earlier one with its key may have run.
func notRun(b Booking, r tier.RefuseReason, retryAfter tier.Millis) BookingResult {
	refused := tier.NewRefused(r, retryAfter)
	if b.first || b.idempotencyKey == "" {
		return NewBookingResult(refused, b.idempotencyKey)
	}
	return NewBookingResult(tier.NewUnknownEarlier(refused), b.idempotencyKey)
}
