package booker

import (
	"context"

	"github.com/pkg/errors"

	"cicadagrade.example/tier/claimer"
	"cicadagrade.example/tier/storer"
)

// work makes the calls of the store that the claimer asks for.
func (c *Booker) work(ctx context.Context) error {
	for {
		a, err := c.calls.Pop(ctx)
		if err != nil {
			return err
		}
		if err := c.events.Push(ctx, message{event: c.make(ctx, a)}); err != nil {
			return err
		}
	}
}

func (c *Booker) make(ctx context.Context, a claimer.Action) claimer.Event {
	ctx, cancel := context.WithTimeout(ctx, c.storeTimeout.Duration())
	defer cancel()
	switch a := a.(type) {
	case *claimer.Read:
		v, err := c.store.Get(ctx, a.Key())
		if err != nil {
			return failed(a.Call(), err)
		}
		return claimer.NewReadDone(a.Call(), v.Data(), v.Revision())
	case *claimer.Write:
		revision, err := c.store.CompareAndSwap(ctx, a.Key(), a.Data(), a.Expect(), 0)
		if err != nil {
			return failed(a.Call(), err)
		}
		return claimer.NewWriteDone(a.Call(), revision)
	case *claimer.DeletePage:
		c.drop(ctx, a.Key())
	}
	return &claimer.Tick{}
}

// drop deletes a key. If it fails, another VM or the next start drops it.
func (c *Booker) drop(ctx context.Context, key string) {
	v, err := c.store.Get(ctx, key)
	if err == nil && v.Present() {
		_ = c.store.Delete(ctx, key, v.Revision())
	}
}

// failed tells a conflict, a call without effect and one that may have had
// an effect apart.
func failed(call uint64, err error) claimer.Event {
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) {
		v := conflict.Current()
		return claimer.NewConflict(call, v.Data(), v.Revision())
	}
	var unavailable *storer.UnavailableError
	return claimer.NewFailed(call, !errors.As(err, &unavailable))
}
