package booker

import (
	"context"

	"github.com/pkg/errors"

	"cicadagrade.example/tier/claimer"
	"cicadagrade.example/tier/storer"
)

// runStoreCalls makes the queued store calls, one after the other, until ctx ends.
func (b *Booker) runStoreCalls(ctx context.Context) error {
	for {
		a, err := b.storeCalls.Pop(ctx)
		if err != nil {
			return err
		}
		if err := b.messages.Push(ctx, message{event: b.executeStoreCall(ctx, a)}); err != nil {
			return err
		}
	}
}

// executeStoreCall makes one store call and returns its result as an event.
func (b *Booker) executeStoreCall(ctx context.Context, a claimer.Action) claimer.Event {
	ctx, cancel := context.WithTimeout(ctx, b.storeTimeout.Duration())
	defer cancel()
	switch a := a.(type) {
	case *claimer.Read:
		v, err := b.store.Get(ctx, a.Key())
		if err != nil {
			return failureEvent(a.Call(), err)
		}
		return claimer.NewReadDone(a.Call(), v.Data(), v.Revision())
	case *claimer.Write:
		revision, err := b.store.CompareAndSwap(ctx, a.Key(), a.Data(), a.Expect(), 0)
		if err != nil {
			return failureEvent(a.Call(), err)
		}
		return claimer.NewWriteDone(a.Call(), revision)
	case *claimer.DeletePage:
		b.deletePage(ctx, a.Key())
	}
	return &claimer.Tick{}
}

// deletePage deletes the page stored under a key. If that fails, the page is deleted by
// another VM or after the next start.
func (b *Booker) deletePage(ctx context.Context, key string) {
	v, err := b.store.Get(ctx, key)
	if err == nil && v.Present() {
		_ = b.store.Delete(ctx, key, v.Revision())
	}
}

// failureEvent converts the error of a store call to a conflict, a failure without effect
// or a failure that may have had an effect.
func failureEvent(call uint64, err error) claimer.Event {
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		v := conflict.Current()
		return claimer.NewConflict(call, v.Data(), v.Revision())
	}
	var unavailable *storer.UnavailableError
	return claimer.NewFailed(call, !errors.As(err, &unavailable))
}
