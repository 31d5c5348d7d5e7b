// Package handler serves the HTTP API with JSON bodies for callers and operators.
package handler

import (
	"context"
	"math"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/acceptor"
	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/tier"
)

// Limits on the size of the fields of callers' requests.
const (
	maxRequestIDBytes   = 128
	maxTermBytes        = 1024
	maxRecordKeyBytes   = 256
	maxBookingBodyBytes = 32 << 10
)

// Configuration gives access to the configuration in force.
type Configuration interface {
	Profile(name string) (*tier.Profile, bool)
	Set(name string) (*tier.ShardSet, bool)
	// Ready reports whether any configuration is in force.
	Ready() bool
}

// Front runs callers' searches and bookings.
type Front interface {
	Search(ctx context.Context, s coordinator.Search) coordinator.SearchResult
	Book(ctx context.Context, b coordinator.Booking) (coordinator.BookingResult, error)
}

// RequestTracker tracks and limits callers' requests in flight.
type RequestTracker interface {
	// Begin registers a request and reports whether it may run; end must be called when it is
	// finished. The name is for logs.
	Begin(name string) (end func(), ok bool)
	// Ready reports whether the load balancer may send requests to this VM.
	Ready() bool
}

// Handler serves the HTTP API of one VM.
type Handler struct {
	vm             string
	clock          *tier.Clock
	config         Configuration
	front          Front
	tracker        RequestTracker
	status         StatusSource
	metrics        http.Handler
	observeRequest func(route, rank, outcome string, took tier.Millis)
	maxBodyBytes   int64

	bodyTimeout tier.Millis
}

// Option configures a handler.
type Option func(*Handler)

// WithMetrics sets the handler of GET /metrics.
func WithMetrics(m http.Handler) Option { return func(h *Handler) { h.metrics = m } }

// WithRequestObserver sets a function that is called when a search or a booking has ended.
func WithRequestObserver(f func(route, rank, outcome string, took tier.Millis)) Option {
	return func(h *Handler) { h.observeRequest = f }
}

// WithMaxBodyBytes limits the size of request bodies, in bytes.
func WithMaxBodyBytes(n int64) Option { return func(h *Handler) { h.maxBodyBytes = n } }

// WithBodyTimeout bounds the reading of a request's body.
func WithBodyTimeout(m tier.Millis) Option { return func(h *Handler) { h.bodyTimeout = m } }

// New returns the handler of the named VM.
func New(vm string, clock *tier.Clock, config Configuration, front Front, tracker RequestTracker, status StatusSource, opts ...Option) *Handler {
	h := &Handler{
		vm: vm, clock: clock, config: config, front: front, tracker: tracker, status: status,
		metrics:        http.NotFoundHandler(),
		observeRequest: func(string, string, string, tier.Millis) {},
		maxBodyBytes:   64 << 10,

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
	e.GET("/healthz/ready", h.showReadiness)
	e.GET("/metrics", echo.WrapHandler(h.metrics))
	return e
}

// showReadiness serves GET /healthz/ready.
func (h *Handler) showReadiness(c echo.Context) error {
	if !h.tracker.Ready() {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}
	if !h.config.Ready() {
		return c.String(http.StatusServiceUnavailable, "no configuration\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// readBody decodes the request's body into a wire type.
func (h *Handler) readBody(c echo.Context, into any) error {
	body, err := acceptor.ReadBody(c.Response(), c.Request(), h.maxBodyBytes, h.bodyTimeout)
	if err == nil {
		return errors.Wrap(decode(body, into), "Handler.readBody")
	}
	var tooLarge *acceptor.TooLargeError
	var late *acceptor.TimeoutError
	var noRoom *acceptor.NoRoomError
	if errors.As(err, &tooLarge) || errors.As(err, &late) || errors.As(err, &noRoom) {
		c.Response().Header().Set("Connection", "close")
		return errors.Wrap(err, "Handler.readBody")
	}
	return errors.WithStack(&malformedError{cause: err}) // framing, or a body that ends early
}

// absoluteDeadline returns the time by which a request has to be answered. requested is the
// deadline in the request, nil for the profile's default.
func (h *Handler) absoluteDeadline(p *tier.Profile, requested *tier.Millis) tier.Millis {
	d := p.Deadline()
	if requested != nil {
		d = min(*requested, p.MaxDeadline())
	}
	return h.clock.Now() + d
}

// setRetryAfterHeader sets the Retry-After header, rounded up to whole seconds as the header
// requires.
func setRetryAfterHeader(c echo.Context, m tier.Millis) {
	if m > 0 {
		s := int64(math.Ceil(float64(m) / float64(tier.Second)))
		c.Response().Header().Set("Retry-After", strconv.FormatInt(s, 10))
	}
}

// Names of outcomes in the API.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused-not-run"
	outcomeUnknown  = "unknown"
)

// fillOutcome fills the common fields of a response from an outcome and returns its status
// code.
func (h *Handler) fillOutcome(c echo.Context, w *commonFields, o tier.Outcome) int {
	w.VM = h.vm
	switch o := o.(type) {
	case *tier.Answered, *tier.Booked:
		w.Outcome = outcomeAnswered
		return http.StatusOK
	case *tier.Refused:
		w.Outcome = outcomeRefused
		w.Reason = string(o.Reason())
		w.RetryAfterMs = retryAfter(o)
		setRetryAfterHeader(c, w.RetryAfterMs)
		return refusedStatus(o.Reason())
	case *tier.Unknown:
		w.Outcome = outcomeUnknown
		w.Reason = string(o.Reason())
		if r, ok := o.Refusal(); ok {
			w.RetryAfterMs = r.RetryAfter()
			setRetryAfterHeader(c, r.RetryAfter())
		}
		return unknownStatus(o.Reason())
	default:
		w.Outcome = outcomeUnknown
		return http.StatusInternalServerError
	}
}

// retryAfter returns how long a caller should wait after a refusal. If nothing could run the
// request and the refusal gives no time, it is the time within which failures are detected.
func retryAfter(r *tier.Refused) tier.Millis {
	if r.RetryAfter() > 0 {
		return r.RetryAfter()
	}
	switch r.Reason() {
	case tier.RefuseUnreachable, tier.RefuseNoReplica, tier.RefuseNoOwner, tier.RefuseNoConfig, tier.RefuseNoStore, tier.RefuseByServer:
		return unreachableRetryAfter
	default:
		return 0
	}
}

// unreachableRetryAfter is how long a caller should wait while a needed component is
// unreachable.
const unreachableRetryAfter = 2 * tier.Second

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
