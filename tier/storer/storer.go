// Package storer defines the interface to the platform's key-value service:
// compare-and-swap of single keys, leases and watches. Another service can be used
// through another implementation of Store.
package storer

import (
	"context"
	"fmt"

	"cicadagrade.example/tier"
)

// Value is the state of one key: its content and the revision of its last change.
type Value struct {
	key      string
	data     []byte
	revision int64
}

// NewValue returns a value. Revision 0 means that the key is absent.
func NewValue(key string, data []byte, revision int64) Value {
	return Value{key: key, data: data, revision: revision}
}

// Key is the name of the key.
func (v Value) Key() string { return v.key }

// Data is the content of the key.
func (v Value) Data() []byte { return v.data }

// Revision is the store revision of the key's last change, or 0 if the key is absent.
func (v Value) Revision() int64 { return v.revision }

// Present reports whether the key exists.
func (v Value) Present() bool { return v.revision != 0 }

// LeaseID identifies a lease.
type LeaseID int64

// Store is the key-value service as the tier uses it. Every method returns when ctx ends.
// Errors are *ConflictError, *UnavailableError or *IndeterminateError, possibly wrapped.
type Store interface {
	// Get reads one key. An absent key has revision 0.
	Get(ctx context.Context, key string) (Value, error)
	// List reads the keys that start with prefix, at most limit of them (0: all).
	List(ctx context.Context, prefix string, limit int) ([]Value, error)
	// CompareAndSwap writes data if the key's revision is expect, and returns the new
	// revision. Expect 0 means that the key must be absent. Lease 0 attaches no lease.
	CompareAndSwap(ctx context.Context, key string, data []byte, expect int64, lease LeaseID) (int64, error)
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Grant creates a lease that expires after ttl unless KeepAlive renews it.
	Grant(ctx context.Context, ttl tier.Millis) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time; 0 means that it has
	// expired.
	KeepAlive(ctx context.Context, id LeaseID) (tier.Millis, error)
	// Watch calls changed for each change, after revision from, of a key that starts with
	// prefix, until ctx ends or the stream breaks. A deleted key has revision 0. The
	// stream counts as one call for as long as it is open.
	Watch(ctx context.Context, prefix string, from int64, changed func(Value)) error
}

// ConflictError says that a key's revision was not the expected one. Nothing was written.
type ConflictError struct{ current Value }

// NewConflictError returns an error that carries the current state of the key.
func NewConflictError(current Value) *ConflictError { return &ConflictError{current: current} }

// Current is the key's state at the time of the conflict.
func (e *ConflictError) Current() Value { return e.current }

// Error names the key and its current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has changed: it is at revision %d", e.current.key, e.current.revision)
}

// UnavailableError says that the store did not accept the call. Nothing was written.
type UnavailableError struct {
	call  string
	cause error
}

// NewUnavailableError returns an error for a call that had no effect.
func NewUnavailableError(call string, cause error) *UnavailableError {
	return &UnavailableError{call: call, cause: cause}
}

// Call is the name of the call.
func (e *UnavailableError) Call() string { return e.call }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// Error names the call and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the store did not take %s: %v", e.call, e.cause)
}

// IndeterminateError says that the reply to a write was lost, so it is not known whether
// the write took effect. The caller can read the key to find out.
type IndeterminateError struct {
	call  string
	cause error
}

// NewIndeterminateError returns an error for a write whose reply was lost.
func NewIndeterminateError(call string, cause error) *IndeterminateError {
	return &IndeterminateError{call: call, cause: cause}
}

// Call is the name of the call.
func (e *IndeterminateError) Call() string { return e.call }

// Unwrap returns the cause.
func (e *IndeterminateError) Unwrap() error { return e.cause }

// Error names the call and the cause.
func (e *IndeterminateError) Error() string {
	return fmt.Sprintf("the answer of %s was lost, it may have taken effect: %v", e.call, e.cause)
}
