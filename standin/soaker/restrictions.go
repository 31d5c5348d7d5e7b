package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"cicadagrade.example/tier"
)

// allowedRegions checks that leafs get only requests that their region may serve. On the
// public route a request may have been served without its organisation.
func allowedRegions(h *history) []string {
	var bad []string
	for _, a := range h.calls {
		q := h.byAttempt[a.AttemptID]
		if q == nil {
			continue
		}
		region := regionByZone[h.leafZones[a.Leaf]]
		sets := [][]string{regionsOfRoute[q.route]}
		if q.route != routeLine || a.Organisation != "" {
			sets = append(sets, regionsOfOrganisation[q.organisation])
		}
		for _, set := range sets {
			if len(set) > 0 && !slices.Contains(set, region) {
				bad = append(bad, fmt.Sprintf("%s of route %s and %q reached %s in %q", q.attempt, q.route, q.organisation, a.Leaf, region))
			}
		}
	}
	return bad
}

// namedOrganisations checks that leafs get the name of the caller's organisation and never a
// key. On the public route a key may be unknown, so that no name is sent.
func namedOrganisations(h *history) []string {
	var bad []string
	for _, a := range h.calls {
		if strings.Contains(a.Headers, keyPrefix) {
			bad = append(bad, fmt.Sprintf("%s got a key with %s", a.Leaf, a.AttemptID))
		}
		q := h.byAttempt[a.AttemptID]
		if q == nil || a.Organisation == q.organisation || q.route == routeLine && a.Organisation == "" {
			continue
		}
		bad = append(bad, fmt.Sprintf("%s got %s of %q as of %q", a.Leaf, a.AttemptID, q.organisation, a.Organisation))
	}
	return bad
}

// evacuations checks that no leaf of an evacuated data centre gets a call after
// evacuationBound. A leaf does not know which VM calls it, so all VMs must have been stable.
func evacuations(h *history) []string {
	var bad []string
	for _, e := range h.evacuations {
		for _, a := range h.calls {
			if h.leafZones[a.Leaf] == e.zone && h.judgesEvacuation(e, a.ReceivedAt) {
				bad = append(bad, fmt.Sprintf("%s got %s %v after the evacuation of %s",
					a.Leaf, a.AttemptID, a.ReceivedAt.Sub(e.confirmedAt), e.zone))
			}
		}
	}
	return bad
}

// quotas checks that no window has more requests of the capped organisation than its quota
// allows, whatever disturbs the VMs.
func quotas(h *history) []string {
	limit := (quotaPerSecond*float64(quotaWindow/tier.Second)+quotaBurst)*(1+quotaOverage) + quotaSlack
	if n, end := h.busiestQuotaWindow(); float64(n) > limit {
		return []string{fmt.Sprintf("%d requests of %s reached leafs in the %d ms before %v, %.0f are allowed",
			n, organisationCapped, quotaWindow, end.Format(time.TimeOnly), limit)}
	}
	return nil
}

// busiestQuotaWindow returns the greatest number of the capped organisation's requests that
// reached leafs in a window of its quota, and the end of that window.
func (h *history) busiestQuotaWindow() (int, time.Time) {
	first := map[string]time.Time{}
	for _, a := range h.calls {
		if t, ok := first[a.AttemptID]; a.Organisation == organisationCapped && (!ok || a.ReceivedAt.Before(t)) {
			first[a.AttemptID] = a.ReceivedAt
		}
	}
	var times []time.Time
	for _, t := range first {
		times = append(times, t)
	}
	return busiestWindow(times, quotaWindow)
}

// coldRates checks that no cold leaf gets more calls in a second than allowed, whatever
// disturbs the VMs.
func coldRates(h *history) []string {
	var bad []string
	for _, p := range h.coldPeriods {
		const limit = coldPerSecond*coldOverage + coldSlack
		if n, end := h.busiestColdSecond(p); float64(n) > limit {
			bad = append(bad, fmt.Sprintf("%s got %d calls in the second before %v, %.0f are allowed; it was cold from %v",
				p.leaf, n, end.Format(time.StampMilli), limit, p.from.Format(time.StampMilli)))
		}
	}
	return bad
}

