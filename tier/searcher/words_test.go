package searcher

import (
	"strconv"
	"strings"
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/budgeter"
	"cicadagrade.example/tier/partitioner"
)

// parseRegions parses a list of regions of a script, or - for none.
func parseRegions(list string) tier.RegionSet {
	if list == "-" {
		return tier.RestrictedTo()
	}
	return tier.RestrictedTo(strings.Split(list, ",")...)
}

// parseInt parses a number of a script.
func parseInt(t *testing.T, word string) int {
	t.Helper()
	value, err := strconv.Atoi(word)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// parseFloat parses a decimal number of a script.
func parseFloat(t *testing.T, word string) float64 {
	t.Helper()
	value, err := strconv.ParseFloat(word, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// schedule makes a new scheduler.
func (s *script) schedule(balancing []balancer.Option, options ...SchedulerOption) {
	self := partitioner.NewMember(tier.NewVM("self", "a", "self:1", tier.WithVMState(tier.VMLive)), "home", 1)
	regionOf := func(dataCentre string) string {
		switch {
		case dataCentre == "e":
			return "third"
		case s.distance(dataCentre) == balancer.OtherRegion:
			return "away"
		}
		return "home"
	}
	random := func() float64 { return 0.5 }
	s.scheduler = NewScheduler(s.lister, balancer.New(s.distance, append(balancing, balancer.WithRandom(random))...), budgeter.New(0.2, 20, 1), partitioner.New(self),
		append(options, WithRegions(regionOf), WithRandom(random), WithKnownRegions(func(region string) bool { return region != "unknown" }))...)
}
