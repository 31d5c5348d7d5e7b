package committer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// Run performs a change against a store until the change or ctx ends. If ctx ends
// first, the result is Unknown or Unavailable.
func Run(ctx context.Context, clock *tier.Clock, store storer.Store, c *Change) Result {
	e := Event(&Start{})
	for {
		for _, a := range c.Step(clock.Now(), e) {
			if f, ok := a.(*Finish); ok {
				return f.result
			}
			e = perform(ctx, store, a)
		}
		at, waiting := c.Next()
		if !waiting {
			continue
		}
		select {
		case <-ctx.Done():
			return c.interrupted(ctx.Err())
		case <-time.After((at - clock.Now()).Duration()):
			e = &Tick{}
		}
	}
}

// perform performs one action and returns the resulting event.
func perform(ctx context.Context, store storer.Store, a Action) Event {
	switch a := a.(type) {
	case *Get:
		v, err := store.Get(ctx, a.key)
		if err != nil {
			return NewFailed(a, false, err)
		}
		return NewRead(v)
	case *Put:
		_, err := store.CompareAndSwap(ctx, a.key, a.data, a.expectedRevision, 0)
		var conflict *storer.ConflictError
		var indeterminate *storer.IndeterminateError
		switch {
		case err == nil:
			return &Written{}
		case errors.As(err, &conflict):
			return NewConflicted(conflict.Current())
		default:
			return NewFailed(a, errors.As(err, &indeterminate), err)
		}
	}
	return &Tick{}
}

// interrupted returns the result of a change that is given up.
func (c *Change) interrupted(cause error) Result {
	if c.swapUnsure {
		return &Unknown{cause: cause}
	}
	return &Unavailable{cause: cause}
}
