package soaker

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"time"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// Guarantees of the deployment under test. The settings of its VMs and its configuration
// have the same values.
const (
	// stableWindow is how long a VM must have been undisturbed before timed checks judge it.
	stableWindow = 5 * tier.Second
	// configurationBound is how long a confirmed version may take to reach every VM.
	configurationBound = 4 * tier.Second
	// drainBound is how long VMs may go on calling a leaf after it registered as draining.
	drainBound    = 4 * tier.Second
	gracePeriod   = 6 * tier.Second
	recoveryBound = 12 * tier.Second
	budgetWindow  = 10 * tier.Second
	budgetRatio   = 0.2
	budgetSlack   = 54
	memoryLimitMB = 284
	minShardShare = 0.75
	topRecords    = 5
	maxAttempts   = 2
	// cancelTolerance is how long leafs may still get calls after the caller has left, and
	// how far the time left that they are told may exceed the caller's.
	cancelTolerance = 500 * tier.Millisecond
	// unreadTolerance is how long after it was sent a stopping VM may still cut a request
	// that has reached no leaf: the VM may not have read it.
	unreadTolerance = 200 * tier.Millisecond
	// maxBreaches is how many breaches pass in checks that allow a few.
	maxBreaches = 3
	// toleratedOverruns runs, or a fifth of all runs if that is more, may be told too much
	// time left.
	toleratedOverruns = 20
	// toleratedDenials requests, and one more in requestsPerDenial, may end with a 3xx or
	// 4xx although every configuration has their route.
	toleratedDenials, requestsPerDenial = 5, 500
	// minServedShare is the fraction of requests that must be served after recoveryBound.
	minServedShare = 0.25
)

// Violation is a guarantee that was broken.
type Violation struct {
	check, detail string
}

// Check is the name of the check that found the violation.
func (v Violation) Check() string { return v.check }

func (v Violation) String() string { return v.check + ": " + v.detail }

// check verifies one guarantee over a history.
type check struct {
	name   string
	timed  bool                      // the result depends on the machine's speed
	verify func(h *history) []string // lists the breaches
}

// checks lists all checks.
func checks() []check {
	return []check{
		{"answers-whole", false, completeReplies},
		{"run-as-asked", false, requestedRuns},
		{"run-once", false, singleRuns},
		{"refusals-true", false, refusedNotRun},
		{"routes-kept", false, routedServices},
		{"attempts", false, boundedAttempts},
		{"retry-budget", false, boundedRetries},
		{"no-exit", false, noUnexpectedExits},
		{"memory", false, boundedMemory},
		{"time-left", true, remainingTime},
		{"caller-left", true, noCallsAfterCallerLeft},
		{"configuration", true, configurationPropagation},
		{"denied", true, denials},
		{"drain", true, drains},
		{"stop", true, plannedStops},
		{"recovery", true, recovery},
	}
}

// runChecks runs all checks, or only those that are not timed.
func (h *history) runChecks(timed bool) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Violation
	for _, c := range checks() {
		if c.timed && !timed {
			continue
		}
		for _, d := range c.verify(h) {
			list = append(list, Violation{c.name, d})
		}
	}
	return list
}

// allowedServices lists the services of a route, one list for each version that has it.
func (h *history) allowedServices(route string) [][]string {
	var sets [][]string
	for _, v := range h.versions {
		if s, ok := v.routes[route]; ok {
			sets = append(sets, s)
		}
	}
	return sets
}

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

// noUnexpectedExits checks that no process exits by itself.
func noUnexpectedExits(h *history) []string { return h.exits }

