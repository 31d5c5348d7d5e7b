package leafclient

import (
	"testing"

	"github.com/pkg/errors"
)

// TestReplyThatEndsInItsHeadIsAnError guards against a success with an empty body, framed as whole,
// from a leaf that closes the connection at any byte of its reply's head.
func TestReplyThatEndsInItsHeadIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
		"chunks":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"to-close": "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
		"no-body":  "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
		"bare-lf":  "HTTP/1.1 200 OK\nId: 1\n\n",
		"interim":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestClient(t)
			for n := 1; n < len(head); n++ {
				s := startServer(t, head[:n]+"|close")
				reply, err := do(t, c, s, "1")
				var lost *NoReplyError
				if !errors.As(err, &lost) {
					t.Errorf("after %q: %v, error %v, expected a *NoReplyError", head[max(0, n-12):n], reply, err)
				}
			}
		})
	}
}
