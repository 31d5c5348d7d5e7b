// Package etcdgateway speaks to the platform's key-value service in the
// published JSON gateway format of etcd v3, over net/http. It uses only
// single-key compare-and-swap, leases and watches.
package etcdgateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// DefaultTimeout bounds a call other than Watch.
const DefaultTimeout = 2 * tier.Second

const (
	maxIdleConnections = 4
	maxAnswer          = 64 << 20
	maxErrorText       = 4096
)

// Gateway is a storer.Store over the JSON gateway. It is safe for concurrent
// use.
type Gateway struct {
	base     string
	timeout  tier.Millis
	client   *http.Client
	observer func(call string, err error)
}

var _ storer.Store = (*Gateway)(nil)

// Option sets one field of a gateway.
type Option func(*Gateway)

// WithTimeout bounds each call other than Watch.
func WithTimeout(m tier.Millis) Option { return func(g *Gateway) { g.timeout = m } }

// WithObserver has observe called after each call with its name: get, list,
// swap, delete, grant, keep-alive or watch. It must be safe for concurrent
// use.
func WithObserver(observe func(call string, err error)) Option {
	return func(g *Gateway) { g.observer = observe }
}

// New returns a store at an address such as "127.0.0.1:2379" or
// "http://127.0.0.1:2379".
func New(address string, opts ...Option) *Gateway {
	g := &Gateway{}
	g.Defaults()
	g.base = strings.TrimSuffix(address, "/")
	if !strings.Contains(g.base, "://") {
		g.base = "http://" + g.base
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Defaults sets the timeout, an HTTP client of its own and no observer.
func (g *Gateway) Defaults() {
	g.timeout = DefaultTimeout
	dialer := &net.Dialer{Timeout: DefaultTimeout.Duration()}
	g.client = &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     tier.Minute.Duration(),
	}}
	g.observer = func(string, error) {}
}

// Close drops idle connections.
func (g *Gateway) Close() { g.client.CloseIdleConnections() }

// StatusError is an error answer of the store.
type StatusError struct {
	status  int
	message string
}

// Status is the HTTP status code.
func (e *StatusError) Status() int { return e.status }

// Error gives the status and the store's message.
func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d: %s", e.status, e.message) }

// read posts a request that changes nothing: any failure is an
// *storer.UnavailableError.
func (g *Gateway) read(ctx context.Context, call, path string, request, reply any) error {
	_, err := g.post(ctx, path, request, reply)
	if err != nil {
		err = errors.WithStack(storer.NewUnavailableError(call, err))
	}
	g.observer(call, err)
	return err
}

// write posts a request that may change the store: a failure after the
// request may have been sent is an *storer.UnsureError.
func (g *Gateway) write(ctx context.Context, call, path string, request, reply any) error {
	sent, err := g.post(ctx, path, request, reply)
	switch {
	case err == nil:
	case sent && !rejected(err):
		err = errors.WithStack(storer.NewUnsureError(call, err))
	default:
		err = errors.WithStack(storer.NewUnavailableError(call, err))
	}
	g.observer(call, err)
	return err
}

// rejected reports an answer that says that the request was not carried
// out. A timeout or a status of 500 or more leaves that open.
func rejected(err error) bool {
	var e *StatusError
	return errors.As(err, &e) && e.status >= 400 && e.status < 500 && e.status != http.StatusRequestTimeout
}

// post sends one request and reads its answer. It reports whether the
// request may have reached the store.
func (g *Gateway) post(ctx context.Context, path string, request, reply any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, g.timeout.Duration())
	defer cancel()
	var sent atomic.Bool
	body, err := g.open(ctx, path, request, &sent)
	if err != nil {
		return sent.Load(), err
	}
	defer body.Close()
	err = json.NewDecoder(io.LimitReader(body, maxAnswer)).Decode(reply)
	return true, err
}

// open sends one request and returns the body of a good answer.
func (g *Gateway) open(ctx context.Context, path string, request any, sent *atomic.Bool) (io.ReadCloser, error) {
	b, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, g.base+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := g.client.Do(r)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		defer answer.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorText))
		return nil, &StatusError{status: answer.StatusCode, message: strings.TrimSpace(string(text))}
	}
	return answer.Body, nil
}
