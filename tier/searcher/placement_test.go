package searcher

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// placesOf lists the leafs and VMs to which a transcript's search q was sent. The first letter
// of a name is that of its region, f for the leafs of away.
func placesOf(transcript string) []string {
	var places []string
	for _, match := range regexp.MustCompile(`q> (?:send|delegate).* to ([a-z0-9-]+),`).FindAllStringSubmatch(transcript, -1) {
		places = append(places, match[1])
	}
	return places
}

// TestRestrictedRequestsStayInTheirRegions plays each path by which a request leaves the VM, of
// testdata/placement/paths.txt. It guards against a path that does not ask where the request may
// go: without the regions of search q, each of them reaches a place that they do not allow.
func TestRestrictedRequestsStayInTheirRegions(t *testing.T) {
	file, err := os.ReadFile("testdata/placement/paths.txt")
	if err != nil {
		t.Fatal(err)
	}
	restriction := regexp.MustCompile(`(?m)^(search q .*)regions (\w+) `)
	var table strings.Builder
	for _, text := range strings.Split("\n"+string(file), "\n== ")[1:] {
		path, lines, _ := strings.Cut(text, "\n")
		allowed := restriction.FindStringSubmatch(lines)[2]
		play := func(lines string) []string {
			s := newScript(t)
			for _, line := range strings.Split(lines, "\n") {
				s.play(line)
			}
			return placesOf(s.out.String())
		}
		outside := func(place string) bool {
			region := map[byte]string{'h': "home", 'f': "away", 'a': "away", 't': "third"}[place[0]]
			return region != allowed
		}
		restricted, free := play(lines), play(restriction.ReplaceAllString(lines, "$1"))
		if slices.ContainsFunc(restricted, outside) {
			t.Errorf("%s: the request went to %v, only %s is allowed", path, restricted, allowed)
		}
		if !slices.ContainsFunc(free, outside) {
			t.Errorf("%s: without regions the request went to %v, so that the case shows nothing", path, free)
		}
		fmt.Fprintf(&table, "%s: only %s: %v, without regions: %v\n", path, allowed, restricted, free)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata/placement")).Assert(t, "paths", []byte(table.String()))
}

// TestUnrestrictedRequestsCostNothing guards against allocations for the regions of requests
// that have none.
func TestUnrestrictedRequestsCostNothing(t *testing.T) {
	s := newScript(t)
	s.play("leaf h1 s a")
	s.play("search q target 100 deadline 500 s")
	q := s.searches["q"]
	if n := testing.AllocsPerRun(100, func() {
		s.scheduler.usableLeafs(s.now, "s", q.terms.regions)
		q.refuseUnplaced()
		s.scheduler.ForecasterOf(q.terms.regions)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// TestLoadShiftsWithoutAStep guards against other data centres that get the load of an evacuated
// one at once: the part of the calls that they get grows evenly within the time of the ramp.
func TestLoadShiftsWithoutAStep(t *testing.T) {
	const shards, step, tolerance = 90, 100 * tier.Millisecond, 0.2
	s := newScript(t)
	var services []string
	for i := range shards {
		services = append(services, fmt.Sprint("s", i))
		s.play(fmt.Sprintf("leaf h%d s%d a 99", i, i))
		s.play(fmt.Sprintf("leaf f%d s%d c 99", i, i))
	}
	s.play("evacuate a")
	for s.now = 0; s.now <= lister.EvacuationRamp; s.now += step {
		s.lister.Tick(s.now)
		search := NewSearch(s.scheduler, NewTerms("class", s.now+200, s.now+500), services, nil)
		elsewhere := 0.0
		for _, action := range search.Start(s.now) {
			if send, ok := action.(Send); ok && send.Leaf.DataCentre() == "c" {
				elsewhere += 1.0 / shards
			}
		}
		search.Abandon(s.now)
		if even := float64(s.now) / float64(lister.EvacuationRamp); elsewhere < even-tolerance || elsewhere > even+tolerance {
			t.Errorf("after %d ms the others get %.2f of the calls, %.2f would be even", s.now, elsewhere, even)
		}
	}
}

// TestForecastsOfOtherRequests guards against requests that are refused because others, which may
// use fewer regions, lacked the same shards.
func TestForecastsOfOtherRequests(t *testing.T) {
	s := newScript(t)
	for _, leaf := range []string{"h1 s1 a 99", "h2 s2 a 99", "f1 s1 c 99", "f2 s2 c 99"} {
		s.play("leaf " + leaf)
	}
	shards := []string{"s1", "s2"}
	for i := range 30 {
		s.play(fmt.Sprintf("search q%d target 50 deadline 60 minimum 2 regions away s1 s2", i))
		s.play(fmt.Sprint("at ", 100*(i+1)))
	}
	restricted := s.scheduler.ForecasterOf(tier.RestrictedTo("away")).LikelyToFail(s.now, shards, 2, false, 0.9)
	free := s.scheduler.ForecasterOf(tier.RegionSet{}).LikelyToFail(s.now, shards, 2, false, 0.9)
	if !restricted || free {
		t.Errorf("likely to fail: restricted requests %v, others %v", restricted, free)
	}
}
