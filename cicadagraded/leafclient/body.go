package leafclient

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// headLimiter bounds the bytes that are read from a connection for the head of a reply.
type headLimiter struct {
	source  io.Reader
	limited bool
	left    int
}

func (h *headLimiter) limit(bytes int) { h.limited, h.left = true, bytes }

func (h *headLimiter) unlimit() { h.limited = false }

// Read reads from the connection, and fails beyond the limit.
func (h *headLimiter) Read(b []byte) (int, error) {
	if !h.limited {
		return h.source.Read(b)
	}
	if h.left <= 0 {
		return 0, errors.New("headLimiter.Read: the reply's head has more bytes than the limit")
	}
	n, err := h.source.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}

// readBody reads the complete body of a reply to a request with a method. A body without a
// length ends with the connection; a reset makes it incomplete. The memory of a large body
// grows with the bytes that have come, not with the length that the server announces. The
// response's body is not closed: that would read the rest of it, which may have no end.
func (c *Client) readBody(method string, response *http.Response) ([]byte, error) {
	if method == http.MethodHead {
		return nil, nil
	}
	if response.ContentLength > maxReplyBytes {
		return nil, errors.Errorf("Client.readBody: the body has %d bytes, more than the limit", response.ContentLength)
	}
	if n := response.ContentLength; n >= 0 && n <= smallReplyBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, errors.Wrap(err, "Client.readBody")
	}
	var body bytes.Buffer
	large := int64(0)
	defer func() { c.bodyBytes.Add(-large) }()
	for {
		n, err := body.ReadFrom(io.LimitReader(response.Body, smallReplyBytes))
		switch {
		case err != nil:
			return nil, errors.Wrap(err, "Client.readBody")
		case n < smallReplyBytes:
			// ReadFrom ends early only at the end of the body; net/http reports a body that is
			// shorter than its length as an error.
			return body.Bytes(), nil
		case body.Len() > maxReplyBytes:
			return nil, errors.New("Client.readBody: the body has more bytes than the limit")
		}
		large += n
		if c.bodyBytes.Add(n) > c.bodyMemory {
			return nil, errors.New("Client.readBody: the bodies being read exceed the memory limit")
		}
	}
}
