// Package replicator replicates the configuration documents to one VM. Its state machine
// reads documents from the store and from peers, replaces a document only by one with a
// higher epoch and revision, and decides when to read and watch the store and which peer
// to ask.
package replicator

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"cicadagrade.example/tier"
)

// Defaults, timing and bounds.
const (
	DefaultWatchers        = 2                    // VMs of a data centre that watch the store
	roleDecisionDelay      = 500 * tier.Millis(1) // without new members, before a VM decides whether to watch the store
	maxRoleDecisionDelay   = 5 * tier.Second
	minFirstReadSpread     = 200 * tier.Millis(1)
	isolatedReadSpread     = 10 * tier.Second   // for a VM that has seeds but knows no other VM
	firstReadSpreadPerVM   = 2 * tier.Millis(1) // the first reads of n VMs are spread over n times this
	retrySpreadPerVM       = 5 * tier.Millis(1) // the same for retries of VMs that are not watchers
	peersFirstDelay        = 2 * tier.Second    // non-watchers wait this long for announcements before their first read
	watcherReadPeriod      = 1 * tier.Minute
	nonWatcherReadPeriod   = 10 * tier.Minute
	storeDiffersReadPeriod = 10 * tier.Second // of watchers while the store shows another state than this VM serves
	minReadGap             = 1 * tier.Second
	minBackoff             = 500 * tier.Millis(1)
	maxBackoff             = 5 * tier.Second
	maxFailures            = 10
	stableWatchTime        = 10 * tier.Second    // a watch that lasts longer resets the backoff
	maxAnnouncers          = 4096                // above this, announcements of VMs that are not live are dropped
	fetchSpread            = 50 * tier.Millis(1) // random delay that keeps VMs from fetching at the same time
	fetchRetryDelay        = 300 * tier.Millis(1)
	damagedRetryDelay      = 10 * tier.Second // before a VM that sent a damaged document is asked again
)

const never = tier.Millis(1) << 60

// storeSource is the alert source for states read from the store.
const storeSource = "store"

// Replicator is the state machine that replicates the configuration to one VM. It does no
// I/O: Step takes events and returns the actions to perform. It is not safe for
// concurrent use.
type Replicator struct {
	name       string
	dataCentre string
	watchers   int
	random     *rand.Rand
	started    bool

	documents map[string]*servedDocument
	alerts    map[string]Alert
	rejected  map[Ref]bool // versions that forked from the served ones; not fetched again

	localMembers []string                  // live VMs of this data centre
	knownVMs     int                       // highest number of live VMs seen at once
	seeds        int                       // other VMs that the settings name
	localVMs     map[string]bool           // localMembers as a set
	liveVMs      map[string]bool           // nil before the first Members event
	announced    map[string]map[string]Ref // by VM and key

	roleDecided    bool // whether this VM has decided if it is a watcher
	startedAt      tier.Millis
	decideRoleAt   tier.Millis
	watcher        bool
	watching       bool
	listing        bool
	nextListAt     tier.Millis
	lastListAt     tier.Millis
	watchStartedAt tier.Millis
	failures       int

	fetchingFrom string          // VM of the open fetch, or ""
	needsWhole   map[string]bool // by key: the last delta could not be applied
	nextFetchAt  tier.Millis
	retryPeerAt  map[string]tier.Millis // peers whose last fetch failed

	counts Counts
}

// Option sets one option of a Replicator.
type Option func(*Replicator)

// WithSeed seeds the random choices and the jitter.
func WithSeed(seed uint64) Option {
	return func(rp *Replicator) { rp.random = rand.New(rand.NewPCG(seed, xxhash.Sum64String(rp.name))) }
}

// WithWatchers sets the number of VMs per data centre that watch the store.
func WithWatchers(n int) Option { return func(rp *Replicator) { rp.watchers = n } }

// WithSeeds sets the number of other VMs that the settings name. A VM that has seeds but
// knows no other VM spreads its first read over a longer time, because many VMs may be
// starting at once.
func WithSeeds(n int) Option { return func(rp *Replicator) { rp.seeds = n } }

// WithDataCentre sets the VM's data centre.
func WithDataCentre(name string) Option { return func(rp *Replicator) { rp.dataCentre = name } }

