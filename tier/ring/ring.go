// Package ring provides a bounded queue that passes values between goroutines.
package ring

import "context"

// Ring is a bounded first-in, first-out queue. It is safe for concurrent use.
type Ring[T any] struct{ values chan T }

// New returns a queue that holds at most capacity values.
func New[T any](capacity int) *Ring[T] { return &Ring[T]{values: make(chan T, capacity)} }

// TryPush adds v unless the queue is full, and reports whether it did.
func (q *Ring[T]) TryPush(v T) bool {
	select {
	case q.values <- v:
		return true
	default:
		return false
	}
}

// Push adds v. While the queue is full it waits, until ctx ends.
func (q *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case q.values <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes and returns the oldest value. While the queue is empty it waits, until ctx ends.
func (q *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-q.values:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Out returns the channel from which values are received, for use in a select statement.
func (q *Ring[T]) Out() <-chan T { return q.values }

// Len is the number of values in the queue.
func (q *Ring[T]) Len() int { return len(q.values) }
