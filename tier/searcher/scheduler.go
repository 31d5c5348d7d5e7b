// Package searcher drives one request over the leafs (backend servers) of its
// services. It decides which leaf each call goes to, when a call is hedged or
// retried, and when the answer is sent with the parts that have arrived. A request
// to a single leaf is a search with one part.
package searcher

import (
	"math/rand/v2"
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/apportioner"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/budgeter"
	"cicadagrade.example/tier/forecaster"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/quarantiner"
)

// Parameters of hedges, retries and delegation.
const (
	// hedgeDelayFraction is the fraction of the time left until the target after
	// which an unanswered call is hedged. It leaves time for two calls to another
	// region.
	hedgeDelayFraction = 0.25
	// hedgeLatencyFactor delays the hedge to this multiple of the expected latency
	// if that is later.
	hedgeLatencyFactor = 2.0
	// hedgeReserveFactor is the multiple of a hedge's expected latency that is left
	// for it before the target.
	hedgeReserveFactor = 1.2
	// minHedgeDelay keeps a hedge from being sent together with the first call.
	minHedgeDelay = 5 * tier.Millisecond
	// hedgeSlackMs is added to hedgeLatencyFactor times the expected latency, for the
	// granularity of timers.
	hedgeSlackMs = 4.0
	// retryDelay is the wait before calling a leaf again that shed a call, and
	// before asking again for budget.
	retryDelay = 25 * tier.Millisecond
	// maxExtraRefusals is how many calls of a part, beyond its maximum of attempts,
	// may end without having run before the part is given up.
	maxExtraRefusals = 2
	// hedgeRetryDelay is the wait before looking again for a leaf with capacity for
	// a hedge.
	hedgeRetryDelay = 10 * tier.Millisecond
	// queuePollInterval is how often a queued part looks for a leaf with capacity.
	queuePollInterval = 40 * tier.Millisecond
	// minCallTime is the least time before the deadline with which a call is still
	// worth sending.
	minCallTime = 2 * tier.Millisecond
	// acceptRoundTrips and acceptSlackMs bound how long a VM may take to accept a
	// share: round trips to it, plus milliseconds for its processing.
	acceptRoundTrips = 2.0
	acceptSlackMs    = 25.0
	// shareReplyMargin is reserved for both VMs' processing of a share's reply.
	shareReplyMargin = 5 * tier.Millisecond
	// minOwnLateness is how late this VM must be itself, after the time at which it had to look at a
	// share, to give the other VM more time, and maxRespite bounds that.
	minOwnLateness = 15 * tier.Millisecond
	maxRespite     = 100 * tier.Millisecond
	// reportGrace is how long after the target a share's report may arrive before
	// its VM counts as stuck.
	reportGrace = 10 * tier.Millisecond
)

// Scheduler holds the state that the searches of one VM share: the leafs, the retry
// budget and the queue of parts that wait for a leaf with capacity. It is not safe
// for concurrent use: searches are stepped one at a time.
type Scheduler struct {
	lister      *lister.Lister
	balancer    *balancer.Balancer
	budgeter    *budgeter.Budgeter
	partitioner *partitioner.Partitioner
	forecaster  *forecaster.Forecaster
	regionOf    func(dataCentre string) string
	random      func() float64
	queue       queue
	shares      map[fairKey]*apportioner.Apportioner // of services with requests of organisations
	drains      map[string]*drain                    // of services with queued parts
	waits       map[string]Wait                      // by organisation, since the last TakeWaits
	active      map[*Search]bool                     // searches that have started and not finished
	quarantiner *quarantiner.Quarantiner
	fleetSize   int                       // VMs, registered or not, as far as known
	isShard     func(service string) bool // whether a service is a shard of a route
	woken       []*Search                 // searches with actions for Resume

	knowsRegion func(region string) bool          // whether the deployment has a region
	restricted  map[string]*forecaster.Forecaster // of restricted requests, by allowed regions
	cold        coldState
	evenLoad    bool
	room        RoomUse
	closed      bool // queued parts are not sent any more
}

// SchedulerOption changes a Scheduler.
type SchedulerOption func(*Scheduler)