// New returns the replicator of the VM with this name.
func New(name string, opts ...Option) *Replicator {
	rp := &Replicator{
		name:        name,
		documents:   map[string]*servedDocument{},
		alerts:      map[string]Alert{},
		rejected:    map[Ref]bool{},
		localVMs:    map[string]bool{},
		announced:   map[string]map[string]Ref{},
		needsWhole:  map[string]bool{},
		retryPeerAt: map[string]tier.Millis{},
		nextFetchAt: never,
		nextListAt:  never,
	}
	rp.Defaults()
	for _, o := range opts {
		o(rp)
	}
	return rp
}

// Defaults sets the default number of watchers and seed.
func (rp *Replicator) Defaults() {
	rp.watchers = DefaultWatchers
	rp.knownVMs = 1
	WithSeed(1)(rp)
}

// Step handles one event and returns the actions to perform.
func (rp *Replicator) Step(now tier.Millis, e Event) []Action {
	var out actions
	if !rp.started {
		rp.start(now)
	}
	switch e := e.(type) {
	case *Listed:
		rp.handleListed(now, e, &out)
	case *ListFailed:
		rp.listing = false
		rp.scheduleRetry(now)
	case *Changed:
		rp.handleStoreValue(e.value.Key(), e.value.Data(), e.value.Present(), &out)
	case *WatchEnded:
		rp.handleWatchEnded(now)
	case *Members:
		rp.handleMembers(now, e)
	case *Announced:
		rp.handleAnnounced(e, &out)
	case *Fetched:
		rp.handleFetched(now, e, &out)
	case *FetchFailed:
		rp.handleFetchFailed(now, e.vm)
	case *Tick:
	}
	rp.planStoreCalls(now, &out)
	rp.planFetch(now, &out)
	return out
}

// Next returns when the next Tick is due, if one is.
func (rp *Replicator) Next() (tier.Millis, bool) {
	next := never
	switch {
	case !rp.roleDecided:
		next = rp.decideRoleAt
	case !rp.listing:
		next = rp.nextListAt
	}
	if rp.fetchingFrom == "" {
		next = min(next, rp.nextFetchAt)
	}
	return next, next < never
}

type actions []Action

func (a *actions) add(x Action) { *a = append(*a, x) }

func (rp *Replicator) start(now tier.Millis) {
	rp.started = true
	rp.lastListAt = now - minReadGap
	rp.startedAt = now
	rp.decideRoleAt = now + roleDecisionDelay
}

// jitter returns a random duration between m/2 and m.
func (rp *Replicator) jitter(m tier.Millis) tier.Millis {
	return m/2 + tier.Millis(rp.random.Int64N(int64(m/2)+1))
}

// Documents lists the states that this VM serves, sorted by key.
func (rp *Replicator) Documents() []*State {
	out := make([]*State, 0, len(rp.documents))
	for _, sd := range rp.documents {
		out = append(out, sd.state)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ref.key < out[j].ref.key })
	return out
}

// Document returns the state that this VM serves under a key.
func (rp *Replicator) Document(key string) (*State, bool) {
	sd, ok := rp.documents[key]
	if !ok {
		return nil, false
	}
	return sd.state, true
}

func (rp *Replicator) refOf(key string) Ref {
	if sd, ok := rp.documents[key]; ok {
		return sd.state.ref
	}
	return Ref{key: key}
}

// Counts are totals since the replicator was created.
type Counts struct {
	lists, watches, fetches, adopted, rejected uint64
}

// Lists is the number of reads of the store.
func (c Counts) Lists() uint64 { return c.lists }

// Watches is the number of watches started.
func (c Counts) Watches() uint64 { return c.watches }

// Fetches is the number of fetches from peers.
func (c Counts) Fetches() uint64 { return c.fetches }

// Adopted is the number of states adopted from the store or from peers.
func (c Counts) Adopted() uint64 { return c.adopted }

// Rejected is the number of offered states that raised an alert or repeated one.
func (c Counts) Rejected() uint64 { return c.rejected }

// Counts returns the totals so far.
func (rp *Replicator) Counts() Counts { return rp.counts }

// Watcher reports whether this VM watches the store for its data centre.
func (rp *Replicator) Watcher() bool { return rp.watcher }

// Alerts lists the present alerts, sorted by key.
func (rp *Replicator) Alerts() []Alert {
	out := make([]Alert, 0, len(rp.alerts))
	for _, a := range rp.alerts {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].served.key < out[j].served.key })
	return out
}
