package main

import (
	"context"

	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/booker"
	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/claimer"
)

// bookingClaims runs bookings under idempotency keys that this VM claims.
type bookingClaims struct{ booker *booker.Booker }

// Mint returns a new idempotency key. Only this incarnation of this VM runs bookings under it.
func (c *bookingClaims) Mint(ctx context.Context) string { return c.booker.Mint(ctx) }

// Book calls send at most once for each idempotency key.
func (c *bookingClaims) Book(ctx context.Context, b coordinator.Booking, send func(context.Context) tier.Outcome) (tier.Outcome, error) {
	var opts []booker.RequestOption
	if b.FirstSending() {
		opts = append(opts, booker.WithFirstSending())
	}
	r := booker.NewRequest(b.IdempotencyKey(), b.Set(), b.RecordKey(), b.Body(), b.Deadline(), opts...)
	o, err := c.booker.Book(ctx, r, send)
	var reused *claimer.KeyReusedError
	if errors.As(err, &reused) {
		err = coordinator.NewKeyReusedError(reused.Key())
	}
	return o, errors.Wrap(err, "bookingClaims.Book")
}

// forwardedBookings runs the bookings that other entry VMs forward to this one.
type forwardedBookings struct {
	claims   *bookingClaims
	registry *owner.Registry
}

// Book runs a booking on the owner of its set. A minted key is not claimed again: the VM that
// minted it has claimed it, and no other VM forwards it.
func (f *forwardedBookings) Book(ctx context.Context, b coordinator.ForwardedBooking) (tier.Outcome, error) {
	send := func(ctx context.Context) tier.Outcome { return runOnOwner(ctx, f.registry, b) }
	if b.Minted() {
		return send(ctx), nil
	}
	return f.claims.Book(ctx, b.Booking, send)
}

// runOnOwner has the owner of the booking's set run it once.
func runOnOwner(ctx context.Context, r *owner.Registry, b coordinator.ForwardedBooking) tier.Outcome {
	booking := owner.NewBooking(b.Profile(), b.Shard(), b.RecordKey(), b.Body(), b.Deadline())
	switch e := r.Book(ctx, b.Set(), booking).(type) {
	case *owner.Done:
		return doneOutcome(e)
	case *owner.NotRun:
		return tier.NewRefused(e.Reason(), e.RetryAfter())
	case *owner.Unknown:
		return tier.NewUnknown(e.Reason())
	default:
		return tier.NewUnknown(tier.UnknownLostReply)
	}
}

// doneOutcome returns the outcome of a booking that its owner finished: booked if there is a
// receipt, refused if no call was made, and unknown otherwise.
func doneOutcome(d *owner.Done) tier.Outcome {
	if d.Receipt() != "" {
		return tier.NewBooked(d.Receipt(), false)
	}
	if d.LeafCalls() == 0 {
		return tier.NewRefused(tier.RefuseNoReplica, 0)
	}
	return tier.NewUnknown(tier.UnknownLostReply)
}