// WithRegions sets the regions of data centres. Without it, each data centre is a region
// of its own.
func WithRegions(regionOf func(dataCentre string) string) SchedulerOption {
	return func(sc *Scheduler) { sc.regionOf = regionOf }
}

// WithRandom replaces the source of random numbers, uniform in [0, 1).
func WithRandom(random func() float64) SchedulerOption {
	return func(sc *Scheduler) { sc.random = random }
}

// NewScheduler returns a scheduler without searches.
func NewScheduler(l *lister.Lister, b *balancer.Balancer, budget *budgeter.Budgeter, p *partitioner.Partitioner, options ...SchedulerOption) *Scheduler {
	sc := &Scheduler{
		lister: l, balancer: b, budgeter: budget, partitioner: p, forecaster: forecaster.New(), quarantiner: quarantiner.New(),
		regionOf: func(dataCentre string) string { return dataCentre }, random: rand.Float64, queue: queue{},
		shares: map[fairKey]*apportioner.Apportioner{}, drains: map[string]*drain{}, waits: map[string]Wait{}, active: map[*Search]bool{},
		isShard: func(string) bool { return false }, knowsRegion: func(string) bool { return true },
		restricted: map[string]*forecaster.Forecaster{},
	}
	for _, set := range options {
		set(sc)
	}
	b.DivideRates(sc.rateShare)
	return sc
}

// Divide assigns the shards of a request of a class to VMs near their leafs. It uses only VMs
// and leafs in the regions in which the request may be served.
func (sc *Scheduler) Divide(class string, shards []string, regions tier.RegionSet) []partitioner.Share {
	locationsOf := func(shard string) []partitioner.Location {
		leafs := sc.placedLeafs(shard, regions)
		list := make([]partitioner.Location, len(leafs))
		for i, leaf := range leafs {
			list[i] = partitioner.Location{DataCentre: leaf.DataCentre(), Region: sc.regionOf(leaf.DataCentre())}
		}
		return list
	}
	return sc.partitioner.Partition(class, shards, regions, locationsOf, sc.random)
}

// ownerCount is an upper bound on the number of VMs that own a service, that is,
// usually query it: there is one in each region with a leaf, so at most one for each
// leaf. It is 0 if this VM is not an owner.
func (sc *Scheduler) ownerCount(now tier.Millis, service string) int {
	leafs := sc.lister.Leafs(service)
	leafInRegion := false
	for _, leaf := range leafs {
		leafInRegion = leafInRegion || sc.balancer.InRegion(leaf)
	}
	if !leafInRegion || !sc.partitioner.Owns(now, service, sc.leafIn(service)) {
		return 0
	}
	return max(1, len(leafs))
}

// leafIn returns a function that reports whether a service has a leaf in a data centre.
func (sc *Scheduler) leafIn(service string) func(dataCentre string) bool {
	leafs := sc.lister.Leafs(service)
	return func(dataCentre string) bool {
		return slices.ContainsFunc(leafs, func(leaf lister.Leaf) bool { return leaf.DataCentre() == dataCentre })
	}
}

// Lister holds the registered leafs.
func (sc *Scheduler) Lister() *lister.Lister { return sc.lister }

// Balancer holds the observed latencies and failures of leafs.
func (sc *Scheduler) Balancer() *balancer.Balancer { return sc.balancer }

// Budgeter holds the budget of hedges and retries.
func (sc *Scheduler) Budgeter() *budgeter.Budgeter { return sc.budgeter }

// Partitioner divides a request's shards among VMs.
func (sc *Scheduler) Partitioner() *partitioner.Partitioner { return sc.partitioner }

// Quarantiner knows the requests under which leafs have ended.
func (sc *Scheduler) Quarantiner() *quarantiner.Quarantiner { return sc.quarantiner }

// Forecaster predicts requests that will not get enough parts.
func (sc *Scheduler) Forecaster() *forecaster.Forecaster { return sc.forecaster }

// Active calls a function with each search in progress.
func (sc *Scheduler) Active(do func(*Search)) {
	for s := range sc.active {
		do(s)
	}
}

