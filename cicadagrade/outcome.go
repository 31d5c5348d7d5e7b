package main

import (
	"fmt"

	"github.com/pkg/errors"
)

// Exit codes of search and book beside 0 and 1.
const (
	exitBadInput = 2
	exitRefused  = 3
	exitUnknown  = 4
)

// outcomeErr says that a request was not answered.
type outcomeErr struct {
	outcome string
	reason  string
	message string
	code    int
}

// ExitCode is the command's exit code.
func (e *outcomeErr) ExitCode() int { return e.code }

// Error names outcome and reason.
func (e *outcomeErr) Error() string {
	if e.message != "" {
		return fmt.Sprintf("%s: %s", e.outcome, e.message)
	}
	return fmt.Sprintf("%s: %s", e.outcome, e.reason)
}

// outcomeError returns nil for an answered request.
func outcomeError(w *answerBody) error {
	e := &outcomeErr{outcome: w.Outcome, reason: w.Reason}
	switch {
	case w.Error != nil:
		e.message = w.Error.Message
		e.code = exitBadInput
	case w.Outcome == "answered":
		return nil
	case w.Outcome == "refused-not-run":
		e.code = exitRefused
	default:
		e.code = exitUnknown
	}
	return errors.WithStack(e)
}
