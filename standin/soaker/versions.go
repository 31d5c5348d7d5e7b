package soaker

import (
	"fmt"
	"net/http"
	"time"
)

// configurationPropagation checks that VMs handle requests by a version, or a newer one, from
// configurationBound after its confirmation on.
func configurationPropagation(h *history) []string {
	var bad []string
	for _, q := range h.sent {
		if !h.isStable(q.vm, q.sentAt, q.endedAt) {
			continue
		}
		least := h.confirmedBefore(q.sentAt.Add(-configurationBound.Duration()))
		if how := h.handledByOlder(q, least); how != "" {
			bad = append(bad, fmt.Sprintf("%s: %s %s of version %d or older, %v after that one", q.attempt, q.vm, how, least.number-1,
				q.sentAt.Sub(least.confirmedAt)))
		}
	}
	return bad
}

// regressions checks that a process handles no request by an older version than one whose effect a leaf has
// seen before: it has run a request on the route that only that version has.
func regressions(h *history) []string {
	ranAt := map[string]time.Time{}
	for _, r := range h.runs {
		if _, ok := ranAt[r.AttemptID]; !ok {
			ranAt[r.AttemptID] = r.ReceivedAt
		}
	}
	byNumber := map[string]version{} // by marker route
	for _, v := range h.versions {
		byNumber[markerRoute(v.number)] = v
	}
	type effect struct {
		at      time.Time
		version version
	}
	effects := map[string][]effect{} // by VM
	for _, q := range h.sent {
		at, ran := ranAt[q.attempt]
		if v, ok := byNumber[q.route]; ok && ran && q.served() {
			effects[q.vm] = append(effects[q.vm], effect{at, v})
		}
	}
	var bad []string
	for _, q := range h.sent {
		if _, ok := byNumber[q.route]; !ok {
			continue
		}
		started := h.startedBefore(q.vm, q.sentAt)
		var seen effect
		for _, e := range effects[q.vm] {
			if e.at.After(started) && e.at.Before(q.sentAt.Add(-regressionSlack.Duration())) && e.version.number > seen.version.number {
				seen = e
			}
		}
		if how := h.handledByOlder(q, seen.version); how != "" {
			bad = append(bad, fmt.Sprintf("%s: %s %s of version %d or older, %v after it had used that one", q.attempt, q.vm, how,
				seen.version.number-1, q.sentAt.Sub(seen.at)))
		}
	}
	return bad
}

// confirmedBefore returns the newest version that was confirmed before a time.
func (h *history) confirmedBefore(at time.Time) version {
	for i := len(h.versions) - 1; i >= 0; i-- {
		if h.versions[i].confirmedAt.Before(at) {
			return h.versions[i]
		}
	}
	return version{}
}

// handledByOlder says how a request was handled, if none of the versions from least on that were written
// before its end allows it.
func (h *history) handledByOlder(q *request, least version) string {
	if least.number == 0 || !q.served() && q.status != http.StatusNotFound {
		return ""
	}
	for _, v := range h.versions {
		_, hasRoute := v.routes[q.route]
		if v.number >= least.number && !v.writtenAt.After(q.endedAt) && hasRoute == q.served() {
			return ""
		}
	}
	if q.served() {
		return "serves the dropped route " + q.route
	}
	return "lacks the route " + q.route
}

// startedBefore returns when the process of a VM had started that ran at a time.
func (h *history) startedBefore(vm string, at time.Time) time.Time {
	var last time.Time
	for _, t := range h.starts[vm] {
		if t.Before(at) && t.After(last) {
			last = t
		}
	}
	return last
}
