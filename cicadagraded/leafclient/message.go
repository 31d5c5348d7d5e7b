package leafclient

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Template is a request that is sent to several servers with few differences.
// Its common head is built once.
type Template struct {
	method string
	head   []byte
	body   []byte
}

// NewTemplate builds the common part. The headers must hold none that frame
// the body or concern the connection.
func NewTemplate(method, uri, host string, header http.Header, body []byte) *Template {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
	for name, values := range header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(body) > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	return &Template{method: method, head: b.Bytes(), body: body}
}

// RestoreTemplate returns a message from another VM's Head and Body.
func RestoreTemplate(method string, head, body []byte) *Template {
	return &Template{method: method, head: head, body: body}
}

// Head is the common part as it goes over the wire, without its end.
func (m *Template) Head() []byte { return m.head }

// Body is the body.
func (m *Template) Body() []byte { return m.body }

// Method is the request's method.
func (m *Template) Method() string { return m.method }

// Render returns the whole request with further headers.
func (m *Template) Render(headers ...[2]string) []byte {
	n := len(m.head) + len(m.body) + 2
	for _, h := range headers {
		n += len(h[0]) + len(h[1]) + 4
	}
	b := make([]byte, 0, n)
	b = append(b, m.head...)
	for _, h := range headers {
		b = append(b, h[0]...)
		b = append(b, ": "...)
		b = append(b, h[1]...)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, m.body...)
}

// readBody reads a whole body. One without a length is whole if its
// connection ends in order.
func readBody(method string, p *http.Response) ([]byte, error) {
	defer func() { _ = p.Body.Close() }()
	if method == http.MethodHead {
		return nil, nil
	}
	if p.ContentLength > maxReplyBytes {
		return nil, errors.Errorf("readBody: %d bytes are too many", p.ContentLength)
	}
	if p.ContentLength >= 0 {
		b := make([]byte, p.ContentLength)
		_, err := io.ReadFull(p.Body, b)
		return b, errors.Wrap(err, "readBody")
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxReplyBytes+1))
	if err == nil && len(b) > maxReplyBytes {
		err = errors.New("too many bytes")
	}
	return b, errors.Wrap(err, "readBody")
}

// keepAlive is how long a server keeps an idle connection, less a margin.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return min(time.Duration(float64(s)*idleShare*float64(time.Second)), idleLimit.Duration())
		}
	}
	return idleLimit.Duration()
}
