// Package handler serves callers and operators over HTTP with JSON bodies.
package handler

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/tier"
)

// Bounds of callers' fields.
const (
	maxRequestID  = 128
	maxTerm       = 1024
	maxRecordKey  = 256
	maxBookedBody = 32 << 10
)

// Configuration is what the handlers read of the operators' documents.
type Configuration interface {
	Profile(name string) (*tier.Profile, bool)
	Set(name string) (*tier.ShardSet, bool)
	// Ready reports whether any configuration is in force.
	Ready() bool
}

// Front runs callers' requests.
type Front interface {
	Search(ctx context.Context, s coordinator.Search) coordinator.SearchResult
	Book(ctx context.Context, b coordinator.Booking) (coordinator.BookingResult, error)
}

// RequestTracker bounds callers' requests in flight, and counts them.
type RequestTracker interface {
	// Begin reports whether another request may start; end is called when it
	// is over. The name is for logs.
	Begin(name string) (end func(), ok bool)
	// Ready reports whether the balancer may send work here.
	Ready() bool
}

// Handler serves one VM's callers.
type Handler struct {
	vm        string
	clock     *tier.Clock
	config    Configuration
	front     Front
	admission RequestTracker
	status    StatusSource
	metrics   http.Handler
	ended     func(route, rank, outcome string, took tier.Millis)
	maxBody   int64

	bodyTimeout tier.Millis
}

// Option sets one part of a handler.
type Option func(*Handler)

// WithMetrics sets what GET /metrics serves.
func WithMetrics(m http.Handler) Option { return func(h *Handler) { h.metrics = m } }

// WithRequestObserver sets what is told of each request that ended.
func WithRequestObserver(f func(route, rank, outcome string, took tier.Millis)) Option {
	return func(h *Handler) { h.ended = f }
}

// WithMaxBodyBytes sets the largest body of a request, in bytes.
func WithMaxBodyBytes(n int64) Option { return func(h *Handler) { h.maxBody = n } }

// WithBodyTimeout bounds the reading of a request's body.
func WithBodyTimeout(m tier.Millis) Option { return func(h *Handler) { h.bodyTimeout = m } }

// New returns the handler of the named VM.
func New(vm string, clock *tier.Clock, config Configuration, front Front, admission RequestTracker, status StatusSource, opts ...Option) *Handler {
	h := &Handler{
		vm: vm, clock: clock, config: config, front: front, admission: admission, status: status,
		metrics: http.NotFoundHandler(),
		ended:   func(string, string, string, tier.Millis) {},
		maxBody: 64 << 10,

		bodyTimeout: 10 * tier.Second,
	}
	for _, o := range opts {
		o(h)
	}
	return h
}

// Routes returns the HTTP handler of every route.
func (h *Handler) Routes() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = h.writeError
	e.POST("/v1/search", h.search)
	e.POST("/v1/book", h.book)
	e.GET("/v1/status", h.showStatus)
	e.GET("/healthz/live", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	e.GET("/healthz/ready", h.ready)
	e.GET("/metrics", echo.WrapHandler(h.metrics))
	return e
}

func (h *Handler) ready(c echo.Context) error {
	if !h.admission.Ready() {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}
	if !h.config.Ready() {
		return c.String(http.StatusServiceUnavailable, "no configuration\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// read decodes the request's body into a wire type. Once the body is there the
// connection's deadline is lifted: the server would take its end for a caller
// who has gone.
func (h *Handler) read(c echo.Context, into any) error {
	r := c.Request()
	conn := http.NewResponseController(c.Response())
	_ = conn.SetReadDeadline(time.Now().Add(h.bodyTimeout.Duration()))
	r.Body = http.MaxBytesReader(c.Response(), r.Body, h.maxBody)
	if err := decode(r.Body, into); err != nil {
		return errors.Wrap(err, "Handler.read")
	}
	_ = conn.SetReadDeadline(time.Time{})
	return nil
}

// deadline is the absolute deadline of a request under its profile.
func (h *Handler) deadline(p *tier.Profile, asked *tier.Millis) tier.Millis {
	d := p.Deadline()
	if asked != nil {
		d = min(*asked, p.MaxDeadline())
	}
	return h.clock.Now() + d
}

// setRetryAfter tells the caller when to come back, in whole seconds as the
// header wants it.
func setRetryAfter(c echo.Context, m tier.Millis) {
	if m > 0 {
		s := int64(math.Ceil(float64(m) / float64(tier.Second)))
		c.Response().Header().Set("Retry-After", strconv.FormatInt(s, 10))
	}
}

// outcomeNames of the API.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused-not-run"
	outcomeUnknown  = "unknown"
)

// describe fills the common part of a response and picks its status code.
func (h *Handler) describe(c echo.Context, w *common, o tier.Outcome) int {
	w.VM = h.vm
	switch o := o.(type) {
	case *tier.Answered, *tier.Booked:
		w.Outcome = outcomeAnswered
		return http.StatusOK
	case *tier.Refused:
		w.Outcome = outcomeRefused
		w.Reason = string(o.Reason())
		w.RetryAfterMs = retryAfter(o)
		setRetryAfter(c, w.RetryAfterMs)
		return refusedStatus(o.Reason())
	case *tier.Unknown:
		w.Outcome = outcomeUnknown
		w.Reason = string(o.Reason())
		if r, ok := o.Refusal(); ok {
			w.RetryAfterMs = r.RetryAfter()
			setRetryAfter(c, r.RetryAfter())
		}
		return unknownStatus(o.Reason())
	default:
		w.Outcome = outcomeUnknown
		return http.StatusInternalServerError
	}
}

// retryAfter is when to come back after a refusal. Where nobody could run the
// request, and no time can be told, that is when failures are noticed at the
// latest.
func retryAfter(r *tier.Refused) tier.Millis {
	if r.RetryAfter() > 0 {
		return r.RetryAfter()
	}
	switch r.Reason() {
	case tier.RefuseUnreachable, tier.RefuseNoReplica, tier.RefuseNoOwner, tier.RefuseNoConfig, tier.RefuseNoStore, tier.RefuseByServer:
		return lostRetryAfter
	default:
		return 0
	}
}

// lostRetryAfter is when to come back while something can't be reached.
const lostRetryAfter = 2 * tier.Second

func refusedStatus(r tier.RefuseReason) int {
	switch r {
	case tier.RefuseKeyExpired:
		return http.StatusGone
	case tier.RefuseOverload:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

func unknownStatus(r tier.UnknownReason) int {
	if r == tier.UnknownInProgress {
		return http.StatusConflict
	}
	return http.StatusGatewayTimeout
}
