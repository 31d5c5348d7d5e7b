package leafclient

import (
	"io"
	"syscall"

	"github.com/pkg/errors"
)

// NotSentError reports that no byte of the request was written.
type NotSentError struct {
	address   string
	connected bool
	cause     error
}

// Connected reports whether a connection had been established.
func (e *NotSentError) Connected() bool { return e.connected }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// Error includes the address and the cause.
func (e *NotSentError) Error() string {
	return "request not sent to " + e.address + ": " + e.cause.Error()
}

// NoReplyError reports that the request was written, at least in part, and no complete reply
// was received. The server may have executed the request.
type NoReplyError struct {
	address  string
	rejected bool
	ended    bool
	cause    error
}

// ConnectionRejected reports whether the server closed or reset a new connection without
// replying, as servers do that have reached their limit of connections.
func (e *NoReplyError) ConnectionRejected() bool { return e.rejected }

// Ended reports whether the server has ended the connection, and not this client.
func (e *NoReplyError) Ended() bool { return e.ended }

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error { return e.cause }

// Error includes the address and the cause.
func (e *NoReplyError) Error() string { return "no reply from " + e.address + ": " + e.cause.Error() }

// isConnectionEnd reports whether an error says that the server has closed or reset the
// connection.
func isConnectionEnd(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