// Busy reports whether a search is in progress.
func (sc *Scheduler) Busy() bool { return len(sc.active) > 0 }

// Close leaves queued parts unsent: the VM is about to stop, and their searches expire.
func (sc *Scheduler) Close() { sc.closed = true }

// LinksChanged makes other VMs query leafs for this one, if the balancer says that it has lost
// its links to them, or ends that. All searches in progress wake up.
func (sc *Scheduler) LinksChanged(now tier.Millis) {
	sc.partitioner.ExcludeSelf(now, sc.balancer.LinksLost())
	sc.forecaster.Reset() // it has judged shards by links of this VM
	clear(sc.restricted)
	for s := range sc.active {
		sc.wake(s)
	}
}

// Terms are the limits of a request: times, attempts and the parts that it needs.
type Terms struct {
	class           string
	idempotent      bool
	maxAttempts     int
	minimumParts    int
	forwardFailures bool
	flushes         bool
	cautious        bool
	repeated        bool
	rank            int
	fingerprints    func() []quarantiner.Fingerprint
	target          tier.Millis
	deadline        tier.Millis
	regions         tier.RegionSet
	organisation    string
	weight          float64
	refuses         func(vm string) bool // whether a VM would refuse shares
}

// TermsOption sets one of the Terms.
type TermsOption func(*Terms)

// NewTerms returns the terms of a request of a class, usually its route. It should
// be answered by target and fails at deadline, both on the clock of the now
// arguments of Search.
func NewTerms(class string, target, deadline tier.Millis, options ...TermsOption) Terms {
	t := Terms{class: class, target: min(target, deadline), deadline: deadline, maxAttempts: 1, minimumParts: 1, refuses: func(string) bool { return false }}
	for _, set := range options {
		set(&t)
	}
	return t
}

// Target is when the answer should be sent.
func (t Terms) Target() tier.Millis { return t.target }

// Idempotent allows calls to be hedged, and retried after they may have run.
func Idempotent() TermsOption { return func(t *Terms) { t.idempotent = true } }

// WithMaxAttempts limits the calls of each part that may run.
func WithMaxAttempts(n int) TermsOption { return func(t *Terms) { t.maxAttempts = max(n, 1) } }

// WithRank sets the rank. Parts of a lower rank leave the queue first.
func WithRank(rank int) TermsOption { return func(t *Terms) { t.rank = rank } }

// WithMinimumParts sets how many parts a successful answer needs.
func WithMinimumParts(n int) TermsOption { return func(t *Terms) { t.minimumParts = n } }

// ForwardFailures returns a leaf's failure reply to the caller if no other leaf
// answers.
func ForwardFailures() TermsOption { return func(t *Terms) { t.forwardFailures = true } }

// WithFingerprints sets the function that returns the request's fingerprints. It is called
// when leafs have ended under some request.
func WithFingerprints(fingerprints func() []quarantiner.Fingerprint) TermsOption {
	return func(t *Terms) { t.fingerprints = fingerprints }
}

// Repeated counts the first call of each part as an extra one, because another VM may
// have made it already.
func Repeated() TermsOption { return func(t *Terms) { t.repeated = true } }

// Cautious sends the request to one leaf first, and to others once that one has answered,
// because leafs have ended under such requests.
func Cautious() TermsOption { return func(t *Terms) { t.cautious = true } }

// InRegions sets the regions in which the request may be served.
func InRegions(regions tier.RegionSet) TermsOption { return func(t *Terms) { t.regions = regions } }

// WithOrganisation sets the caller's organisation, and the weight of its requests relative to
// those of others where they wait for the same leafs.
func WithOrganisation(name string, weight float64) TermsOption {
	return func(t *Terms) { t.organisation, t.weight = name, weight }
}

// WithRefusals tells which VMs are overloaded and would refuse shares of this request. They get none.
func WithRefusals(refuses func(vm string) bool) TermsOption {
	return func(t *Terms) { t.refuses = refuses }
}

// ForAnotherVM hands parts on by Flush: at the target time all that have arrived,
// then each later one at once. The search goes on until no further part can arrive.
func ForAnotherVM() TermsOption { return func(t *Terms) { t.flushes = true } }
