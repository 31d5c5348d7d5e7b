package claimer

import "fmt"

// KeyReusedError says that an idempotency key was first submitted with a different
// request. This request did not run.
type KeyReusedError struct {
	key                string
	firstFingerprint   string
	currentFingerprint string
}

// Key is the idempotency key.
func (e *KeyReusedError) Key() string { return e.key }

// FirstFingerprint is the fingerprint of the request that the key was first submitted with.
func (e *KeyReusedError) FirstFingerprint() string { return e.firstFingerprint }

// CurrentFingerprint is the fingerprint of the request submitted now.
func (e *KeyReusedError) CurrentFingerprint() string { return e.currentFingerprint }

// Error names the key.
func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q was first sent with another request", e.key)
}

// PageError says that a page of claims from the store can't be decoded. The page is not
// overwritten.
type PageError struct {
	key     string
	problem string
}

// Key is the idempotency key of the malformed claim, or empty.
func (e *PageError) Key() string { return e.key }

// Problem describes what is malformed.
func (e *PageError) Problem() string { return e.problem }

// Error names the key and the problem.
func (e *PageError) Error() string {
	return fmt.Sprintf("the page of claims is malformed at key %q: %s", e.key, e.problem)
}
