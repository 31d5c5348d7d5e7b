// Package refresher decides where a VM reads its view of the store from. Of the large VMs,
// the relays, one polls the store, and two copy its changes and take its place if their
// views grow old: these three are the watchers. The other relays copy the changes from the
// watchers, and small VMs copy them from the relays near them, so that neither the store's
// load nor that of a relay grows with the number of small VMs. A VM that starts takes its
// first view from a neighbour; it reads the store itself only if no neighbour has one.
package refresher

import (
	"math/rand/v2"
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
)

// Intervals and limits of reading.
const (
	// pollInterval is the pause after a round that brought a fresh view. Long polling
	// would save nothing: leafs write so often that a waiting call would return at once.
	pollInterval = 450 * tier.Millisecond
	// relayPollInterval is the same for relays that copy from another VM, if there are no more
	// than maxFastRelays: others get their views one step later.
	relayPollInterval = 250 * tier.Millisecond
	maxFastRelays     = 48
	// pauseJitter bounds the random time by which pauses are longer.
	pauseJitter = 100 * tier.Millisecond
	// retryInterval is the pause after a round in which nobody answered.
	retryInterval = 200 * tier.Millisecond
	// joinInterval is the pause after a round that brought no first view.
	joinInterval = 120 * tier.Millisecond
	// maxPeersPerRound is how many VMs are asked in one round.
	maxPeersPerRound = 3
	// maxDirectReaders is how many relays read the whole view from the store when they start,
	// by their order, without asking others before.
	maxDirectReaders = 24
	// maxRelayRank bounds the ranks of the relays that a large VM asks, in the order of
	// Partitioner.Relays, if the first ones do not answer or have an old view.
	maxRelayRank = 8
	// minStoreBackoff is the wait before the store is read again after a failure.
	// Further failures double it, up to maxStoreBackoff.
	minStoreBackoff = 200 * tier.Millisecond
	maxStoreBackoff = 1600 * tier.Millisecond
)

// Ages of views.
const (
	// freshViewAge is the age up to which the view of another VM is fresh for a large
	// VM, and followerFreshViewAge the same for a small one, which gets it one step
	// later. Changes still take effect in time.
	freshViewAge         = 1600 * tier.Millisecond
	followerFreshViewAge = 2200 * tier.Millisecond
	// takeoverAge is the age of its view from which a relay that is not the first one reads
	// the store itself. takeoverStep is added for each rank, so that they begin one after
	// the other while nobody can read the store.
	takeoverAge  = 450 * tier.Millisecond
	takeoverStep = 250 * tier.Millisecond
	// cutOffAge is the age of the view from which a small VM reads the store if no VM
	// answers it, and outageAge if others answer with views as old. Up to their jitters
	// are added, to spread the load on a store that has just returned.
	cutOffAge       = 1600 * tier.Millisecond
	cutOffAgeJitter = 800 * tier.Millisecond
	outageAge       = 8 * tier.Second
	outageAgeJitter = 8 * tier.Second
)

// Patience is how long a VM that starts waits for others to have a view before it reads the
// whole view from the store.
const (
	// neighbourPatience is the wait of a small VM that knows of large ones, and
	// neighbourPatienceJitter what is added at most.
	neighbourPatience       = 350 * tier.Millisecond
	neighbourPatienceJitter = 300 * tier.Millisecond
	// loadingPatienceFactor multiplies both if a neighbour is reading the store: it will have
	// a view sooner than this VM could read one, most of all from a slow store.
	loadingPatienceFactor = 5
	// bootstrapPatiencePerMissingCore is the wait at the first start of the deployment, when
	// nobody knows which VMs are large, for each time that a core exceeds the VM's cores.
	bootstrapPatiencePerMissingCore = 250 * tier.Millisecond
	maxBootstrapPatience            = 2000 * tier.Millisecond
)

// Source is where to read from next.
type Source interface{ source() }

// Store is the store itself.
type Store struct {
	Whole bool // read the whole view, not only changes
}

// StoreVMs is the store's list of registered VMs, which may be seconds old.
type StoreVMs struct{}

// Peer is the view of another VM.
type Peer struct{ Member partitioner.Member }

// Seed is the list of registered VMs that the VM at an address knows.
type Seed struct{ Address string }

