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
	// storePatience and peerPatience are how long a read may take before the next source is asked
	// beside it: several times what it takes in calm, so that a silent source costs little.
	storePatience = 120 * tier.Millisecond
	peerPatience  = 100 * tier.Millisecond
	// joinPatience is the same for the first, whole view.
	joinPatience = 400 * tier.Millisecond
	// maxReads is how many reads are in progress at a time.
	maxReads = 4
	// maxDirectReaders is how many relays read the whole view from the store when they start,
	// by their order, without asking others before.
	maxDirectReaders = 24
	// minStoreBackoff is the wait before the store is read again after a failure.
	// Further failures double it, up to maxStoreBackoff.
	minStoreBackoff = 200 * tier.Millisecond
	maxStoreBackoff = 1600 * tier.Millisecond
)

// Ages of views.
const (
	// freshViewAge is the age up to which the view of another VM is fresh for a large
	// VM: little more than that of a watcher in calm. followerFreshViewAge is the same for a small
	// one, which gets it one step later.
	freshViewAge         = 1000 * tier.Millisecond
	followerFreshViewAge = 1600 * tier.Millisecond
	// staleViewAge is the age of the view from which it is too old to rely on.
	staleViewAge = 2200 * tier.Millisecond
	// takeoverAge is the age of its view from which a relay that is not the first one reads
	// the store itself. takeoverStep is added for each rank, so that they begin one after
	// the other while nobody can read the store.
	takeoverAge  = 450 * tier.Millisecond
	takeoverStep = 250 * tier.Millisecond
	// exploreAge is the age of its view from which a relay that is no watcher may read the store: the
	// watchers have not got a newer one. Of all relays, about explorers do so in a round, chosen at
	// random, as the store may answer any of them.
	exploreAge = 1000 * tier.Millisecond
	explorers  = 8.0
	// cutOffAge is the age of the view from which a small VM reads the store if no VM
	// answers it, and outageAge if others answer with views as old. Up to their jitters
	// are added, to spread the load on a store that has just returned. That of outageAge grows
	// with the fleet, and reads that fail are repeated as slowly.
	cutOffAge          = 1600 * tier.Millisecond
	cutOffAgeJitter    = 800 * tier.Millisecond
	outageAge          = 2 * tier.Second
	outageAgeJitterPer = 20 * tier.Millisecond // for each VM
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

// Wait asks for patience until a read in progress ends, or For is over.
type Wait struct{ For tier.Millis }

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
func (Wait) source()     {}
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

	announced string // name of a VM that has told of a newer configuration, or ""

	fleetSize int    // VMs, small ones included
	reads     []read // in progress

	// State of the current round.
	tried        []string // names of VMs and addresses of seeds that were asked
	peersTried   int
	storeTried   bool
	vmsListed    bool
	peerAnswered bool
	fresh        bool
	explores     bool // this VM is one of the explorers of the round
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

// AsOf is the time as of which a view surely has all changes, if a read that began at a time has brought
// it and its source told its age. Neither the time of the read nor that of applying the view makes it look
// fresher, even if the VM is suspended meanwhile.
func AsOf(began, told tier.Millis) tier.Millis { return began - told }

// Loaded reports whether the VM has a view.
func (r *Refresher) Loaded() bool { return r.loaded }

// SetFleetSize sets the number of VMs of the deployment, small ones included.
func (r *Refresher) SetFleetSize(vms int) { r.fleetSize = vms }

// Next returns where to read from next, given the age of the VM's view: beside the reads in
// progress, if these take long. It is called again at once after a read has been started, after
// Succeeded, Failed or NoView, and after the time of a Wait or Pause.
func (r *Refresher) Next(now, viewAge tier.Millis) Source {
	if !r.started {
		r.started, r.startedAt = true, now
	}
	if r.tried == nil {
		r.beginRound()
	}
	next := r.next(now, viewAge)
	switch next := next.(type) {
	case Peer:
		r.tried = append(r.tried, next.Member.VM().Name())
		r.peersTried++
		r.begin(now, next.Member.VM().Name())
	case Seed:
		r.tried = append(r.tried, next.Address)
		r.begin(now, next.Address)
	case Store:
		r.storeTried = true
		r.begin(now, storeName)
	case StoreVMs:
		r.vmsListed = true
		r.begin(now, storeName)
	case Pause:
		next.For += tier.Millis(r.random() * float64(pauseJitter))
		r.beginRound()
		return next
	}
	return next
}

func (r *Refresher) next(now, viewAge tier.Millis) Source {
	if !r.fresh {
		if wait := r.patience(now); wait > 0 {
			return Wait{For: wait}
		}
	}
	if r.loaded {
		return r.nextRefresh(now, viewAge)
	}
	return r.nextJoin(now)
}

// beginRound forgets which sources were asked. Those that are still being read are not asked again.
func (r *Refresher) beginRound() {
	r.tried, r.peersTried = make([]string, 0, maxPeersPerRound), 0
	r.storeTried, r.vmsListed, r.peerAnswered, r.fresh = false, false, false, false
	for _, p := range r.reads {
		if p.name != storeName {
			r.tried = append(r.tried, p.name)
		}
	}
	relays := len(r.partitioner.Relays())
	r.explores = r.random()*float64(relays) < explorers
}

// Succeeded handles the end of a read. age is the age of the view that a Peer sent, and 0
// for other sources.
func (r *Refresher) Succeeded(from Source, age tier.Millis) {
	r.end(from)
	switch from.(type) {
	case Store:
		r.loaded, r.fresh, r.storeFailed, r.storeBackoff = true, true, false, 0
	case StoreVMs:
		r.storeFailed, r.storeBackoff = false, 0
	case Peer:
		r.peerAnswered = true
		r.fresh = r.fresh || age <= r.freshAge()
		// While the store does not answer, an old view is what all others use as well.
		r.loaded = r.loaded || r.fresh || r.storeFailed
	}
}

// Failed handles a read that brought nothing.
func (r *Refresher) Failed(now tier.Millis, from Source) {
	r.end(from)
	switch from.(type) {
	case Store, StoreVMs:
		r.storeFailed = true
		r.storeBackoff = min(max(minStoreBackoff, 2*r.storeBackoff), maxStoreBackoff)
		if r.loaded && r.place(r.partitioner.Relays()) < 0 {
			r.storeBackoff = r.outageJitter()
		}
		r.storeRetryAt = now + r.storeBackoff
	}
}

// NoView handles the answer of a VM that has no view yet.
func (r *Refresher) NoView(from Source) {
	r.end(from)
	r.neighbourLoading = true
}

// nextRefresh continues a round of a VM that has a view.
func (r *Refresher) nextRefresh(now, viewAge tier.Millis) Source {
	if m, ok := r.takeAnnounced(); ok {
		return Peer{Member: m}
	}
	relays := r.partitioner.Relays()
	rank := r.place(relays)
	fast := rank > 0 && len(relays) <= maxFastRelays
	switch {
	case r.fresh && fast:
		return Pause{For: relayPollInterval}
	case r.fresh:
		return Pause{For: pollInterval}
	}
	mayReadStore := !r.storeTried && !r.readsStore() && (now >= r.storeRetryAt || !r.storeFailed)
	// The first watcher has nobody before it. The others read the store once those before them have not
	// brought a fresh view.
	if rank == 0 && mayReadStore {
		return Store{}
	}
	if rank > 0 && rank < len(r.partitioner.StoreWatchers()) && r.peersTried > 0 && mayReadStore &&
		(len(r.reads) == 0 || viewAge >= r.storeAge(rank)) {
		return Store{}
	}
	if m, ok := r.pickRelay(relays, rank); ok {
		return Peer{Member: m}
	}
	if mayReadStore && viewAge >= r.storeAge(rank) && (rank < 0 || r.explores) {
		return Store{}
	}
	pause := Pause{For: retryInterval, Stale: viewAge > staleViewAge}
	if r.peerAnswered && !fast {
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
	case rank >= 0 && rank < len(r.partitioner.StoreWatchers()):
		return takeoverAge + tier.Millis(rank)*takeoverStep
	case rank >= 0:
		return exploreAge
	case r.peerAnswered:
		return outageAge + tier.Millis(r.waitFactor*float64(r.outageJitter()))
	}
	return cutOffAge + tier.Millis(r.waitFactor*float64(cutOffAgeJitter))
}

// outageJitter spreads the reads of small VMs whose relays have old views.
func (r *Refresher) outageJitter() tier.Millis {
	return max(maxStoreBackoff, tier.Millis(r.fleetSize)*outageAgeJitterPer)
}
