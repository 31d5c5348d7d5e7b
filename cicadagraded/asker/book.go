package asker

import (
	"context"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Book runs a booking at most once. Its errors are *KeyReusedError and
// *BadKeyError; nothing was run then.
func (f *Front) Book(ctx context.Context, b Booking) (Receipt, error) {
	set, ok := f.directory.Set(b.set)
	if !ok {
		return notRun(b, tier.RefuseNoConfig, 0), nil
	}
	if wait, ok := f.directory.Admit(b.set, b.profile.Rank()); !ok {
		return notRun(b, tier.RefuseOverload, wait), nil
	}
	minted := b.idempotencyKey == ""
	if minted {
		b.idempotencyKey, b.first = f.mint(), true
	}
	shard := set.ShardOf(b.recordKey)
	ctx, cancel := context.WithTimeout(ctx, (b.deadline - f.clock.Now()).Duration())
	defer cancel()
	for _, vm := range f.bookingOwners(set, shard) {
		r, err := f.messenger.Book(ctx, vm, NewForwarded(b, shard.ID(), minted))
		if err == nil {
			return r.at(set, shard), nil
		}
		if isRejection(err) {
			return Receipt{}, errors.Wrap(err, "Front.Book")
		}
		if !errorsAsNotSent(err) {
			return Receipt{outcome: tier.NewUnknown(tier.UnknownLostReply), idempotencyKey: b.idempotencyKey}, nil
		}
	}
	return notRun(b, tier.RefuseUnreachable, noOwnerRetryAfter), nil
}

// bookingOwners lists the VMs that may run a booking on a shard: those of
// the data centre of its first replica, then those of the others.
func (f *Front) bookingOwners(set *tier.ShardSet, shard tier.Shard) []tier.VM {
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

// isRejection reports whether the owner rejected the request itself.
func isRejection(err error) bool {
	var reused *KeyReusedError
	var badKey *BadKeyError
	return errors.As(err, &reused) || errors.As(err, &badKey)
}

// notRun is the end of a booking that this VM did not send. Unless the caller
// vouches for the first sending, an earlier one with its key may have run.
func notRun(b Booking, r tier.RefuseReason, retryAfter tier.Millis) Receipt {
	refused := tier.NewRefused(r, retryAfter)
	if b.first || b.idempotencyKey == "" {
		return NewReceipt(refused, b.idempotencyKey)
	}
	return NewReceipt(tier.NewUnknownEarlier(refused), b.idempotencyKey)
}
