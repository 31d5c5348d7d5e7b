package acceptor

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

const (
	// uncountedBodyBytes is the part of each body that does not count towards the limit of bytes. The limit on
	// connections bounds it.
	uncountedBodyBytes = 4 << 10
	// bodyGrowth is the factor by which the buffer of a body grows.
	bodyGrowth = 4
)

// TooLargeError reports a body with more bytes than allowed.
type TooLargeError struct{ limit int64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the body has more than %d bytes", e.limit)
}

// Limit is the most bytes that a body may have.
func (e *TooLargeError) Limit() int64 { return e.limit }

// NoRoomError reports that there is no memory for a body, or that others needed it more.
type NoRoomError struct{ evicted bool }

func (e *NoRoomError) Error() string {
	if e.evicted {
		return "the body's memory went to other callers"
	}
	return "there is no memory for the body"
}

// TimeoutError reports a body that has not come completely in time.
type TimeoutError struct{ after tier.Millis }

func (e *TimeoutError) Error() string { return "the body has not come completely in time" }

// After is how long the process has waited.
func (e *TimeoutError) After() tier.Millis { return e.after }

// ReadBody reads the complete body of a request, of maxBytes at most, within timeout. The error is a *TooLargeError,
// a *NoRoomError, a *TimeoutError or one of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64, timeout tier.Millis) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > maxBytes {
		return nil, errors.WithStack(&TooLargeError{limit: maxBytes})
	}
	c := connOf(r)
	if c != nil {
		c.acceptor.receive(c)
		c.setReadingBody(true)
		defer c.setReadingBody(false)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout.Duration())) // not supported by test recorders
	body, err := readAll(c, r.Body, r.ContentLength, maxBytes)
	switch {
	case err == nil && c != nil && !c.acceptor.serve(c), c != nil && c.isEvicted():
		return nil, errors.WithStack(&NoRoomError{evicted: true})
	case err == nil:
		// The deadline would end the request's context while it is being served.
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errors.WithStack(&TimeoutError{after: timeout})
	}
	return nil, errors.Wrap(err, "ReadBody")
}

// readAll reads a body into a buffer that grows with the bytes that have come. It reserves the memory of a body whose
// length is announced at once, so that of many large bodies some come to their end, and otherwise as the buffer grows.
// length is -1 if it was not announced.
func readAll(c *conn, from io.Reader, length, maxBytes int64) ([]byte, error) {
	limit := maxBytes
	if length >= 0 {
		limit = length
	}
	reserved := int64(uncountedBodyBytes)
	body := make([]byte, 0, min(limit, uncountedBodyBytes)+1)
	for {
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBytes:
			return nil, &TooLargeError{limit: maxBytes}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		grown := min(limit, int64(cap(body))*bodyGrowth)
		needed := grown
		if length >= 0 {
			needed = length
		}
		if needed > reserved && c != nil && !c.acceptor.grow(c, needed-reserved) {
			c.acceptor.refused.Add(1)
			return nil, &NoRoomError{}
		}
		reserved = max(reserved, needed)
		body = append(make([]byte, 0, grown+1), body...)
	}
}
