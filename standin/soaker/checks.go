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

// Promises of the deployment that the soak plays; the settings of its VMs bear
// the same figures.
const (
	stableWindow = 5 * tier.Second
	configBound  = 4 * tier.Second
	drainBound   = 4 * tier.Second
	gracePeriod  = 6 * tier.Second
	recoverBound = 12 * tier.Second
	budgetWindow = 10 * tier.Second
	budgetRatio  = 0.2
	budgetSlack  = 54
	memoryLimit  = 284 // MB
	leastShare   = 0.75
	topRecords   = 5
	maxAttempts  = 2
	// leaveBound is how long a leaf may go on after the caller has left.
	leaveBound = 500 * tier.Millisecond
	// lossSlack is how long after its last byte a request may be cut that no
	// leaf has got.
	lossSlack = 200 * tier.Millisecond
	// few is how many breaches of a promise that allows some are borne.
	few = 3
	// manyHanded is how many requests may be handed too much time.
	manyHanded = 20
	// deniedBase and deniedShare bound refusals of proper requests.
	deniedBase, deniedShare = 5, 500
	// leastServed is the part of requests that must be served after a recovery.
	leastServed = 0.25
)

// Violation is a promise that was broken.
type Violation struct {
	check, detail string
}

// Check names the promise.
func (v Violation) Check() string { return v.check }

func (v Violation) String() string { return v.check + ": " + v.detail }

// check judges a ledger by one promise.
type check struct {
	name  string
	timed bool // its verdict depends on how fast the machine is
	judge func(l *ledger) []string
}

// checks are all promises that are judged.
func checks() []check {
	return []check{
		{"answers-whole", false, wholeAnswers},
		{"run-as-asked", false, askedRuns},
		{"run-once", false, onceRuns},
		{"refusals-true", false, trueRefusals},
		{"routes-kept", false, keptRoutes},
		{"attempts", false, boundedAttempts},
		{"retry-budget", false, boundedRetries},
		{"no-exit", false, noExits},
		{"memory", false, boundedMemory},
		{"time-left", true, timeLeft},
		{"caller-left", true, leftAlone},
		{"configuration", true, configurations},
		{"denied", true, denials},
		{"drain", true, drains},
		{"stop", true, stops},
		{"recovery", true, recovery},
	}
}

// judge runs all checks, or only those whose verdict needs no time.
func (l *ledger) judge(timed bool) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Violation
	for _, c := range checks() {
		if c.timed && !timed {
			continue
		}
		for _, d := range c.judge(l) {
			list = append(list, Violation{c.name, d})
		}
	}
	return list
}

// allowed are the services that some configuration lets a route use.
func (l *ledger) allowed(route string) [][]string {
	var sets [][]string
	for _, v := range l.versions {
		if s, ok := v.routes[route]; ok {
			sets = append(sets, s)
		}
	}
	return sets
}

// wholeAnswers: a success bears good proofs of one configuration's services, all
// of their greatest records, and the number that is missing.
func wholeAnswers(l *ledger) []string {
	var bad []string
	for _, q := range l.order {
		if q.ended.IsZero() || !q.served() {
			continue
		}
		if why := wholeAnswer(l, q); why != "" {
			bad = append(bad, fmt.Sprintf("%s %s from %s: %s", q.attempt, q.path, q.vm, why))
		}
	}
	return bad
}

func wholeAnswer(l *ledger, q *request) string {
	var services []string
	for _, p := range responder.Signatures(q.header) {
		s, ok := responder.VerifySignature(p, q.attempt)
		if !ok || slices.Contains(services, s) {
			return "the proof " + p + " is not for this request, or comes twice"
		}
		services = append(services, s)
	}
	if len(services) == 0 {
		return "there is no proof"
	}
	if q.route != sweep {
		if len(services) != 1 || !bytes.Equal(q.body, responder.Records(services[0], q.path)) {
			return "the body is not the leaf's"
		}
		return ""
	}
	missing, err := responder.MissingParts(q.header)
	if err != nil {
		return err.Error()
	}
	whole := slices.ContainsFunc(l.allowed(q.route), func(set []string) bool {
		in := !slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(set, s) })
		return in && len(services)+missing == len(set) && float64(len(services)) >= leastShare*float64(len(set))
	})
	if !whole {
		return fmt.Sprintf("%d parts and %d missing are no configuration's", len(services), missing)
	}
	if !bytes.Equal(q.body, responder.TopRecords(topRecords, q.path, services...)) {
		return "the records are not the greatest"
	}
	return ""
}

