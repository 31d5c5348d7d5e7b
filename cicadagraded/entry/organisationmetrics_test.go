package entry

import (
	"fmt"
	"testing"

	"cicadagrade.example/tier/searcher"
)

// TestMetricsNameTheLargestOrganisations guards against a metric for each of many organisations,
// and against counts that get lost when organisations are added up.
func TestMetricsNameTheLargestOrganisations(t *testing.T) {
	use := newOrganisationUse()
	for k := range 3 * maxCountedOrganisations {
		counts := use.of(fmt.Sprint("org-", k))
		counts.requests += int64(1 + 100/(k+1))
		counts.refusals["quota-exceeded"]++
	}
	use.of("").requests += 1000
	list := use.largest()
	if len(list) != maxNamedOrganisations+1 || list[0].name != "org-0" || list[maxNamedOrganisations].name != otherOrganisations {
		t.Fatalf("%d organisations, the first is %q", len(list), list[0].name)
	}
	requests, refused := int64(0), int64(0)
	for _, named := range list {
		requests += named.counts.requests
		refused += named.counts.refusals["quota-exceeded"]
	}
	want := int64(1000)
	for k := range 3 * maxCountedOrganisations {
		want += int64(1 + 100/(k+1))
	}
	if requests != want || refused != 3*maxCountedOrganisations {
		t.Errorf("%d requests and %d refusals, want %d and %d", requests, refused, want, 3*maxCountedOrganisations)
	}
	if len(use.byName) > maxCountedOrganisations+1 {
		t.Errorf("%d organisations are counted", len(use.byName))
	}
}

// TestLinesNameOrganisations guards against an empty organisation in the lines of deployments
// without any, and
// against another spread of their refusals.
func TestLinesNameOrganisations(t *testing.T) {
	if got := retrySpread(searcher.Outcome{}); got != refusalRetryAfter {
		t.Errorf("other refusals are spread over %d ms", got)
	}
	if pairs := withOrganisation("", "request", "a"); len(pairs) != 2 {
		t.Errorf("a line without organisation has %v", pairs)
	}
	if pairs := withOrganisation("org-1", "request", "a"); len(pairs) != 4 || pairs[3] != "org-1" {
		t.Errorf("a line of an organisation has %v", pairs)
	}
}
