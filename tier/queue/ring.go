// Package queue joins duties: a bounded ring of values between goroutines.
package queue

import "context"

// Queue is a bounded first-in, first-out ring. It is safe for concurrent use.
type Queue[T any] struct{ c chan T }

// New returns a ring that holds at most size values.
func New[T any](size int) *Queue[T] { return &Queue[T]{c: make(chan T, size)} }

// TryPush adds v unless the ring is full, and reports whether it did.
func (r *Queue[T]) TryPush(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		return false
	}
}

// Push adds v, waiting for room until ctx ends.
func (r *Queue[T]) Push(ctx context.Context, v T) error {
	select {
	case r.c <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop takes the oldest value, waiting for one until ctx ends.
func (r *Queue[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.c:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Chan is the receiving end, for a duty that also waits for other things.
func (r *Queue[T]) Chan() <-chan T { return r.c }

// Len is how many values wait.
func (r *Queue[T]) Len() int { return len(r.c) }