// askedRuns: leafs run only what callers have sent, unchanged.
func askedRuns(l *ledger) []string {
	var bad []string
	for _, r := range l.runs {
		q := l.requests[r.AttemptID]
		if q == nil || q.method != r.Method || q.path != r.Path {
			bad = append(bad, fmt.Sprintf("%s ran %s %s %q", r.Leaf, r.Method, r.Path, r.AttemptID))
		}
	}
	return bad
}

// onceRuns: what may not be repeated runs once at most.
func onceRuns(l *ledger) []string {
	var bad []string
	for attempt, n := range l.countRuns() {
		if q := l.requests[attempt]; q != nil && q.once && n > 1 {
			bad = append(bad, fmt.Sprintf("%s ran %d times", attempt, n))
		}
	}
	return bad
}

func (l *ledger) countRuns() map[string]int {
	n := map[string]int{}
	for _, r := range l.runs {
		n[r.AttemptID]++
	}
	return n
}

// trueRefusals: what was refused as not run has not run, and does not later.
func trueRefusals(l *ledger) []string {
	var bad []string
	n := l.countRuns()
	for _, q := range l.order {
		refused := q.status == http.StatusTooManyRequests || q.status == http.StatusServiceUnavailable
		if q.once && refused && n[q.attempt] > 0 {
			bad = append(bad, fmt.Sprintf("%s got %d and ran", q.attempt, q.status))
		}
	}
	return bad
}

// keptRoutes: a service runs only what some configuration sends it.
func keptRoutes(l *ledger) []string {
	var bad []string
	for _, r := range l.runs {
		q := l.requests[r.AttemptID]
		if q == nil {
			continue
		}
		ok := slices.ContainsFunc(l.allowed(q.route), func(set []string) bool { return slices.Contains(set, r.Service) })
		if !ok {
			bad = append(bad, fmt.Sprintf("%s of route %s ran at %s", r.AttemptID, q.route, r.Service))
		}
	}
	return bad
}

// boundedAttempts: a request runs on few leafs of each service.
func boundedAttempts(l *ledger) []string {
	type place struct{ attempt, service string }
	leafs := map[place]map[string]bool{}
	for _, r := range l.runs {
		p := place{r.AttemptID, r.Service}
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
	if len(over) <= few {
		return nil
	}
	return over
}

// boundedRetries: in each window a service gets few calls beyond the first of
// each request.
func boundedRetries(l *ledger) []string {
	type key struct{ attempt, service string }
	seen := map[key]bool{}
	extra := map[string][]time.Time{}
	for _, a := range l.arrivals {
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
			asked := max(l.asked(service, from, end), l.asked(service, from.Add(-budgetWindow.Duration()), from),
				l.asked(service, from.Add(-budgetWindow.Duration()/2), end.Add(-budgetWindow.Duration()/2)))
			if most := budgetRatio*float64(asked) + budgetSlack; float64(n) > most {
				bad = append(bad, fmt.Sprintf("%s got %d calls beyond the first of %d requests", service, n, asked))
				break
			}
		}
	}
	return bad
}

// asked counts the requests on routes to a service in a time.
func (l *ledger) asked(service string, from, to time.Time) int {
	n := 0
	for _, q := range l.order {
		if q.sent.Before(from) || q.sent.After(to) {
			continue
		}
		if slices.ContainsFunc(l.allowed(q.route), func(set []string) bool { return slices.Contains(set, service) }) {
			n++
		}
	}
	return n
}

func noExits(l *ledger) []string { return l.exits }

func boundedMemory(l *ledger) []string {
	var bad []string
	for vm, mb := range l.memory {
		if mb > memoryLimit {
			bad = append(bad, fmt.Sprintf("%s holds %d MB", vm, mb))
		}
	}
	return bad
}

// timeLeft: leafs are told no more time than the caller has.
func timeLeft(l *ledger) []string {
	var over []string
	for _, r := range l.runs {
		q := l.requests[r.AttemptID]
		if q == nil || !l.inTouch(q.vm, q.sent, r.ReceivedAt) {
			continue
		}
		if given, has := r.ReceivedAt.Add(r.TimeRemaining.Duration()), q.sent.Add(q.limit.Duration()); given.Sub(has) > leaveBound.Duration() || r.TimeRemaining == 0 {
			over = append(over, fmt.Sprintf("%s was told %d ms", r.AttemptID, r.TimeRemaining))
		}
	}
	if len(over) <= max(manyHanded, len(l.runs)/5) {
		return nil
	}
	return over
}

