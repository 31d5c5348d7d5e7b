package entry

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/searcher"
)

// callerTime is how long the caller waits for its answer.
func (q *request) callerTime() tier.Millis {
	if left, limited := q.attempt.TimeLeft(); limited {
		return left
	}
	return defaultCallerTimeout
}

// longestTime is how long the request may take, by its caller and its route.
func (q *request) longestTime() tier.Millis {
	if t := q.route.Timeout(); t > 0 {
		return min(q.callerTime(), t)
	}
	return q.callerTime()
}

// terms are the target time, deadline and limits of the search, from the route and the
// caller's remaining time.
func (e *Entry) terms(q *request) searcher.Terms {
	roundTrip := q.arrival.RoundTrip()
	end := q.start + q.callerTime() - roundTrip - deadlineMargin
	if t := q.route.Timeout(); t > 0 {
		end = min(end, q.start+t)
	}
	end = e.limitToStop(end)
	target := end
	if latency := q.route.LatencyTarget(); latency > 0 {
		target = q.start + latency - q.arrival.Elapsed() - roundTrip - q.margin
	}
	options := []searcher.TermsOption{
		searcher.WithMaxAttempts(q.route.MaxAttempts()), searcher.WithRank(q.rank()), searcher.WithFingerprints(q.fingerprints),
		searcher.InRegions(q.regions()), searcher.WithOrganisation(q.organisationName(), q.weight),
		e.refusals(q.attempt.ID(), q.rank(), q.route.IsScatterGather()),
	}
	if q.route.Idempotent() {
		options = append(options, searcher.Idempotent())
	}
	if q.cautious {
		options = append(options, searcher.Cautious())
	}
	if q.route.IsScatterGather() {
		options = append(options, searcher.WithMinimumParts(q.route.MinimumParts()))
	} else {
		options = append(options, searcher.ForwardFailures())
	}
	return searcher.NewTerms(q.route.Name(), target, end, options...)
}