// boundedMemory checks the resident memory of each VM's process.
func boundedMemory(h *history) []string {
	var bad []string
	for vm, mb := range h.peakMemoryMB {
		if mb > memoryLimitMB {
			bad = append(bad, fmt.Sprintf("%s holds %d MB", vm, mb))
		}
	}
	return bad
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

// configurationPropagation checks that VMs serve a version's routes within
// configurationBound of its confirmation.
func configurationPropagation(h *history) []string {
	var bad []string
	for _, q := range h.sent {
		if q.status != http.StatusNotFound {
			continue
		}
		for _, v := range h.versions {
			_, hasRoute := v.routes[q.route]
			if hasRoute && q.sentAt.Sub(v.confirmedAt) > configurationBound.Duration() && h.isStable(q.vm, q.sentAt, q.endedAt) {
				bad = append(bad, fmt.Sprintf("%s has no route %s %v after version %d", q.vm, q.route, q.sentAt.Sub(v.confirmedAt), v.number))
				break
			}
		}
	}
	return bad
}

// denials checks that requests whose route every configuration has hardly ever get a 3xx or
// 4xx, other than 408, 421 and 429.
func denials(h *history) []string {
	var bad []string
	for _, q := range h.sent {
		allowed := q.status < 300 || q.status >= 500 || q.status == http.StatusTooManyRequests ||
			q.status == http.StatusRequestTimeout || q.status == http.StatusMisdirectedRequest
		if q.alwaysRouted && !allowed && h.isStable(q.vm, q.sentAt, q.endedAt) {
			bad = append(bad, fmt.Sprintf("%s got %d", q.attempt, q.status))
		}
	}
	if len(bad) <= toleratedDenials+len(h.sent)/requestsPerDenial {
		return nil
	}
	return bad
}

// drains checks that a draining leaf gets no calls after drainBound.
func drains(h *history) []string {
	var bad []string
	for _, d := range h.drains {
		for _, a := range h.calls {
			q := h.byAttempt[a.AttemptID]
			if a.Leaf == d.leaf && a.ReceivedAt.Sub(d.at) > drainBound.Duration() && q != nil && h.isStable(q.vm, d.at, a.ReceivedAt) {
				bad = append(bad, fmt.Sprintf("%s got %s %v after it was draining", d.leaf, a.AttemptID, a.ReceivedAt.Sub(d.at)))
			}
		}
	}
	return bad
}

// plannedStops checks that a planned stop exits with code 0 within the grace period, and
// cuts no request that the VM has read. A VM has read a request that reached a leaf, and,
// after unreadTolerance, the first one on a connection; later ones on a connection may
// arrive just as the VM closes it.
func plannedStops(h *history) []string {
	var bad []string
	reachedLeaf := map[string]bool{}
	for _, a := range h.calls {
		reachedLeaf[a.AttemptID] = true
	}
	for _, s := range h.stops {
		if s.to.IsZero() || h.disturbed(s.vm, s.from.Add(-stableWindow.Duration()), s.to, false) {
			continue
		}
		if s.code != 0 || s.to.Sub(s.from) > gracePeriod.Duration() {
			bad = append(bad, fmt.Sprintf("%s exited with code %d after %v", s.vm, s.code, s.to.Sub(s.from)))
		}
		for _, q := range h.sent {
			if q.vm != s.vm || q.sentAt.Before(s.from) || q.sentAt.After(s.to) || q.status != 0 || q.endedAt.IsZero() || !q.leftAt.IsZero() {
				continue
			}
			took := q.endedAt.Sub(q.sentAt)
			read := q.firstOnConnection && took > unreadTolerance.Duration() || reachedLeaf[q.attempt]
			if read && took < q.timeout.Duration() {
				bad = append(bad, fmt.Sprintf("%s was cut by the stop of %s after %v", q.attempt, s.vm, took))
			}
		}
	}
	return bad
}

// recovery checks that requests are served again recoveryBound after the last fault.
func recovery(h *history) []string {
	from := h.lastFaultEnd.Add(recoveryBound.Duration())
	served, all := 0, 0
	for _, q := range h.sent {
		if q.sentAt.After(from) && q.alwaysRouted && !q.endedAt.IsZero() && q.leftAt.IsZero() {
			all++
			if q.served() {
				served++
			}
		}
	}
	if all == 0 || float64(served) >= minServedShare*float64(all) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d requests are served after the last fault", served, all)}
}