// Pause ends a round.
type Pause struct {
	For tier.Millis
	// Stale says that the view is too old to rely on: neither the store nor a VM with a
	// fresh view answers.
	Stale bool
}

func (Store) source()    {}
func (StoreVMs) source() {}
func (Peer) source()     {}
func (Seed) source()     {}
func (Pause) source()    {}

// Refresher is the state of one VM. It is not safe for concurrent use.
type Refresher struct {
	partitioner *partitioner.Partitioner
	seeds       []string
	bootstrap   bool
	random      func() float64
	loaded      bool
	startedAt   tier.Millis // time of the first Next
	started     bool
	waitFactor  float64 // drawn once, from 0 to 1: which part of the jitter of a wait is added

	storeRetryAt tier.Millis
	storeBackoff tier.Millis
	storeFailed  bool // the last read of the store failed

	neighbourLoading bool // a VM has answered that it has no view yet

	// State of the current round.
	tried        []string // names of VMs and addresses of seeds that were asked
	peersTried   int
	storeTried   bool
	vmsListed    bool
	peerAnswered bool
	fresh        bool
}

// Option changes a Refresher.
type Option func(*Refresher)

// WithSeeds sets addresses of VMs to ask for other VMs if the store does not answer.
func WithSeeds(addresses []string) Option { return func(r *Refresher) { r.seeds = addresses } }

// AtBootstrap says that the whole deployment starts for the first time.
func AtBootstrap() Option { return func(r *Refresher) { r.bootstrap = true } }

// WithRandom replaces the source of random numbers, uniform in [0, 1).
func WithRandom(random func() float64) Option { return func(r *Refresher) { r.random = random } }

// New returns the refresher of a VM without a view.
func New(p *partitioner.Partitioner, options ...Option) *Refresher {
	r := &Refresher{partitioner: p, random: rand.Float64}
	for _, set := range options {
		set(r)
	}
	r.waitFactor = r.random()
	return r
}

// ViewAge is the greatest age that a view can have at the end of the read that brought it: its age as
// its source told it, plus the time of the read. Without the latter, VMs that copy from each other
// would make a view look fresher with each copy.
func ViewAge(told, took tier.Millis) tier.Millis { return told + took }

// Loaded reports whether the VM has a view.
func (r *Refresher) Loaded() bool { return r.loaded }

// Next returns where to read from next, given the age of the VM's view. It is called again
// after Succeeded or Failed, or after the time of a Pause.
func (r *Refresher) Next(now, viewAge tier.Millis) Source {
	if !r.started {
		r.started, r.startedAt = true, now
	}
	var next Source
	if r.loaded {
		next = r.nextRefresh(now, viewAge)
	} else {
		next = r.nextJoin(now)
	}
	switch next := next.(type) {
	case Peer:
		r.tried = append(r.tried, next.Member.VM().Name())
		r.peersTried++
	case Seed:
		r.tried = append(r.tried, next.Address)
	case Store:
		r.storeTried = true
	case StoreVMs:
		r.vmsListed = true
	case Pause:
		next.For += tier.Millis(r.random() * float64(pauseJitter))
		r.tried, r.peersTried = r.tried[:0], 0
		r.storeTried, r.vmsListed, r.peerAnswered, r.fresh = false, false, false, false
		return next
	}
	return next
}

// Succeeded handles the end of a read. age is the age of the view that a Peer sent, and 0
// for other sources.
func (r *Refresher) Succeeded(from Source, age tier.Millis) {
	switch from.(type) {
	case Store:
		r.loaded, r.fresh, r.storeFailed, r.storeBackoff = true, true, false, 0
	case StoreVMs:
		r.storeFailed, r.storeBackoff = false, 0
	case Peer:
		r.peerAnswered = true
		r.fresh = age <= r.freshAge()
		// While the store does not answer, an old view is what all others use as well.
		r.loaded = r.loaded || r.fresh || r.storeFailed
	}
}

// Failed handles a read that brought nothing.
func (r *Refresher) Failed(now tier.Millis, from Source) {
	switch from.(type) {
	case Store, StoreVMs:
		r.storeFailed = true
		r.storeBackoff = min(max(minStoreBackoff, 2*r.storeBackoff), maxStoreBackoff)
		r.storeRetryAt = now + r.storeBackoff
	}
}

// NoView handles the answer of a VM that has no view yet.
func (r *Refresher) NoView() { r.neighbourLoading = true }

