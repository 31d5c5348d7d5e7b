package handler

import (
	"net/http"
	"os"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/tier"
)

// notFoundError says that a profile or set does not exist.
type notFoundError struct{ kind, name string }

func (e *notFoundError) Error() string { return "there is no " + e.kind + " " + e.name }

// noConfigurationError says that this VM has no configuration yet.
type noConfigurationError struct{}

func (*noConfigurationError) Error() string { return "this VM has no configuration yet" }

// busyError says that this VM has as many requests in flight as it takes.
type busyError struct{}

func (*busyError) Error() string { return "this VM has as many requests in flight as it takes" }

// busyRetryAfter is when a caller may try again after a busyError.
const busyRetryAfter = 200 * tier.Millis(1)

// writeError answers a request that was not accepted.
func (h *Handler) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	w := errorResponse{common: common{VM: h.vm, Outcome: outcomeRefused}}
	w.RequestID, _ = c.Get(requestIDKey).(string)
	status := describeError(err, &w)
	if earlier, _ := c.Get(earlierKey).(bool); earlier && w.Reason != "" {
		w.Outcome = outcomeUnknown
		w.Reason = string(tier.UnknownEarlier)
	}
	setRetryAfter(c, w.RetryAfterMs)
	_ = c.JSON(status, w)
}

// Keys of what a handler notes for error responses: the request id, and
// whether an earlier sending of the same booking may have run.
const (
	requestIDKey = "request-id"
	earlierKey   = "earlier"
)

// describeError picks the status code and fills the body.
func describeError(err error, w *errorResponse) int {
	w.Error.Message = errors.Cause(err).Error()
	var (
		invalid   *tier.InvalidError
		malformed *malformedError
		missing   *notFoundError
		tooLarge  *http.MaxBytesError
		reused    *coordinator.KeyReusedError
		noConfig  *noConfigurationError
		busy      *busyError
		routed    *echo.HTTPError
	)
	switch {
	case errors.As(err, &invalid):
		w.Error.Code = "invalid-request"
		for _, p := range invalid.Problems() {
			w.Error.Fields = append(w.Error.Fields, fieldError{Path: p.Path(), Value: p.Value(), Allowed: p.Allowed()})
		}
		return http.StatusBadRequest
	case errors.As(err, &tooLarge):
		w.Error.Code = "body-too-large"
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Error.Code = "body-too-slow"
		w.Error.Message = "the body did not come in time"
		return http.StatusRequestTimeout
	case errors.As(err, &malformed):
		w.Error.Code = "malformed-body"
		w.Error.Message = malformed.Error()
		return http.StatusBadRequest
	case errors.As(err, &missing):
		w.Error.Code = "unknown-" + missing.kind
		return http.StatusNotFound
	case errors.As(err, &reused):
		w.Error.Code = "idempotency-key-reused"
		return http.StatusUnprocessableEntity
	case errors.As(err, &noConfig):
		w.Error.Code = "no-configuration"
		w.Reason = string(tier.RefuseNoConfig)
		return http.StatusServiceUnavailable
	case errors.As(err, &busy):
		w.Error.Code = "too-many-requests"
		w.Reason = string(tier.RefuseOverload)
		w.RetryAfterMs = busyRetryAfter
		return http.StatusTooManyRequests
	case errors.As(err, &routed):
		w.Error.Code = "no-such-route"
		w.Error.Message = http.StatusText(routed.Code)
		return routed.Code
	default:
		w.Error.Code = "internal"
		return http.StatusInternalServerError
	}
}
