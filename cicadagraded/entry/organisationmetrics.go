package entry

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"cicadagrade.example/cicadagraded/meter"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/searcher"
)

const (
	// maxNamedOrganisations is the number of organisations that metrics name, the largest by
	// requests. The others are added up.
	maxNamedOrganisations = 10
	// otherOrganisations is the label of the others.
	otherOrganisations = "other"
	// maxCountedOrganisations bounds the organisations that are counted one by one; the counts
	// of further ones go to otherOrganisations. Configurations of long ago may have named many.
	maxCountedOrganisations = 2000
)

// organisationUse counts requests, refusals and waits by organisation. It is guarded by the
// lock of the Entry.
type organisationUse struct {
	byName map[string]*organisationCounts
}

type organisationCounts struct {
	requests int64
	refusals map[string]int64 // by cause
	parts    int64            // that have waited
	waited   tier.Millis      // the sum of their waits
}

func newOrganisationUse() *organisationUse {
	return &organisationUse{byName: map[string]*organisationCounts{}}
}

// of returns the counts of an organisation.
func (o *organisationUse) of(name string) *organisationCounts {
	counts, ok := o.byName[name]
	if !ok {
		if len(o.byName) >= maxCountedOrganisations {
			name = otherOrganisations
		}
		if counts, ok = o.byName[name]; !ok {
			counts = &organisationCounts{refusals: map[string]int64{}}
			o.byName[name] = counts
		}
	}
	return counts
}

// add adds the counts of others.
func (o *organisationCounts) add(other *organisationCounts) {
	o.requests += other.requests
	o.parts += other.parts
	o.waited += other.waited
	for cause, n := range other.refusals {
		o.refusals[cause] += n
	}
}

// namedCounts are the counts with their label.
type namedCounts struct {
	name   string
	counts *organisationCounts
}

// largest returns the counts of the organisations with the most requests, and the sum of the
// others. Requests without organisation are among the others.
func (o *organisationUse) largest() []namedCounts {
	names := slices.SortedFunc(maps.Keys(o.byName), func(a, b string) int {
		return cmp.Or(cmp.Compare(o.byName[b].requests, o.byName[a].requests), cmp.Compare(o.byName[b].parts, o.byName[a].parts), cmp.Compare(a, b))
	})
	var list []namedCounts
	others := &organisationCounts{refusals: map[string]int64{}}
	for _, name := range names {
		if name == "" || name == otherOrganisations || len(list) == maxNamedOrganisations {
			others.add(o.byName[name])
			continue
		}
		list = append(list, namedCounts{name, o.byName[name]})
	}
	if len(o.byName) > len(list) {
		list = append(list, namedCounts{otherOrganisations, others})
	}
	return list
}

// organisationGauge is a gauge with a point for each of the largest organisations.
type organisationGauge struct {
	name        string
	description string
	read        func(*Entry) []meter.Point
}

// organisationGauges lists the gauges by organisation.
func organisationGauges() []organisationGauge {
	perOrganisation := func(points func(namedCounts) []meter.Point) func(*Entry) []meter.Point {
		return func(e *Entry) []meter.Point {
			e.mu.Lock()
			defer e.mu.Unlock()
			for name, wait := range e.scheduler.TakeWaits() {
				counts := e.organisationUse.of(name)
				counts.parts += int64(wait.Parts())
				counts.waited += wait.Total()
			}
			var list []meter.Point
			for _, named := range e.organisationUse.largest() {
				list = append(list, points(named)...)
			}
			return list
		}
	}
	count := func(value func(*organisationCounts) int64) func(*Entry) []meter.Point {
		return perOrganisation(func(n namedCounts) []meter.Point {
			return []meter.Point{meter.NewPoint(value(n.counts), "organisation", n.name)}
		})
	}
	return []organisationGauge{
		{
			"cicadagrade.entry.organisation.requests", "requests by organisation",
			count(func(c *organisationCounts) int64 { return c.requests }),
		},
		{
			"cicadagrade.entry.organisation.refused", "requests that no leaf has got, by organisation and cause",
			perOrganisation(func(n namedCounts) []meter.Point {
				var list []meter.Point
				for cause, refused := range n.counts.refusals {
					list = append(list, meter.NewPoint(refused, "organisation", n.name, "cause", cause))
				}
				return list
			}),
		},
		{
			"cicadagrade.entry.organisation.parts", "parts that have waited for a free slot of a leaf on this VM, by organisation",
			count(func(c *organisationCounts) int64 { return c.parts }),
		},
		{
			"cicadagrade.entry.organisation.waited", "sum of the times that these parts have waited, by organisation, in milliseconds",
			count(func(c *organisationCounts) int64 { return int64(c.waited) }),
		},
	}
}

// countsOrganisations reports whether requests are counted by organisation.
func (q *request) countsOrganisations() bool { return len(q.table.Organisations()) > 0 }

// recordOrganisationRequest counts a request that is served or refused by this VM.
func (e *Entry) recordOrganisationRequest(q *request) {
	if !q.countsOrganisations() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.organisationUse.of(q.organisationName()).requests++
	if !q.arrival.IsRetry() && q.route.IsScatterGather() {
		e.scheduler.ForecasterOf(q.regions()).Received(q.start, q.organisationName(), q.weight)
	}
}

// recordOrganisationRefusal counts a request of an organisation that no leaf has got.
func (e *Entry) recordOrganisationRefusal(organisation, cause string) {
	if organisation == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.organisationUse.of(organisation).refusals[cause]++
}

// likelyToFail reports whether to refuse a request because too few shards are likely to answer.
// The lock of the Entry must be held.
func (e *Entry) likelyToFail(q *request, shards []string) bool {
	forecaster := e.scheduler.ForecasterOf(q.regions())
	if !q.countsOrganisations() {
		return forecaster.LikelyToFail(q.start, shards, q.route.MinimumParts(), q.arrival.IsRetry(), rand.Float64())
	}
	return forecaster.LikelyToFailOf(q.start, q.organisationName(), shards, q.route.MinimumParts(), q.arrival.IsRetry(), rand.Float64())
}

// retrySpread is the time over which callers return that are refused at the same moment. Those
// refused for a long queue are many, and the queue takes as long to shrink.
func retrySpread(outcome searcher.Outcome) tier.Millis {
	if outcome.Cause() == searcher.QueueTooLong {
		return max(shardOutageRetryAfter, outcome.RetryAfter())
	}
	return refusalRetryAfter
}

// withOrganisation adds the name of an organisation, if there is one, to the pairs of a log line.
func withOrganisation(organisation string, pairs ...any) []any {
	if organisation == "" {
		return pairs
	}
	return append(pairs, "organisation", organisation)
}
