package handler

import (
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/tier"
)

// search serves POST /v1/search.
func (h *Handler) search(c echo.Context) error {
	started := h.clock.Now()
	var q searchRequest
	if err := h.read(c, &q); err != nil {
		return err
	}
	c.Set(requestIDKey, q.RequestID)
	end, ok := h.admission.Begin("search " + q.RequestID)
	if !ok {
		return errors.WithStack(&busyError{})
	}
	defer end()
	if err := q.validate(); err != nil {
		return errors.Wrap(err, "Handler.search")
	}
	p, err := h.lookUp(q.Profile, q.Set)
	if err != nil {
		return errors.Wrap(err, "Handler.search")
	}
	s := coordinator.NewSearch(q.RequestID, p, q.Set, q.Term, h.deadline(p, q.DeadlineMs))
	a := h.front.Search(c.Request().Context(), s)
	w := searchResponse{
		common:         common{RequestID: q.RequestID, Rank: p.Rank().String()},
		Records:        []record{},
		Digest:         tier.Digest(nil),
		LeafCalls:      a.LeafCalls(),
		ExtraLeafCalls: a.ExtraCalls(),
	}
	status := h.describe(c, &w.common, a.Outcome())
	w.fill(a.Outcome())
	h.ended("search", w.Rank, w.Outcome, h.clock.Now()-started)
	return c.JSON(status, w)
}

// fill adds what the outcome knows of snapshot, coverage and records.
func (w *searchResponse) fill(o tier.Outcome) {
	switch o := o.(type) {
	case *tier.Answered:
		w.Snapshot = wireSnapshot(o.Snapshot())
		w.Coverage = wireCoverage(o.Coverage())
		w.Records = wireRecords(o.Records())
		w.Count = len(o.Records())
		w.Digest = tier.Digest(o.Records())
	case *tier.Unknown:
		if s, c, ok := o.Partial(); ok {
			w.Snapshot = wireSnapshot(s)
			w.Coverage = wireCoverage(c)
		}
	}
}

// lookUp finds the profile and checks that the set exists.
func (h *Handler) lookUp(profile, set string) (*tier.Profile, error) {
	if !h.config.Ready() {
		return nil, &noConfigurationError{}
	}
	p, ok := h.config.Profile(profile)
	if !ok {
		return nil, &notFoundError{kind: "profile", name: profile}
	}
	if _, ok := h.config.Set(set); !ok {
		return nil, &notFoundError{kind: "set", name: set}
	}
	return p, nil
}

func (q *searchRequest) validate() error {
	l := checkCommon(q.RequestID, q.Profile, q.Set, q.DeadlineMs)
	if len(q.Term) == 0 || len(q.Term) > maxTerm {
		l = append(l, tier.NewFieldProblem("term", shorten(q.Term), "1 to 1024 bytes"))
	}
	return tier.NewInvalidError("request", l)
}

// checkCommon checks the fields that searches and bookings share.
func checkCommon(id, profile, set string, deadline *tier.Millis) []tier.FieldProblem {
	var l []tier.FieldProblem
	if len(id) == 0 || len(id) > maxRequestID {
		l = append(l, tier.NewFieldProblem("request-id", shorten(id), "1 to 128 bytes"))
	}
	if !tier.ValidName(profile) {
		l = append(l, tier.NewFieldProblem("profile", shorten(profile), "the name of a profile"))
	}
	if !tier.ValidName(set) {
		l = append(l, tier.NewFieldProblem("set", shorten(set), "the name of a shard set"))
	}
	if deadline != nil && *deadline < 1 {
		l = append(l, tier.NewFieldProblem("deadline-ms", strconv.FormatInt(int64(*deadline), 10), "at least 1"))
	}
	return l
}

// shorten keeps error messages small whatever a caller sent.
func shorten(s string) string {
	const most = 64
	if len(s) > most {
		return s[:most] + "..."
	}
	return s
}
