package coordinator

import (
	"context"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/claimer"
)

// Book runs a booking at most once. Its errors are *KeyReusedError and
// *tier.InvalidError; after these nothing was run.
func (c *Coordinator) Book(ctx context.Context, b Booking) (BookingResult, error) {
	set, ok := c.directory.Set(b.set)
	if !ok {
		return notRunResult(b, tier.RefuseNoConfig, 0), nil
	}
	minted, err := c.resolveKey(ctx, &b)
	if err != nil {
		return BookingResult{}, errors.Wrap(err, "Coordinator.Book")
	}
	if b.idempotencyKey == "" {
		return notRunResult(b, tier.RefuseLeaving, noOwnerRetryAfter), nil
	}
	if wait, ok := c.directory.Admit(b.set, b.profile.Rank()); !ok {
		return notRunResult(b, tier.RefuseOverload, wait), nil
	}
	shard := set.ShardOf(b.recordKey)
	o, err := c.runClaimed(ctx, b, set, shard, minted)
	if err != nil {
		return BookingResult{}, errors.Wrap(err, "Coordinator.Book")
	}
	return NewBookingResult(o, b.idempotencyKey).withLocation(set, shard), nil
}

// resolveKey validates the booking's idempotency key, or mints one if there is none. It
// reports whether the key is a minted one, of this VM or another.
func (c *Coordinator) resolveKey(ctx context.Context, b *Booking) (minted bool, err error) {
	if b.idempotencyKey == "" {
		b.idempotencyKey, b.firstSending = c.claimer.Mint(ctx), true
		return true, nil
	}
	k, err := claimer.ParseKey(b.idempotencyKey)
	return k.Minted(), err
}

// runClaimed claims the booking's key and runs the booking. A minted key is claimed on
// this VM, which minted it; a caller's own key is claimed in the store by the VM that the
// booking is forwarded to.
func (c *Coordinator) runClaimed(ctx context.Context, b Booking, set *tier.ShardSet, shard tier.Shard, minted bool) (tier.Outcome, error) {
	if !minted {
		o, err := c.forward(ctx, b, set, shard, false)
		if o == nil && err == nil {
			o = notRunResult(b, tier.RefuseUnreachable, noOwnerRetryAfter).outcome
		}
		return o, err
	}
	return c.claimer.Book(ctx, b, func(ctx context.Context) tier.Outcome {
		o, err := c.forward(ctx, b, set, shard, true)
		if err != nil {
			return tier.NewUnknown(tier.UnknownLostReply)
		}
		if o == nil {
			return tier.NewRefused(tier.RefuseUnreachable, noOwnerRetryAfter)
		}
		return o
	})
}

// bookingReplyReserve is the part of a booking's time that is reserved for the reply from
// the owner to reach this VM.
const bookingReplyReserve = 50 * tier.Millis(1)

// forward sends a booking to its owners in turn until it has reached one of them, so that
// at most one owner runs it. It returns nil if it reached none.
func (c *Coordinator) forward(ctx context.Context, b Booking, set *tier.ShardSet, shard tier.Shard, minted bool) (tier.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, (b.deadline - c.clock.Now()).Duration())
	defer cancel()
	b.deadline -= min(bookingReplyReserve, (b.deadline-c.clock.Now())/4)
	for _, vm := range c.bookingOwners(set, shard) {
		o, err := c.messenger.Book(ctx, vm, NewForwardedBooking(b, shard.ID(), minted))
		if err == nil {
			c.directory.MarkAnswered(vm.Name())
			return o, nil
		}
		var reused *KeyReusedError
		if errors.As(err, &reused) {
			return nil, errors.Wrap(err, "Coordinator.forward")
		}
		c.directory.MarkFailed(vm.Name())
		if !wasNotSent(err) {
			return tier.NewUnknown(tier.UnknownLostReply), nil
		}
	}
	return nil, nil
}

// wasNotSent reports whether a request did not reach the VM it was sent to.
func wasNotSent(err error) bool {
	var n *NotSentError
	return errors.As(err, &n)
}

// bookingOwners lists the VMs that may run a booking on a shard: first those in the data
// centre of the first replica, then those in the data centres of the other replicas.
func (c *Coordinator) bookingOwners(set *tier.ShardSet, shard tier.Shard) []tier.VM {
	var vms []tier.VM
	seen := map[string]bool{}
	for _, r := range shard.Replicas() {
		b, ok := set.Server(r)
		if !ok || seen[b.DataCentre()] || !c.directory.Reachable(b.DataCentre()) {
			continue
		}
		seen[b.DataCentre()] = true
		owners := c.directory.Owners(set.Name(), b.DataCentre(), c.turn.Add(1))
		vms = append(vms, owners[:min(len(owners), maxOwnersTried)]...)
	}
	return vms
}

// notRunResult is the result of a booking that this VM did not send. The outcome is
// unknown if the caller may have sent the key before, because that request may have run.
func notRunResult(b Booking, r tier.RefuseReason, retryAfter tier.Millis) BookingResult {
	refused := tier.NewRefused(r, retryAfter)
	if b.firstSending || b.idempotencyKey == "" {
		return NewBookingResult(refused, b.idempotencyKey)
	}
	return NewBookingResult(tier.NewUnknownEarlier(refused), b.idempotencyKey)
}
