package router

import "cicadagrade.example/tier"

// Target is a service of a route with its share of the route's requests.
type Target struct {
	service string
	weight  float64
}

// NewTarget returns a target. A weight of 0 takes no requests.
func NewTarget(service string, weight float64) Target {
	return Target{service: service, weight: weight}
}

// Service names the service.
func (t Target) Service() string { return t.service }

// Weight is the target's share, relative to the other targets of its route.
func (t Target) Weight() float64 { return t.weight }

// Route says where requests with one host and path prefix go, and what they
// are owed.
type Route struct {
	name         string
	host         string
	prefix       string
	repeatable   bool
	timeout      tier.Millis
	aim          tier.Millis
	rank         int
	attempts     int
	targets      []Target
	shards       []string
	top          int
	minimumShare float64
}

// Option sets a part of a route.
type Option func(*Route)

// NewRoute returns a route for a host and a path prefix that begins and ends
// with a slash.
func NewRoute(name, host, prefix string, options ...Option) *Route {
	r := &Route{name: name, host: host, prefix: prefix, attempts: 1}
	for _, o := range options {
		o(r)
	}
	return r
}

// Idempotent lets requests of the route run more than once.
func Idempotent() Option { return func(r *Route) { r.repeatable = true } }

// WithTimeouts sets how long a request may be kept waiting at most, and within
// which time its answer is worth most.
func WithTimeouts(timeout, aim tier.Millis) Option {
	return func(r *Route) { r.timeout, r.aim = timeout, aim }
}

// WithRank sets the rank; 0 is the most urgent.
func WithRank(rank int) Option { return func(r *Route) { r.rank = rank } }

// WithMaxAttempts sets to how many leafs one request may be sent, for each shard.
func WithMaxAttempts(n int) Option { return func(r *Route) { r.attempts = max(n, 1) } }

// ToTargets sends each request to one of the targets.
func ToTargets(targets ...Target) Option { return func(r *Route) { r.targets = targets } }

// ToShards asks every shard and merges the top greatest records. An answer
// needs at least minimumShare of the shards, from 0 to 1.
func ToShards(top int, minimumShare float64, shards ...string) Option {
	return func(r *Route) { r.top, r.minimumShare, r.shards = top, minimumShare, shards }
}

// Name is the operator's name for the route.
func (r *Route) Name() string { return r.name }

// Host is the host name it serves, in lower case.
func (r *Route) Host() string { return r.host }

// Prefix is the path prefix it serves.
func (r *Route) Prefix() string { return r.prefix }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.repeatable }

// Timeout is the longest time to keep a request waiting.
func (r *Route) Timeout() tier.Millis { return r.timeout }

// LatencyTarget is the latency objective.
func (r *Route) LatencyTarget() tier.Millis { return r.aim }

// Rank is the urgency; 0 is the most urgent.
func (r *Route) Rank() int { return r.rank }

// MaxAttempts is to how many leafs a request may be sent, for each shard.
func (r *Route) MaxAttempts() int { return r.attempts }

// Targets are the services that share the route's requests.
func (r *Route) Targets() []Target { return r.targets }

// Shards are the services that each hold a part of the records; empty for a
// route to targets.
func (r *Route) Shards() []string { return r.shards }

// IsScatterGather reports whether requests go to all shards.
func (r *Route) IsScatterGather() bool { return len(r.shards) > 0 }

// TopK is how many records an answer has at most.
func (r *Route) TopK() int { return r.top }

// MinimumParts is the least number of shards that an answer needs.
func (r *Route) MinimumParts() int { return r.MinimumPartsOf(len(r.shards)) }

// MinimumPartsOf is the least number of a share of n shards that meets the
// route's minimum.
func (r *Route) MinimumPartsOf(n int) int {
	// The tolerance keeps 0.75 * 20 at 15 whatever the rounding.
	const tolerance = 1e-9
	least := int(r.minimumShare * float64(n))
	for float64(least) < r.minimumShare*float64(n)-tolerance {
		least++
	}
	return max(least, min(1, n))
}

// PickService picks the service of a request. draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, t := range r.targets {
		total += t.weight
	}
	at := draw * total
	last := ""
	for _, t := range r.targets {
		if t.weight <= 0 {
			continue
		}
		last = t.service
		if at < t.weight {
			return last
		}
		at -= t.weight
	}
	if last == "" && len(r.targets) > 0 {
		return r.targets[0].service
	}
	return last
}
