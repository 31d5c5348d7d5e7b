// Package searcher drives one request over the leafs of its services: which
// leaf is asked, when a second one is, and when the answer goes out with the
// parts that are in. A request to a single leaf is a search with one part.
package searcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/budgeter"
	"cicadagrade.example/tier/lister"
)

// Defaults of a Core.
const (
	// hedgeShare is the part of the time to the aim after which a call that
	// has not been answered is hedged. It leaves time for two remote calls.
	hedgeShare = 0.25
	// hedgeFactor hedges a call at this multiple of its expected latency, if
	// that is later.
	hedgeFactor = 2.0
	// hedgeSlack is added to it, for the granularity of timers.
	hedgeSlack = 4.0
	// retryPause is the wait before a leaf is asked again that had no room.
	retryPause = 25 * tier.Millisecond
	// leastTime is the least time worth giving a leaf.
	leastTime = 2 * tier.Millisecond
)

// Core is what the searches of one VM share. It is not safe for concurrent
// use: one search steps at a time.
type Core struct {
	lister   *lister.Lister
	balancer *balancer.Balancer
	budgeter *budgeter.Budgeter
}

// NewCore returns a core.
func NewCore(l *lister.Lister, b *balancer.Balancer, u *budgeter.Budgeter) *Core {
	return &Core{lister: l, balancer: b, budgeter: u}
}

// Lister is the list of leafs.
func (c *Core) Lister() *lister.Lister { return c.lister }

// Balancer holds what was seen of leafs.
func (c *Core) Balancer() *balancer.Balancer { return c.balancer }

// Budgeter holds the budget of extra calls.
func (c *Core) Budgeter() *budgeter.Budgeter { return c.budgeter }

// Terms are what a request is owed.
type Terms struct {
	class      string
	repeatable bool
	attempts   int
	minimum    int
	whole      bool
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

// Repeatable lets calls be hedged and retried.
func Repeatable() TermsOption { return func(t *Terms) { t.repeatable = true } }

// WithAttempts sets to how many leafs each part may be sent.
func WithAttempts(n int) TermsOption { return func(t *Terms) { t.attempts = max(n, 1) } }

// WithMinimum sets the least number of parts of an answer.
func WithMinimum(n int) TermsOption { return func(t *Terms) { t.minimum = n } }

// PassFailures hands a leaf's own failure on if no other leaf answers.
func PassFailures() TermsOption { return func(t *Terms) { t.whole = true } }
