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
	if err := h.read(c, &q); err != nil {
		return err
	}
	c.Set(requestIDKey, q.RequestID)
	c.Set(earlierKey, q.IdempotencyKey != "" && !q.FirstSending)
	end, ok := h.admission.Begin("book " + q.RequestID)
	if !ok {
		return errors.WithStack(&busyError{})
	}
	defer end()
	if err := q.validate(); err != nil {
		return errors.Wrap(err, "Handler.book")
	}
	p, err := h.lookUp(q.Profile, q.Set)
	if err != nil {
		return errors.Wrap(err, "Handler.book")
	}
	b := coordinator.NewBooking(q.RequestID, p, q.Set, q.RecordKey, q.Body, h.deadline(p, q.DeadlineMs), coordinator.WithIdempotencyKey(q.IdempotencyKey, q.FirstSending))
	r, err := h.front.Book(c.Request().Context(), b)
	if err != nil {
		return errors.Wrap(err, "Handler.book")
	}
	w := bookResponse{
		common:         common{RequestID: q.RequestID, Rank: p.Rank().String()},
		IdempotencyKey: r.IdempotencyKey(),
	}
	status := h.describe(c, &w.common, r.Outcome())
	if o, ok := r.Outcome().(*tier.Booked); ok {
		w.Receipt = o.Receipt()
		w.Repeated = o.Repeated()
	}
	if epoch, shard, ok := r.ExecutedOn(); ok {
		w.Snapshot = wireSnapshot(tier.NewSnapshot(epoch, 0))
		w.Coverage = wireCoverage(tier.NewCoverage([]string{shard}, nil))
	}
	h.ended("book", w.Rank, w.Outcome, h.clock.Now()-started)
	return c.JSON(status, w)
}

func (q *bookRequest) validate() error {
	l := checkCommon(q.RequestID, q.Profile, q.Set, q.DeadlineMs)
	if len(q.RecordKey) == 0 || len(q.RecordKey) > maxRecordKey {
		l = append(l, tier.NewFieldProblem("record-key", shorten(q.RecordKey), "1 to 256 bytes"))
	}
	if len(q.Body) > maxBookedBody {
		l = append(l, tier.NewFieldProblem("body", shorten(q.Body), "at most 32768 bytes"))
	}
	return tier.NewInvalidError("request", l)
}
