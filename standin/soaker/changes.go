package soaker

import (
	"fmt"
	"net/http"
)

// denials checks that requests whose route and key every configuration has hardly ever get a 3xx or
// 4xx, other than 408, 421 and 429, and that VMs which are disturbed don't refuse them as unknown either.
func denials(h *history) []string {
	var bad, unknown []string
	for _, q := range h.sent {
		allowed := q.status < 300 || q.status >= 500 || q.status == http.StatusTooManyRequests ||
			q.status == http.StatusRequestTimeout || q.status == http.StatusMisdirectedRequest
		if q.alwaysRouted && !allowed && h.isStable(q.vm, q.sentAt, q.endedAt) {
			bad = append(bad, fmt.Sprintf("%s got %d", q.attempt, q.status))
		}
		isUnknown := q.status == http.StatusUnauthorized || q.status == http.StatusForbidden || q.status == http.StatusNotFound
		if q.alwaysRouted && isUnknown {
			unknown = append(unknown, fmt.Sprintf("%s got %d from %s", q.attempt, q.status, q.vm))
		}
	}
	if len(bad) <= toleratedDenials+len(h.sent)/requestsPerDenial {
		bad = nil
	}
	if len(unknown) <= toleratedUnknown {
		return bad
	}
	return append(bad, unknown...)
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

// recovery checks that requests are served again recoveryBound after the last fault, until the drills begin.
func recovery(h *history) []string {
	from := h.lastFaultEnd.Add(recoveryBound.Duration())
	served, all := 0, 0
	for _, q := range h.sent {
		if q.sentAt.After(from) && (h.drillsFrom.IsZero() || q.sentAt.Before(h.drillsFrom)) && q.alwaysRouted && !q.endedAt.IsZero() && q.leftAt.IsZero() {
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
