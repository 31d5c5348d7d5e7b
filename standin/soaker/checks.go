package soaker

import (
	"fmt"

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
	memoryLimitMB = 96
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
	// toleratedUnknown proper requests may get 401, 403 or 404 at VMs that are disturbed.
	toleratedUnknown = 10
	// regressionSlack is how long after a leaf has seen the effect of a version the VM may still
	// handle a request by an older one.
	regressionSlack = 250 * tier.Millisecond
	// Bounds of evacuations, cold leafs, quotas and withdrawn keys.
	evacuationBound = 5 * tier.Second
	coldOverage     = 1.5
	coldSlack       = 5
	quotaWindow     = 5 * tier.Second
	quotaOverage    = 0.1
	quotaSlack      = 20
	revocationBound = 5 * tier.Second
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
		{"regions", false, allowedRegions},
		{"organisation", false, namedOrganisations},
		{"retry-budget", false, boundedRetries},
		{"no-exit", false, noUnexpectedExits},
		{"memory", false, boundedMemory},
		{"older-again", false, regressions},
		{"rest", false, rests},
		{"leaving", true, leavings},
		{"time-left", true, remainingTime},
		{"caller-left", true, noCallsAfterCallerLeft},
		{"configuration", true, configurationPropagation},
		{"denied", true, denials},
		{"drain", true, drains},
		{"stop", true, plannedStops},
		{"evacuation", true, evacuations},
		{"quota", true, quotas},
		{"cold", true, coldRates},
		{"keys", true, validKeys},
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
