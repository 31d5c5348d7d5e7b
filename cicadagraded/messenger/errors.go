package messenger

import (
	"fmt"
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/coordinator"
)

// MismatchedReplyError says that a VM answered another request than the one it was
// sent.
type MismatchedReplyError struct{ want, got string }

// Error names what was wanted and what came.
func (e *MismatchedReplyError) Error() string {
	return fmt.Sprintf("crossed reply: want %q, got %q", e.want, e.got)
}

// sentError tells whether a request that failed may have reached its VM. Only
// a connection that was never made, or the VM's own word, proves that it did
// not.
func sentError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return coordinator.NewNotSentError(err)
	}
	if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeUnavailable {
		return coordinator.NewNotSentError(err)
	}
	return err
}

// bookError is sentError, or the owner's word that the key is reused.
func bookError(err error, key string) error {
	if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeAlreadyExists {
		return coordinator.NewKeyReusedError(key)
	}
	return sentError(err)
}

// wireBookError is the inverse of bookError.
func wireBookError(err error) error {
	var reused *coordinator.KeyReusedError
	if errors.As(err, &reused) {
		return connect.NewError(connect.CodeAlreadyExists, reused)
	}
	return connect.NewError(connect.CodeInternal, err)
}
