package handler

import (
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/tier"
)

// book serves POST /v1/book.
func (h *Handler) book(c echo.Context) error {
	started := h.clock.Now()
	var q bookRequest
	c.Set(earlierSendingKey, true) // until the body tells
	if err := h.readBody(c, &q); err != nil {
		return err
	}
	c.Set(requestIDKey, q.RequestID)
	c.Set(earlierSendingKey, q.IdempotencyKey != "" && !q.FirstSending)
	end, ok := h.tracker.Begin("book " + q.RequestID)
	if !ok {
		return errors.WithStack(&overloadError{})
	}
	defer end()
	if err := q.validate(); err != nil {
		return errors.Wrap(err, "Handler.book")
	}
	p, err := h.lookUp(q.Profile, q.Set)
	if err != nil {
		return errors.Wrap(err, "Handler.book")
	}
	b := coordinator.NewBooking(q.RequestID, p, q.Set, q.RecordKey, q.Body, h.absoluteDeadline(p, q.DeadlineMs), coordinator.WithIdempotencyKey(q.IdempotencyKey, q.FirstSending))
	result, err := h.front.Book(c.Request().Context(), b)
	if err != nil {
		return errors.Wrap(err, "Handler.book")
	}
	w := bookResponse{
		commonFields:   commonFields{RequestID: q.RequestID, Rank: p.Rank().String()},
		IdempotencyKey: result.IdempotencyKey(),
	}
	status := h.fillOutcome(c, &w.commonFields, result.Outcome())
	if o, ok := result.Outcome().(*tier.Booked); ok {
		w.Receipt = o.Receipt()
		w.Repeated = o.Repeated()
	}
	if epoch, shard, ok := result.ExecutedOn(); ok {
		w.Snapshot = wireSnapshot(tier.NewSnapshot(epoch, 0))
		w.Coverage = wireCoverage(tier.NewCoverage([]string{shard}, nil))
	}
	h.observeRequest("book", w.Rank, w.Outcome, h.clock.Now()-started)
	return c.JSON(status, w)
}

// validate returns a *tier.InvalidError that lists all invalid fields.
func (q *bookRequest) validate() error {
	problems := validateCommon(q.RequestID, q.Profile, q.Set, q.DeadlineMs)
	if len(q.RecordKey) == 0 || len(q.RecordKey) > maxRecordKeyBytes {
		problems = append(problems, tier.NewFieldProblem("record-key", truncate(q.RecordKey), "1 to 256 bytes"))
	}
	if len(q.Body) > maxBookingBodyBytes {
		problems = append(problems, tier.NewFieldProblem("body", truncate(q.Body), "at most 32768 bytes"))
	}
	return tier.NewInvalidError("request", problems)
}
