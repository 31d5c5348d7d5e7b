package claimer

import "fmt"

// KeyReusedError says that an idempotency key was first sent with another
// request. Nothing was run for this one.
type KeyReusedError struct {
	key   string
	first string
	now   string
}

// Key is the idempotency key.
func (e *KeyReusedError) Key() string { return e.key }

// FirstFingerprint is the fingerprint of the request that the key stands for.
func (e *KeyReusedError) FirstFingerprint() string { return e.first }

// CurrentFingerprint is the fingerprint of the request that was sent now.
func (e *KeyReusedError) CurrentFingerprint() string { return e.now }

// Error names the key.
func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q was first sent with another request", e.key)
}

// PageError says that a page of claims can't be read. It is left as it is.
type PageError struct {
	key     string
	problem string
}

// Key is the idempotency key at fault, or empty.
func (e *PageError) Key() string { return e.key }

// Problem says what is wrong.
func (e *PageError) Problem() string { return e.problem }

// Error names key and problem.
func (e *PageError) Error() string {
	return fmt.Sprintf("the page of claims is bad at %q: %s", e.key, e.problem)
}
