package router

import "cicadagrade.example/tier"

// Target is a service that a route sends requests to, with its weight.
type Target struct {
	service string
	weight  float64
}

// NewTarget returns a target. A target of weight 0 gets no requests.
func NewTarget(service string, weight float64) Target {
	return Target{service: service, weight: weight}
}

// Service is the name of the service.
func (t Target) Service() string { return t.service }

// Weight is the target's share of requests, relative to the other targets of its route.
func (t Target) Weight() float64 { return t.weight }

// Route says where requests with a given host and path prefix are sent, and with which
// timeout, urgency and number of attempts.
type Route struct {
	name          string
	host          string
	prefix        string
	idempotent    bool
	timeout       tier.Millis
	latencyTarget tier.Millis
	rank          int
	maxAttempts   int
	targets       []Target
	shards        []string
	topK          int
	minimumShare  float64
	regions       tier.RegionSet
	public        bool
}

// Option sets an optional field of a route.
type Option func(*Route)

// NewRoute returns a route for a host in lower case and a path prefix that begins and ends
// with a slash.
func NewRoute(name, host, prefix string, options ...Option) *Route {
	r := &Route{name: name, host: host, prefix: prefix, maxAttempts: 1}
	for _, o := range options {
		o(r)
	}
	return r
}

// Idempotent says that requests of the route may run more than once.
func Idempotent() Option { return func(r *Route) { r.idempotent = true } }

// WithTimeouts sets the longest time that a request may take, and the time within which it
// should be answered.
func WithTimeouts(timeout, latencyTarget tier.Millis) Option {
	return func(r *Route) { r.timeout, r.latencyTarget = timeout, latencyTarget }
}

// WithRank sets the rank; 0 is the most urgent.
func WithRank(rank int) Option { return func(r *Route) { r.rank = rank } }

// WithMaxAttempts sets to how many leafs, the backend servers of a service, a request may be
// sent at most, for each shard.
func WithMaxAttempts(n int) Option { return func(r *Route) { r.maxAttempts = max(n, 1) } }

// ToTargets makes the route send each request to one of the targets.
func ToTargets(targets ...Target) Option { return func(r *Route) { r.targets = targets } }

// ToShards makes the route send each request to every shard and merge the replies to the topK
// greatest records. An answer needs replies of at least minimumShare, from 0 to 1, of the
// shards.
func ToShards(topK int, minimumShare float64, shards ...string) Option {
	return func(r *Route) { r.topK, r.minimumShare, r.shards = topK, minimumShare, shards }
}

// InRegions sets the regions in which requests of the route may be served.
func InRegions(regions tier.RegionSet) Option { return func(r *Route) { r.regions = regions } }

// Public says that requests of the route need no key.
func Public() Option { return func(r *Route) { r.public = true } }

// Name is the operator's name for the route.
func (r *Route) Name() string { return r.name }

// Host is the host name that the route serves, in lower case.
func (r *Route) Host() string { return r.host }

// Prefix is the path prefix that the route serves.
func (r *Route) Prefix() string { return r.prefix }

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.idempotent }

// Timeout is the longest time that a request may take.
func (r *Route) Timeout() tier.Millis { return r.timeout }

// LatencyTarget is the time within which a request should be answered.
func (r *Route) LatencyTarget() tier.Millis { return r.latencyTarget }

// Rank is the urgency; 0 is the most urgent.
func (r *Route) Rank() int { return r.rank }

// MaxAttempts is to how many leafs a request may be sent at most, for each shard.
func (r *Route) MaxAttempts() int { return r.maxAttempts }

// Targets are the services that share the route's requests.
func (r *Route) Targets() []Target { return r.targets }

// Shards are the services that each hold one part of the records. It is empty for a route to
// targets.
func (r *Route) Shards() []string { return r.shards }

// Regions are the regions in which requests of the route may be served.
func (r *Route) Regions() tier.RegionSet { return r.regions }

// IsPublic reports whether requests of the route need no key.
func (r *Route) IsPublic() bool { return r.public }

// IsScatterGather reports whether requests are sent to all shards and the replies merged.
func (r *Route) IsScatterGather() bool { return len(r.shards) > 0 }

// TopK is how many records an answer has at most.
func (r *Route) TopK() int { return r.topK }

// MinimumShare is the least share of the shards, from 0 to 1, whose replies an answer needs.
func (r *Route) MinimumShare() float64 { return r.minimumShare }

// MinimumParts is the least number of shards whose replies an answer needs.
func (r *Route) MinimumParts() int { return r.MinimumPartsOf(len(r.shards)) }

// MinimumPartsOf is the least number of replies from n shards, all or some of the route's,
// that meets the route's minimum share.
func (r *Route) MinimumPartsOf(n int) int {
	// The tolerance absorbs floating-point errors, so that 0.75 * 20 gives 15 and not 16.
	const tolerance = 1e-9
	parts := int(r.minimumShare * float64(n))
	for float64(parts) < r.minimumShare*float64(n)-tolerance {
		parts++
	}
	return max(parts, min(1, n))
}

// PickService picks the service for a request by weight. draw is a random number, uniform in
// [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, t := range r.targets {
		total += t.weight
	}
	remaining := draw * total
	last := ""
	for _, t := range r.targets {
		if t.weight <= 0 {
			continue
		}
		last = t.service
		if remaining < t.weight {
			return last
		}
		remaining -= t.weight
	}
	if last == "" && len(r.targets) > 0 {
		return r.targets[0].service
	}
	return last
}
