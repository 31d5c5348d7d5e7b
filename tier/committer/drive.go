package committer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// Run carries a change out against a store until it ends or ctx does; then
// the result is Unknown or Unavailable.
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
			return c.cut(ctx.Err())
		case <-time.After((at - clock.Now()).Duration()):
			e = &Tick{}
		}
	}
}

// perform carries one action out and returns what came of it.
func perform(ctx context.Context, store storer.Store, a Action) Event {
	switch a := a.(type) {
	case *Get:
		v, err := store.Get(ctx, a.key)
		if err != nil {
			return NewFailed(a, false, err)
		}
		return NewRead(v)
	case *Put:
		_, err := store.CompareAndSwap(ctx, a.key, a.data, a.expect, 0)
		var conflict *storer.ConflictError
		var unsure *storer.IndeterminateError
		switch {
		case err == nil:
			return &Written{}
		case errors.As(err, &conflict):
			return NewConflicted(conflict.Current())
		default:
			return NewFailed(a, errors.As(err, &unsure), err)
		}
	}
	return &Tick{}
}

// cut is the result of a change that was given up.
func (c *Change) cut(cause error) Result {
	if c.unsure {
		return &Unknown{cause: cause}
	}
	return &Unavailable{cause: cause}
}
