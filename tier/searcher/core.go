// Package searcher drives one request over the leafs of its services: which
// leaf is asked, when a second one is, and when the answer goes out with the
// parts that are in. A request to a single leaf is a search with one part.
package searcher

import (
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/budgeter"
	"cicadagrade.example/tier/forecaster"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
)

// Defaults of a Core.
const (
	// hedgeShare is the part of the time to the aim after which a call that
	// has not been answered is hedged. It leaves time for two remote calls.
	hedgeShare = 0.25
	// hedgeFactor hedges a call at this multiple of its expected latency, if
	// that is later.
	hedgeFactor = 2.0
	// hedgeReserve is the multiple of a hedge's expected latency that is kept
	// before the aim.
	hedgeReserve = 1.2
	// leastPatience keeps a hedge from going out with the first call.
	leastPatience = 5 * tier.Millisecond
	// hedgeSlack is added to it, for the granularity of timers.
	hedgeSlack = 4.0
	// retryPause is the wait before a leaf is asked again that had no room.
	retryPause = 25 * tier.Millisecond
	// maxRefusals is how many calls of a part beyond its attempts may be turned
	// away until it is given up.
	maxRefusals = 2
	// hedgeRetry is the wait for room at a leaf for a hedge.
	hedgeRetry = 10 * tier.Millisecond
	// lookAgain is how often a part that waits for room looks for it.
	lookAgain = 40 * tier.Millisecond
	// leastTime is the least time worth giving a leaf.
	leastTime = 2 * tier.Millisecond
	// acceptFactor and acceptSlack are how long a VM may take to say that it
	// has got a share: round trips, and milliseconds for its processor.
	acceptFactor = 2.0
	acceptSlack  = 25.0
	// hopMargin is kept for the work of two VMs on a share's reply.
	hopMargin = 5 * tier.Millisecond
	// reportSlack is how long after the aim a share's report may come before
	// the VM that has it is taken for stuck.
	reportSlack = 10 * tier.Millisecond
)

// Scheduler is what the searches of one VM share. It is not safe for concurrent
// use: one search steps at a time.
type Scheduler struct {
	lister     *lister.Lister
	balancer   *balancer.Balancer
	budgeter   *budgeter.Budgeter
	sharer     *partitioner.Partitioner
	forecaster *forecaster.Forecaster
	queue      queue
	woken      []*Search
}

// NewScheduler returns a core.
func NewScheduler(l *lister.Lister, b *balancer.Balancer, u *budgeter.Budgeter, s *partitioner.Partitioner) *Scheduler {
	return &Scheduler{lister: l, balancer: b, budgeter: u, sharer: s, forecaster: forecaster.New(), queue: queue{}}
}

// owners is the number of VMs that usually ask a service, one in each region
// with a leaf of it, or 0 if this VM is none of them.
func (c *Scheduler) owners(now tier.Millis, service string) int {
	leafs := c.lister.Leafs(service)
	home := false
	for _, f := range leafs {
		home = home || c.balancer.InRegion(f)
	}
	leafIn := func(dataCentre string) bool {
		return slices.ContainsFunc(leafs, func(f lister.Leaf) bool { return f.DataCentre() == dataCentre })
	}
	if !home || !c.sharer.Owns(now, service, leafIn) {
		return 0
	}
	return max(1, len(leafs))
}

// Lister is the list of leafs.
func (c *Scheduler) Lister() *lister.Lister { return c.lister }

// Balancer holds what was seen of leafs.
func (c *Scheduler) Balancer() *balancer.Balancer { return c.balancer }

// Budgeter holds the budget of extra calls.
func (c *Scheduler) Budgeter() *budgeter.Budgeter { return c.budgeter }

// Partitioner divides searches among VMs.
func (c *Scheduler) Partitioner() *partitioner.Partitioner { return c.sharer }

// Forecaster tells hopeless requests.
func (c *Scheduler) Forecaster() *forecaster.Forecaster { return c.forecaster }

// Terms are what a request is owed.
type Terms struct {
	class      string
	repeatable bool
	attempts   int
	minimum    int
	whole      bool
	flushes    bool
	rank       int
	aim        tier.Millis
	end        tier.Millis
}

// TermsOption sets a part of Terms.
type TermsOption func(*Terms)

// NewTerms returns the terms of a request of a class, which is to be answered
// by aim and ends at end, both on the caller's clock of Step.
func NewTerms(class string, aim, end tier.Millis, options ...TermsOption) Terms {
	t := Terms{class: class, aim: min(aim, end), end: end, attempts: 1, minimum: 1}
	for _, o := range options {
		o(&t)
	}
	return t
}

// Target is when the answer is to go out.
func (t Terms) Target() tier.Millis { return t.aim }

// Idempotent lets calls be hedged and retried.
func Idempotent() TermsOption { return func(t *Terms) { t.repeatable = true } }

// WithMaxAttempts sets to how many leafs each part may be sent.
func WithMaxAttempts(n int) TermsOption { return func(t *Terms) { t.attempts = max(n, 1) } }

// WithRank sets the rank; a lower one goes first where parts wait.
func WithRank(rank int) TermsOption { return func(t *Terms) { t.rank = rank } }

// WithMinimumParts sets the least number of parts of an answer.
func WithMinimumParts(n int) TermsOption { return func(t *Terms) { t.minimum = n } }

// ForwardFailures hands a leaf's own failure on if no other leaf answers.
func ForwardFailures() TermsOption { return func(t *Terms) { t.whole = true } }

// ForAnotherVM hands parts on by Flush: all that are in at the aim, and each
// later one at once. The search goes on until no part can come any more.
func ForAnotherVM() TermsOption { return func(t *Terms) { t.flushes = true } }
