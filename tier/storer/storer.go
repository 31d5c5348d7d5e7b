// Package storer is the interface to the platform's key-value service:
// single-key compare-and-swap, leases and watches. Another service takes one
// implementation of Store.
package storer

import (
	"context"
	"fmt"

	"cicadagrade.example/tier"
)

// Value is the state of one key.
type Value struct {
	key      string
	data     []byte
	revision int64
}

// NewValue returns a value. A revision of 0 says that the key is absent.
func NewValue(key string, data []byte, revision int64) Value {
	return Value{key: key, data: data, revision: revision}
}

// Key is the key.
func (v Value) Key() string { return v.key }

// Data is the content.
func (v Value) Data() []byte { return v.data }

// Revision is the store's revision of the key's last change, or 0.
func (v Value) Revision() int64 { return v.revision }

// Present reports whether the key exists.
func (v Value) Present() bool { return v.revision != 0 }

// LeaseID names a lease.
type LeaseID int64

// Store is what the tier uses of the platform's service. Every method ends
// when ctx does. Errors are *ConflictError, *UnavailableError or
// *UnsureError, possibly wrapped.
type Store interface {
	// Get reads one key; an absent key is a Value with revision 0.
	Get(ctx context.Context, key string) (Value, error)
	// List reads all keys that start with prefix, at most limit (0: all).
	List(ctx context.Context, prefix string, limit int) ([]Value, error)
	// CompareAndSwap writes data if the key's revision is expect, where 0 means that
	// the key must be absent, and returns the new revision. A lease of 0
	// attaches none.
	CompareAndSwap(ctx context.Context, key string, data []byte, expect int64, lease LeaseID) (int64, error)
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant makes a lease that lapses after ttl without KeepAlive.
	Grant(ctx context.Context, ttl tier.Millis) (LeaseID, error)
	// KeepAlive renews a lease and returns the time it has left; 0 says
	// that it has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) (tier.Millis, error)
	// Watch calls changed for each change after revision from to a key that
	// starts with prefix, until ctx ends or the stream breaks. A deleted
	// key comes with revision 0. It counts as one call all the while.
	Watch(ctx context.Context, prefix string, from int64, changed func(Value)) error
}

// ConflictError says that a key's revision was not the expected one; nothing
// was written.
type ConflictError struct{ current Value }

// NewConflictError returns an error that carries the key's present state.
func NewConflictError(current Value) *ConflictError { return &ConflictError{current: current} }

// Current is the key's state at the time of the conflict.
func (e *ConflictError) Current() Value { return e.current }

// Error names the key and its revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has changed: it is at revision %d", e.current.key, e.current.revision)
}

// UnavailableError says that the store did not take the call; nothing was
// written.
type UnavailableError struct {
	call  string
	cause error
}

// NewUnavailableError returns an error for a call that did not take effect.
func NewUnavailableError(call string, cause error) *UnavailableError {
	return &UnavailableError{call: call, cause: cause}
}

// Call names the call.
func (e *UnavailableError) Call() string { return e.call }

// Unwrap is the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// Error names the call and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the store did not take %s: %v", e.call, e.cause)
}

// IndeterminateError says that the answer of a write was lost: it may have taken
// effect. Read the key back to find out.
type IndeterminateError struct {
	call  string
	cause error
}

// NewIndeterminateError returns an error for a write whose answer was lost.
func NewIndeterminateError(call string, cause error) *IndeterminateError {
	return &IndeterminateError{call: call, cause: cause}
}

// Call names the call.
func (e *IndeterminateError) Call() string { return e.call }

// Unwrap is the cause.
func (e *IndeterminateError) Unwrap() error { return e.cause }

// Error names the call and the cause.
func (e *IndeterminateError) Error() string {
	return fmt.Sprintf("the answer of %s was lost, it may have taken effect: %v", e.call, e.cause)
}
