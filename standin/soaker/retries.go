package soaker

import (
	"fmt"
	"slices"
	"time"
)

// boundedAttempts checks that a request runs on at most maxAttempts leafs of a service.
func boundedAttempts(h *history) []string {
	type target struct{ attempt, service string }
	leafs := map[target]map[string]bool{}
	for _, r := range h.runs {
		p := target{r.AttemptID, r.Service}
		if leafs[p] == nil {
			leafs[p] = map[string]bool{}
		}
		leafs[p][r.Leaf] = true
	}
	var over []string
	for p, set := range leafs {
		if len(set) > maxAttempts {
			over = append(over, fmt.Sprintf("%s ran on %d leafs of %s", p.attempt, len(set), p.service))
		}
	}
	if len(over) <= maxBreaches {
		return nil
	}
	return over
}

// boundedRetries checks that in each window the calls to a service beyond the first of each
// request stay within the retry budget: budgetSlack plus a share of the requests in this
// window, in the one before, or in one half a window earlier, whichever has most.
func boundedRetries(h *history) []string {
	type key struct{ attempt, service string }
	seen := map[key]bool{}
	extra := map[string][]time.Time{}
	for _, a := range h.calls {
		k := key{a.AttemptID, a.Service}
		if seen[k] {
			extra[a.Service] = append(extra[a.Service], a.ReceivedAt)
		}
		seen[k] = true
	}
	var bad []string
	for service, times := range extra {
		slices.SortFunc(times, time.Time.Compare)
		for i, end := range times {
			from := end.Add(-budgetWindow.Duration())
			n := 0
			for _, t := range times[:i+1] {
				if t.After(from) {
					n++
				}
			}
			requests := max(h.countRequests(service, from, end), h.countRequests(service, from.Add(-budgetWindow.Duration()), from),
				h.countRequests(service, from.Add(-budgetWindow.Duration()/2), end.Add(-budgetWindow.Duration()/2)))
			if limit := budgetRatio*float64(requests) + budgetSlack; float64(n) > limit {
				bad = append(bad, fmt.Sprintf("%s got %d calls beyond the first of %d requests", service, n, requests))
				break
			}
		}
	}
	return bad
}

// countRequests counts the requests sent between from and to on routes to a service.
func (h *history) countRequests(service string, from, to time.Time) int {
	n := 0
	for _, q := range h.sent {
		if q.sentAt.Before(from) || q.sentAt.After(to) {
			continue
		}
		if slices.ContainsFunc(h.allowedServices(q.route), func(set []string) bool { return slices.Contains(set, service) }) {
			n++
		}
	}
	return n
}

// remainingTime checks that leafs are told no more time left than the caller has.
func remainingTime(h *history) []string {
	var over []string
	for _, r := range h.runs {
		q := h.byAttempt[r.AttemptID]
		if q == nil || !h.isStable(q.vm, q.sentAt, r.ReceivedAt) {
			continue
		}
		if leafDeadline, callerDeadline := r.ReceivedAt.Add(r.TimeRemaining.Duration()), q.sentAt.Add(q.timeout.Duration()); leafDeadline.Sub(callerDeadline) > cancelTolerance.Duration() || r.TimeRemaining == 0 {
			over = append(over, fmt.Sprintf("%s reached a leaf with %d ms left", r.AttemptID, r.TimeRemaining))
		}
	}
	if len(over) <= max(toleratedOverruns, len(h.runs)/5) {
		return nil
	}
	return over
}

// noCallsAfterCallerLeft checks that leafs get no calls for a caller who has left.
func noCallsAfterCallerLeft(h *history) []string {
	var late []string
	for _, a := range h.calls {
		q := h.byAttempt[a.AttemptID]
		if q == nil || q.leftAt.IsZero() || !h.isStable(q.vm, q.leftAt, a.ReceivedAt) {
			continue
		}
		if a.ReceivedAt.Sub(q.leftAt) > cancelTolerance.Duration() {
			late = append(late, fmt.Sprintf("%s reached %s %v after its caller had left", a.AttemptID, a.Leaf, a.ReceivedAt.Sub(q.leftAt)))
		}
	}
	if len(late) <= maxBreaches {
		return nil
	}
	return late
}
