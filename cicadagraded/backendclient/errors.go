package backendclient

import (
	"net"
	"syscall"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// NotRunReason says why a server did not run a call.
type NotRunReason int

// The reasons.
const (
	NotRunShed          NotRunReason = iota // the server sheds load
	NotRunLeaving                           // the server is leaving
	NotRunWrongSnapshot                     // it lacks the shard at the snapshot
	NotRunNoConnection                      // no connection could be made
)

var notRunNames = [...]string{"shed", "leaving", "wrong-snapshot", "no-connection"}

// String is the reason's name in logs.
func (r NotRunReason) String() string { return notRunNames[r] }

// NotRunError says that the server did not run the call.
type NotRunError struct {
	reason NotRunReason
	cause  error
}

// Reason says why.
func (e *NotRunError) Reason() NotRunReason { return e.reason }

// ConnectionRefused reports whether the server's machine refused the connection, so
// that no process listens there.
func (e *NotRunError) ConnectionRefused() bool { return errors.Is(e.cause, syscall.ECONNREFUSED) }

// Unwrap is the cause.
func (e *NotRunError) Unwrap() error { return e.cause }

// Error names the reason and the cause.
func (e *NotRunError) Error() string { return "not run: " + e.reason.String() + ": " + e.cause.Error() }

// NoReplyError says that the call may have run: its reply did not come.
type NoReplyError struct{ cause error }

// Unwrap is the cause.
func (e *NoReplyError) Unwrap() error { return e.cause }

// Error names the cause.
func (e *NoReplyError) Error() string { return "reply lost: " + e.cause.Error() }

// classify tells what is known of a failed call. Only a code that the server
// itself sent, or a connection that was never made, proves that it did not
// run.
func classify(err error) error {
	if isDialError(err) {
		return &NotRunError{reason: NotRunNoConnection, cause: err}
	}
	if !connect.IsWireError(err) {
		return &NoReplyError{cause: err}
	}
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted:
		return &NotRunError{reason: NotRunShed, cause: err}
	case connect.CodeUnavailable:
		return &NotRunError{reason: NotRunLeaving, cause: err}
	case connect.CodeFailedPrecondition:
		return &NotRunError{reason: NotRunWrongSnapshot, cause: err}
	default:
		return &NoReplyError{cause: err}
	}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