// nextRefresh continues a round of a VM that has a view.
func (r *Refresher) nextRefresh(now, viewAge tier.Millis) Source {
	relays := r.partitioner.Relays()
	rank := r.place(relays)
	switch {
	case r.fresh && rank > 0 && len(relays) <= maxFastRelays:
		return Pause{For: relayPollInterval}
	case r.fresh:
		return Pause{For: pollInterval}
	}
	mayReadStore := !r.storeTried && (now >= r.storeRetryAt || !r.storeFailed)
	// A watcher reads the store once those before it have not brought a fresh view; the first
	// one has nobody before it.
	isWatcher := rank >= 0 && rank < len(r.partitioner.StoreWatchers())
	if isWatcher && (rank == 0 || r.peersTried > 0) && mayReadStore {
		return Store{}
	}
	if m, ok := r.pickRelay(relays, rank); ok {
		return Peer{Member: m}
	}
	if mayReadStore && viewAge >= r.storeAge(rank) {
		return Store{}
	}
	pause := Pause{For: retryInterval, Stale: viewAge > followerFreshViewAge}
	if r.peerAnswered {
		pause.For = pollInterval
	}
	return pause
}

// place returns the index of this VM in a list, or -1.
func (r *Refresher) place(list []partitioner.Member) int {
	name := r.partitioner.Self().VM().Name()
	return slices.IndexFunc(list, func(m partitioner.Member) bool { return m.VM().Name() == name })
}

// freshAge is the age up to which the view of another VM is fresh for this one. The VMs that
// watch the store need it as fresh as they could read it themselves.
func (r *Refresher) freshAge() tier.Millis {
	if !r.partitioner.IsLarge() {
		return followerFreshViewAge
	}
	if rank := r.place(r.partitioner.StoreWatchers()); rank >= 0 && r.loaded {
		return r.storeAge(rank)
	}
	return freshViewAge
}

// storeAge is the age of its view from which the VM reads the store. rank is its place among
// the relays, or negative.
func (r *Refresher) storeAge(rank int) tier.Millis {
	switch {
	case rank >= 0:
		return takeoverAge + tier.Millis(rank)*takeoverStep
	case r.peerAnswered:
		return outageAge + tier.Millis(r.waitFactor*float64(outageAgeJitter))
	}
	return cutOffAge + tier.Millis(r.waitFactor*float64(cutOffAgeJitter))
}

// pickRelay picks at random the next VM to copy from. A watcher asks those before it, any
// other relay the watchers, those of its region first; if they fail or have an old view,
// also the relays that follow them. A VM that is no relay asks the relays near it.
func (r *Refresher) pickRelay(relays []partitioner.Member, rank int) (partitioner.Member, bool) {
	if r.peersTried >= maxPeersPerRound {
		return partitioner.Member{}, false
	}
	candidates := relays
	if rank >= 0 {
		count := len(r.partitioner.StoreWatchers())
		if rank < count {
			count = rank
		}
		if r.peersTried > 0 || count == 0 {
			count = maxRelayRank
		}
		candidates = relays[:min(count, len(relays))]
	}
	return r.pick(r.nearest(candidates, rank < 0))
}

// nearest returns the candidates that were not tried in this round and are in this VM's data
// centre (if wanted), else those in its region, else all of them.
func (r *Refresher) nearest(candidates []partitioner.Member, inDataCentre bool) []partitioner.Member {
	self := r.partitioner.Self()
	var left, sameRegion, sameDataCentre []partitioner.Member
	for _, m := range candidates {
		if m.VM().Name() == self.VM().Name() || slices.Contains(r.tried, m.VM().Name()) {
			continue
		}
		left = append(left, m)
		if m.Region() != self.Region() {
			continue
		}
		sameRegion = append(sameRegion, m)
		if m.VM().DataCentre() == self.VM().DataCentre() {
			sameDataCentre = append(sameDataCentre, m)
		}
	}
	switch {
	case inDataCentre && len(sameDataCentre) > 0:
		return sameDataCentre
	case len(sameRegion) > 0:
		return sameRegion
	}
	return left
}

func (r *Refresher) pick(list []partitioner.Member) (partitioner.Member, bool) {
	if len(list) == 0 {
		return partitioner.Member{}, false
	}
	return list[int(r.random()*float64(len(list)))%len(list)], true
}
