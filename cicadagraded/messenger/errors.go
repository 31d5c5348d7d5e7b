package messenger

import (
	"fmt"
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/coordinator"
)

// MismatchedReplyError reports that a reply does not belong to the request that was sent.
type MismatchedReplyError struct{ want, got string }

// Error states the expected and the actual value.
func (e *MismatchedReplyError) Error() string {
	return fmt.Sprintf("mismatched reply: want %q, got %q", e.want, e.got)
}

// classifySendError returns a *coordinator.NotSentError if a failed request certainly has not
// run on its VM: the connection was never established, or the VM itself replied that it is
// unavailable. It returns any other error unchanged, because the VM may have received the
// request.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return coordinator.NewNotSentError(err)
	}
	if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeUnavailable {
		return coordinator.NewNotSentError(err)
	}
	return err
}

// classifyBookError is like classifySendError, but returns a *coordinator.KeyReusedError if
// the VM replied that the idempotency key belongs to another request.
func classifyBookError(err error, key string) error {
	if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeAlreadyExists {
		return coordinator.NewKeyReusedError(key)
	}
	return classifySendError(err)
}

// toWireBookError returns the Connect error for err, from which classifyBookError restores a
// *coordinator.KeyReusedError. Any other error becomes an internal error.
func toWireBookError(err error) error {
	var reused *coordinator.KeyReusedError
	if errors.As(err, &reused) {
		return connect.NewError(connect.CodeAlreadyExists, reused)
	}
	return connect.NewError(connect.CodeInternal, err)
}