// leftAlone: nothing is sent for a caller who has left.
func leftAlone(l *ledger) []string {
	var late []string
	for _, a := range l.arrivals {
		q := l.requests[a.AttemptID]
		if q == nil || q.left.IsZero() || !l.inTouch(q.vm, q.left, a.ReceivedAt) {
			continue
		}
		if a.ReceivedAt.Sub(q.left) > leaveBound.Duration() {
			late = append(late, fmt.Sprintf("%s reached %s %v after its caller had left", a.AttemptID, a.Leaf, a.ReceivedAt.Sub(q.left)))
		}
	}
	if len(late) <= few {
		return nil
	}
	return late
}

// configurations: what a version adds is served in time.
func configurations(l *ledger) []string {
	var bad []string
	for _, q := range l.order {
		if q.status != http.StatusNotFound {
			continue
		}
		for _, v := range l.versions {
			_, named := v.routes[q.route]
			if named && q.sent.Sub(v.confirmed) > configBound.Duration() && l.inTouch(q.vm, q.sent, q.ended) {
				bad = append(bad, fmt.Sprintf("%s has no route %s %v after version %d", q.vm, q.route, q.sent.Sub(v.confirmed), v.number))
				break
			}
		}
	}
	return bad
}

// denials: proper requests are hardly ever ended with a 3xx or 4xx.
func denials(l *ledger) []string {
	var bad []string
	for _, q := range l.order {
		fine := q.status < 300 || q.status >= 500 || q.status == http.StatusTooManyRequests ||
			q.status == http.StatusRequestTimeout || q.status == http.StatusMisdirectedRequest
		if q.proper && !fine && l.inTouch(q.vm, q.sent, q.ended) {
			bad = append(bad, fmt.Sprintf("%s got %d", q.attempt, q.status))
		}
	}
	if len(bad) <= deniedBase+len(l.order)/deniedShare {
		return nil
	}
	return bad
}

// drains: a leaf that leaves gets nothing once that is known everywhere.
func drains(l *ledger) []string {
	var bad []string
	for _, d := range l.drains {
		for _, a := range l.arrivals {
			q := l.requests[a.AttemptID]
			if a.Leaf == d.leaf && a.ReceivedAt.Sub(d.at) > drainBound.Duration() && q != nil && l.inTouch(q.vm, d.at, a.ReceivedAt) {
				bad = append(bad, fmt.Sprintf("%s got %s %v after it was draining", d.leaf, a.AttemptID, a.ReceivedAt.Sub(d.at)))
			}
		}
	}
	return bad
}

// stops: a planned stop ends in time and well, and cuts nothing that was read.
func stops(l *ledger) []string {
	var bad []string
	passed := map[string]bool{}
	for _, a := range l.arrivals {
		passed[a.AttemptID] = true
	}
	for _, s := range l.stops {
		if s.to.IsZero() || l.disturbed(s.vm, s.from.Add(-stableWindow.Duration()), s.to, false) {
			continue
		}
		if s.code != 0 || s.to.Sub(s.from) > gracePeriod.Duration() {
			bad = append(bad, fmt.Sprintf("%s ended with code %d after %v", s.vm, s.code, s.to.Sub(s.from)))
		}
		for _, q := range l.order {
			if q.vm != s.vm || q.sent.Before(s.from) || q.sent.After(s.to) || q.status != 0 || q.ended.IsZero() || !q.left.IsZero() {
				continue
			}
			took := q.ended.Sub(q.sent)
			read := q.readByVM && took > lossSlack.Duration() || passed[q.attempt]
			if read && took < q.limit.Duration() {
				bad = append(bad, fmt.Sprintf("%s was cut by the stop of %s after %v", q.attempt, s.vm, took))
			}
		}
	}
	return bad
}

// recovery: some time after the last fault requests are served again.
func recovery(l *ledger) []string {
	from := l.lastEnd.Add(recoverBound.Duration())
	served, all := 0, 0
	for _, q := range l.order {
		if q.sent.After(from) && q.proper && !q.ended.IsZero() && q.left.IsZero() {
			all++
			if q.served() {
				served++
			}
		}
	}
	if all == 0 || float64(served) >= leastServed*float64(all) {
		return nil
	}
	return []string{fmt.Sprintf("%d of %d requests are served after the last fault", served, all)}
}
