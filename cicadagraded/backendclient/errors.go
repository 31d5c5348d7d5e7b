package backendclient

import (
	"net"
	"syscall"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// NotRunReason is the reason why a backend server did not run a call.
type NotRunReason int

// The reasons of a NotRunError.
const (
	NotRunShed          NotRunReason = iota // the server is shedding load
	NotRunLeaving                           // the server is leaving
	NotRunWrongSnapshot                     // the server does not hold the shard at the snapshot
	NotRunNoConnection                      // no connection could be made
)

var notRunReasonNames = [...]string{"shed", "leaving", "wrong-snapshot", "no-connection"}

// String is the name of the reason in error texts.
func (r NotRunReason) String() string { return notRunReasonNames[r] }

// NotRunError reports that the backend server did not run the call.
type NotRunError struct {
	reason NotRunReason
	cause  error
}

// Reason is the reason why the call was not run.
func (e *NotRunError) Reason() NotRunReason { return e.reason }

// ConnectionRefused reports whether the server's machine refused the connection, which
// shows that no process listens there.
func (e *NotRunError) ConnectionRefused() bool { return errors.Is(e.cause, syscall.ECONNREFUSED) }

// Unwrap is the cause.
func (e *NotRunError) Unwrap() error { return e.cause }

// Error gives the reason and the cause.
func (e *NotRunError) Error() string { return "not run: " + e.reason.String() + ": " + e.cause.Error() }

// NoReplyError reports that no usable reply was received. The call may have run.
type NoReplyError struct{ cause error }

// Unwrap is the cause.
func (e *NoReplyError) Unwrap() error { return e.cause }

// Error gives the cause.
func (e *NoReplyError) Error() string { return "no reply: " + e.cause.Error() }

// classify returns a *NotRunError if the call was certainly not run, and a *NoReplyError
// otherwise. Only a connection that was not established, or one of three error codes sent
// by the server itself, proves that the call was not run.
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
