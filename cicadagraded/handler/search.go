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
	if err := h.readBody(c, &q); err != nil {
		return err
	}
	c.Set(requestIDKey, q.RequestID)
	end, ok := h.tracker.Begin("search " + q.RequestID)
	if !ok {
		return errors.WithStack(&overloadError{})
	}
	defer end()
	if err := q.validate(); err != nil {
		return errors.Wrap(err, "Handler.search")
	}
	p, err := h.lookUp(q.Profile, q.Set)
	if err != nil {
		return errors.Wrap(err, "Handler.search")
	}
	s := coordinator.NewSearch(q.RequestID, p, q.Set, q.Term, h.absoluteDeadline(p, q.DeadlineMs))
	result := h.front.Search(c.Request().Context(), s)
	w := searchResponse{
		commonFields:   commonFields{RequestID: q.RequestID, Rank: p.Rank().String()},
		Records:        []record{},
		Digest:         tier.Digest(nil),
		LeafCalls:      result.LeafCalls(),
		ExtraLeafCalls: result.ExtraCalls(),
	}
	status := h.fillOutcome(c, &w.commonFields, result.Outcome())
	w.fillResult(result.Outcome())
	h.observeRequest("search", w.Rank, w.Outcome, h.clock.Now()-started)
	return c.JSON(status, w)
}

// fillResult sets snapshot, coverage and records as far as the outcome has them.
func (w *searchResponse) fillResult(o tier.Outcome) {
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

// lookUp returns the profile, and an error unless the profile and the set exist.
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

// validate returns a *tier.InvalidError that lists all invalid fields.
func (q *searchRequest) validate() error {
	problems := validateCommon(q.RequestID, q.Profile, q.Set, q.DeadlineMs)
	if len(q.Term) == 0 || len(q.Term) > maxTermBytes {
		problems = append(problems, tier.NewFieldProblem("term", truncate(q.Term), "1 to 1024 bytes"))
	}
	return tier.NewInvalidError("request", problems)
}

// validateCommon lists the invalid ones of the fields that searches and bookings share.
func validateCommon(id, profile, set string, deadline *tier.Millis) []tier.FieldProblem {
	var problems []tier.FieldProblem
	if len(id) == 0 || len(id) > maxRequestIDBytes {
		problems = append(problems, tier.NewFieldProblem("request-id", truncate(id), "1 to 128 bytes"))
	}
	if !tier.ValidName(profile) {
		problems = append(problems, tier.NewFieldProblem("profile", truncate(profile), "the name of a profile"))
	}
	if !tier.ValidName(set) {
		problems = append(problems, tier.NewFieldProblem("set", truncate(set), "the name of a shard set"))
	}
	if deadline != nil && *deadline < 1 {
		problems = append(problems, tier.NewFieldProblem("deadline-ms", strconv.FormatInt(int64(*deadline), 10), "at least 1"))
	}
	return problems
}

// truncate shortens a caller's value for an error message.
func truncate(s string) string {
	const maxBytes = 64
	if len(s) > maxBytes {
		return s[:maxBytes] + "..."
	}
	return s
}