// busiestColdSecond returns the greatest number of calls in a second of a cold period, and the
// end of that second.
func (h *history) busiestColdSecond(p coldPeriod) (int, time.Time) {
	var times []time.Time
	for _, a := range h.calls {
		if a.Leaf == p.leaf && !a.ReceivedAt.Before(p.from) && a.ReceivedAt.Before(p.to) {
			times = append(times, a.ReceivedAt)
		}
	}
	return busiestWindow(times, tier.Second)
}

// busiestWindow returns the greatest number of times in a window, and the end of that window.
func busiestWindow(times []time.Time, window tier.Millis) (most int, end time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	from := 0
	for i, t := range times {
		for t.Sub(times[from]) >= window.Duration() {
			from++
		}
		if n := i + 1 - from; n > most {
			most, end = n, t
		}
	}
	return most, end
}

// validKeys checks that requests on routes that need a key are not served with a key that has
// been withdrawn for revocationBound, and not refused with 401 for a key that has been valid
// for configurationBound.
func validKeys(h *history) []string {
	reached := map[string]bool{}
	for _, a := range h.calls {
		reached[a.AttemptID] = true
	}
	var bad []string
	for _, q := range h.sent {
		if q.route == routeLine && q.status != http.StatusUnauthorized || !h.isStable(q.vm, q.sentAt, q.endedAt) {
			continue
		}
		switch {
		case h.keyWas(q, false, revocationBound) && (q.served() || reached[q.attempt]):
			bad = append(bad, fmt.Sprintf("%s accepted %s for %s after its withdrawal", q.vm, q.key, q.attempt))
		case q.status == http.StatusUnauthorized && (q.route == routeLine || h.keyWas(q, true, configurationBound)):
			bad = append(bad, fmt.Sprintf("%s refused %s for %s", q.vm, q.key, q.attempt))
		}
	}
	return bad
}

// restrictionCoverage says how much of a run the checks of restrictions have judged, as key-value
// pairs for the log: how close quotas and cold leafs came to their bounds, calls elsewhere while an
// evacuation was judged, and requests with withdrawn keys that were judged.
func (h *history) restrictionCoverage() []any {
	h.mu.Lock()
	defer h.mu.Unlock()
	busiestQuota, _ := h.busiestQuotaWindow()
	busiestCold := 0
	for _, p := range h.coldPeriods {
		n, _ := h.busiestColdSecond(p)
		busiestCold = max(busiestCold, n)
	}
	callsElsewhere, withdrawnKeys := 0, 0
	for _, a := range h.calls {
		if slices.ContainsFunc(h.evacuations, func(e evacuation) bool { return h.judgesEvacuation(e, a.ReceivedAt) }) {
			callsElsewhere++
		}
	}
	for _, q := range h.sent {
		if q.route != routeLine && h.keyWas(q, false, revocationBound) && h.isStable(q.vm, q.sentAt, q.endedAt) {
			withdrawnKeys++
		}
	}
	return []any{
		"quota-window", busiestQuota, "cold-second", busiestCold, "cold-periods", len(h.coldPeriods),
		"calls-in-evacuations", callsElsewhere, "withdrawn-keys", withdrawnKeys,
	}
}

// judgesEvacuation reports whether a call at a time may not reach the evacuated data centre.
func (h *history) judgesEvacuation(e evacuation, at time.Time) bool {
	return at.Sub(e.confirmedAt) > evacuationBound.Duration() && at.Before(e.removalStartedAt) && h.isStable(anyVM, at, at)
}

// keyWas reports whether all versions that a VM may use for a request have its key, or lack
// it: the last one that was confirmed before the bound, and all that were written since.
func (h *history) keyWas(q *request, valid bool, bound tier.Millis) bool {
	for i := len(h.versions) - 1; i >= 0; i-- {
		v := h.versions[i]
		if !q.endedAt.IsZero() && v.writtenAt.After(q.endedAt) {
			continue
		}
		if slices.Contains(v.keys, q.key) != valid {
			return false
		}
		if q.sentAt.Sub(v.confirmedAt) > bound.Duration() {
			return true
		}
	}
	return false
}
