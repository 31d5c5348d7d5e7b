package handler

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/acceptor"
	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/tier"
)

// notFoundError reports that a profile or set does not exist.
type notFoundError struct{ kind, name string }

func (e *notFoundError) Error() string { return "there is no " + e.kind + " " + e.name }

// noConfigurationError reports that this VM has no configuration yet.
type noConfigurationError struct{}

func (*noConfigurationError) Error() string { return "this VM has no configuration yet" }

// overloadError reports that this VM has reached its limit of requests in flight.
type overloadError struct{}

func (*overloadError) Error() string { return "this VM has as many requests in flight as it takes" }

// overloadRetryAfter is how long a caller should wait after an overloadError.
const overloadRetryAfter = 200 * tier.Millis(1)

// writeError writes the response to a request that was not accepted.
func (h *Handler) writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	w := errorResponse{commonFields: commonFields{VM: h.vm, Outcome: outcomeRefused}}
	w.RequestID, _ = c.Get(requestIDKey).(string)
	status := fillError(err, &w)
	if mayHaveRun, _ := c.Get(earlierSendingKey).(bool); mayHaveRun && w.Reason != "" {
		w.Outcome = outcomeUnknown
		w.Reason = string(tier.UnknownEarlier)
	}
	setRetryAfterHeader(c, w.RetryAfterMs)
	_ = c.JSON(status, w)
}

// Keys of the context values that writeError reads: the request id, and whether the same
// booking may have been sent, and run, before.
const (
	requestIDKey      = "request-id"
	earlierSendingKey = "earlier"
)

// fillError fills the response's error and returns its status code.
func fillError(err error, w *errorResponse) int {
	w.Error.Message = errors.Cause(err).Error()
	var (
		invalid   *tier.InvalidError
		malformed *malformedError
		notFound  *notFoundError
		tooLarge  *acceptor.TooLargeError
		late      *acceptor.TimeoutError
		noRoom    *acceptor.NoRoomError
		reused    *coordinator.KeyReusedError
		noConfig  *noConfigurationError
		overload  *overloadError
		httpErr   *echo.HTTPError
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
	case errors.As(err, &noRoom):
		w.Error.Code = "too-many-requests"
		w.Reason = string(tier.RefuseOverload)
		w.RetryAfterMs = overloadRetryAfter
		return http.StatusTooManyRequests
	case errors.As(err, &late):
		w.Error.Code = "body-too-slow"
		w.Error.Message = "the body did not come in time"
		return http.StatusRequestTimeout
	case errors.As(err, &malformed):
		w.Error.Code = "malformed-body"
		w.Error.Message = malformed.Error()
		return http.StatusBadRequest
	case errors.As(err, &notFound):
		w.Error.Code = "unknown-" + notFound.kind
		return http.StatusNotFound
	case errors.As(err, &reused):
		w.Error.Code = "idempotency-key-reused"
		return http.StatusUnprocessableEntity
	case errors.As(err, &noConfig):
		w.Error.Code = "no-configuration"
		w.Reason = string(tier.RefuseNoConfig)
		return http.StatusServiceUnavailable
	case errors.As(err, &overload):
		w.Error.Code = "too-many-requests"
		w.Reason = string(tier.RefuseOverload)
		w.RetryAfterMs = overloadRetryAfter
		return http.StatusTooManyRequests
	case errors.As(err, &httpErr):
		w.Error.Code = "no-such-route"
		w.Error.Message = http.StatusText(httpErr.Code)
		return httpErr.Code
	default:
		w.Error.Code = "internal"
		return http.StatusInternalServerError
	}
}
