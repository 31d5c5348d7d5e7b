package leafclient

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Template is a request that goes to several servers with a few different headers. Its
// common part is encoded once.
type Template struct {
	method string
	head   []byte
	body   []byte
}

// NewTemplate returns a template with the common part of a request. The header must contain
// neither Content-Length nor hop-by-hop headers.
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

// RestoreTemplate rebuilds a template from its Method, Head and Body as sent by another VM.
func RestoreTemplate(method string, head, body []byte) *Template {
	return &Template{method: method, head: head, body: body}
}

// Head is the encoded request line and common headers, without the final empty line.
func (t *Template) Head() []byte { return t.head }

// Body is the request's body.
func (t *Template) Body() []byte { return t.body }

// Method is the request's method.
func (t *Template) Method() string { return t.method }

// copiedBodyBytes is the longest body that is copied into each call, to be written at once with its header. Calls share
// longer ones.
const copiedBodyBytes = 4 << 10

// Call returns the call of the request, with the given headers added.
func (t *Template) Call(headers ...[2]string) Call {
	copied, rest := t.body, []byte(nil)
	if len(t.body) > copiedBodyBytes {
		copied, rest = nil, t.body
	}
	n := len(t.head) + len(copied) + 2
	for _, h := range headers {
		n += len(h[0]) + len(h[1]) + 4
	}
	b := make([]byte, 0, n)
	b = append(b, t.head...)
	for _, h := range headers {
		b = append(b, h[0]...)
		b = append(b, ": "...)
		b = append(b, h[1]...)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return Call{Method: t.method, Request: append(b, copied...), Rest: rest}
}

// keepAliveTimeout returns how long an idle connection may be reused: a fraction of the
// timeout in the server's Keep-Alive header, and at most maxIdleTime.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 {
			return min(time.Duration(float64(s)*keepAliveFraction*float64(time.Second)), maxIdleTime.Duration())
		}
	}
	return maxIdleTime.Duration()
}
