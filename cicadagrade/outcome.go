package main

import (
	"fmt"

	"github.com/pkg/errors"
)

// Exit codes other than 0 and 1.
const (
	exitBadInput = 2
	exitRefused  = 3
	exitUnknown  = 4
)

// requestError reports a request with an outcome other than answered.
type requestError struct {
	outcome string
	reason  string
	message string
	code    int
}

// ExitCode returns the command's exit code.
func (e *requestError) ExitCode() int { return e.code }

// Error states the outcome with its message or reason.
func (e *requestError) Error() string {
	if e.message != "" {
		return fmt.Sprintf("%s: %s", e.outcome, e.message)
	}
	return fmt.Sprintf("%s: %s", e.outcome, e.reason)
}

// newRequestError returns the error for a response, nil for an answered request.
func newRequestError(b *responseBody) error {
	e := &requestError{outcome: b.Outcome, reason: b.Reason}
	switch {
	case b.Error != nil:
		e.message = b.Error.Message
		e.code = exitBadInput
	case b.Outcome == "answered":
		return nil
	case b.Outcome == "refused-not-run":
		e.code = exitRefused
	default:
		e.code = exitUnknown
	}
	return errors.WithStack(e)
}
