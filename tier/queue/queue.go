// Package queue provides a bounded queue that passes values between goroutines.
package queue

import "context"

// Queue is a bounded first-in, first-out queue. It is safe for concurrent use.
type Queue[T any] struct{ values chan T }

// New returns a queue that holds at most capacity values.
func New[T any](capacity int) *Queue[T] { return &Queue[T]{values: make(chan T, capacity)} }

// TryPush adds v unless the queue is full, and reports whether it did.
func (q *Queue[T]) TryPush(v T) bool {
	select {
	case q.values <- v:
		return true
	default:
		return false
	}
}

// Push adds v. While the queue is full it waits, until ctx ends.
func (q *Queue[T]) Push(ctx context.Context, v T) error {
	select {
	case q.values <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes and returns the oldest value. While the queue is empty it waits, until ctx ends.
func (q *Queue[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-q.values:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Chan returns the channel from which values are received, for use in a select statement.
func (q *Queue[T]) Chan() <-chan T { return q.values }

// Len is the number of values in the queue.
func (q *Queue[T]) Len() int { return len(q.values) }
