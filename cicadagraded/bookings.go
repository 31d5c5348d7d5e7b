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

// claims runs bookings under the claims of this VM.
type claims struct{ booker *booker.Booker }

// Mint returns a key that only this life of this VM runs.
func (c *claims) Mint(ctx context.Context) string { return c.booker.Mint(ctx) }

// Book calls send at most once for the booking's key.
func (c *claims) Book(ctx context.Context, b coordinator.Booking, send func(context.Context) tier.Outcome) (tier.Outcome, error) {
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
	return o, errors.Wrap(err, "claims.Book")
}

// forwarded runs the bookings that fronts forward to this VM.
type forwarded struct {
	claims   *claims
	registry *owner.Registry
}

// Book runs a booking on the owner of its set. A minted key was claimed by the
// front that minted it, and no one else forwards it.
func (f *forwarded) Book(ctx context.Context, b coordinator.ForwardedBooking) (tier.Outcome, error) {
	send := func(ctx context.Context) tier.Outcome { return sendBooking(ctx, f.registry, b) }
	if b.Minted() {
		return send(ctx), nil
	}
	return f.claims.Book(ctx, b.Booking, send)
}

// sendBooking has the owner of a booking's set run it, once.
func sendBooking(ctx context.Context, r *owner.Registry, b coordinator.ForwardedBooking) tier.Outcome {
	q := owner.NewBooking(b.Profile(), b.Shard(), b.RecordKey(), b.Body(), b.Deadline())
	switch e := r.Book(ctx, b.Set(), q).(type) {
	case *owner.Done:
		return doneBooking(e)
	case *owner.NotRun:
		return tier.NewRefused(e.Reason(), e.RetryAfter())
	case *owner.Unknown:
		return tier.NewUnknown(e.Reason())
	default:
		return tier.NewUnknown(tier.UnknownLostReply)
	}
}

// doneBooking tells a booking with a receipt from one whose shard is missing.
func doneBooking(d *owner.Done) tier.Outcome {
	if d.Receipt() != "" {
		return tier.NewBooked(d.Receipt(), false)
	}
	if d.LeafCalls() == 0 {
		return tier.NewRefused(tier.RefuseNoReplica, 0)
	}
	return tier.NewUnknown(tier.UnknownLostReply)
}
