package soaker

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"

	"cicadagrade.example/standin/responder"
)

// completeReplies checks that each successful reply has valid signatures of the services of
// one version, the greatest records of these, and the number of missing parts.
func completeReplies(h *history) []string {
	var bad []string
	for _, q := range h.sent {
		if q.endedAt.IsZero() || !q.served() {
			continue
		}
		if defect := replyDefect(h, q); defect != "" {
			bad = append(bad, fmt.Sprintf("%s %s from %s: %s", q.attempt, q.path, q.vm, defect))
		}
	}
	return bad
}

// replyDefect says what is wrong with a successful reply, or returns "".
func replyDefect(h *history, q *request) string {
	var services []string
	for _, p := range responder.Signatures(q.header) {
		s, ok := responder.VerifySignature(p, q.attempt)
		if !ok || slices.Contains(services, s) {
			return "the signature " + p + " is not for this request, or comes twice"
		}
		services = append(services, s)
	}
	if len(services) == 0 {
		return "the reply has no signature"
	}
	if q.route != routeSweep {
		if len(services) != 1 || !bytes.Equal(q.body, responder.Records(services[0], q.path)) {
			return "the body is not the leaf's"
		}
		return ""
	}
	missing, err := responder.MissingParts(q.header)
	if err != nil {
		return err.Error()
	}
	complete := slices.ContainsFunc(h.allowedServices(q.route), func(set []string) bool {
		subset := !slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(set, s) })
		return subset && len(services)+missing == len(set) && float64(len(services)) >= minShardShare*float64(len(set))
	})
	if !complete {
		return fmt.Sprintf("%d parts and %d missing match no version of the configuration", len(services), missing)
	}
	if !bytes.Equal(q.body, responder.TopRecords(topRecords, q.path, services...)) {
		return "the records are not the greatest"
	}
	return ""
}

// requestedRuns checks that leafs run only requests that callers have sent, unchanged.
func requestedRuns(h *history) []string {
	var bad []string
	for _, r := range h.runs {
		q := h.byAttempt[r.AttemptID]
		if q == nil || q.method != r.Method || q.path != r.Path {
			bad = append(bad, fmt.Sprintf("%s ran %s %s %q", r.Leaf, r.Method, r.Path, r.AttemptID))
		}
	}
	return bad
}

// singleRuns checks that non-idempotent requests run at most once.
func singleRuns(h *history) []string {
	var bad []string
	for attempt, n := range h.runCounts() {
		if q := h.byAttempt[attempt]; q != nil && q.atMostOnce && n > 1 {
			bad = append(bad, fmt.Sprintf("%s ran %d times", attempt, n))
		}
	}
	return bad
}

// runCounts counts the runs of each attempt.
func (h *history) runCounts() map[string]int {
	n := map[string]int{}
	for _, r := range h.runs {
		n[r.AttemptID]++
	}
	return n
}

// refusedNotRun checks that no non-idempotent request runs, before or after, whose caller
// got 429 or 503: these statuses say that it has not run.
func refusedNotRun(h *history) []string {
	var bad []string
	n := h.runCounts()
	for _, q := range h.sent {
		refused := q.status == http.StatusTooManyRequests || q.status == http.StatusServiceUnavailable
		if q.atMostOnce && refused && n[q.attempt] > 0 {
			bad = append(bad, fmt.Sprintf("%s got %d and ran", q.attempt, q.status))
		}
	}
	return bad
}

// routedServices checks that a service runs only requests whose route leads to it in some
// version of the configuration.
func routedServices(h *history) []string {
	var bad []string
	for _, r := range h.runs {
		q := h.byAttempt[r.AttemptID]
		if q == nil {
			continue
		}
		ok := slices.ContainsFunc(h.allowedServices(q.route), func(set []string) bool { return slices.Contains(set, r.Service) })
		if !ok {
			bad = append(bad, fmt.Sprintf("%s of route %s ran at %s", r.AttemptID, q.route, r.Service))
		}
	}
	return bad
}
