// Package replicator holds the configuration of one VM: a state machine that
// takes documents from the store and from peers, only ever towards a higher
// epoch and revision, and decides when to read, to watch and whom to ask.
package replicator

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"cicadagrade.example/tier"
)

// Defaults and bounds of a keeper's timing.
const (
	DefaultWatchers   = 2
	settleTime        = 500 * tier.Millis(1) // without new members, before a VM decides whether it watches
	maxSettleTime     = 5 * tier.Second
	minReadSpread     = 200 * tier.Millis(1)
	aloneReadSpread   = 10 * tier.Second   // for a VM that should have heard of others
	readSpreadPerVM   = 2 * tier.Millis(1) // first reads of a fleet of n VMs are spread over n times this
	retrySpreadPerVM  = 5 * tier.Millis(1)
	peersFirst        = 2 * tier.Second
	watcherReadPeriod = 1 * tier.Minute
	otherReadPeriod   = 10 * tier.Minute
	differsReadPeriod = 10 * tier.Second // while the store shows another state than this VM serves
	minReadGap        = 1 * tier.Second
	minBackoff        = 500 * tier.Millis(1)
	maxBackoff        = 5 * tier.Second
	maxFailures       = 10
	steadyWatch       = 10 * tier.Second // a watch that lasts longer resets the backoff
	maxAnnounced      = 4096             // VMs whose announcements are kept
	fetchSpread       = 50 * tier.Millis(1)
	fetchRetry        = 300 * tier.Millis(1)
	damagedRetry      = 10 * tier.Second // before a VM that sent a damaged document is asked again
)

const never = tier.Millis(1) << 60

// storeSource is the source of what the store shows.
const storeSource = "store"

// Replicator is the state machine. It is not safe for concurrent use.
type Replicator struct {
	name       string
	dataCentre string
	watchers   int
	random     *rand.Rand
	started    bool

	documents map[string]*held
	flags     map[string]Alert
	refused   map[Ref]bool

	members   []string // of this data centre
	fleet     int      // VMs known at most
	seeds     int
	local     map[string]bool
	live      map[string]bool           // nil before members were told
	announced map[string]map[string]Ref // by VM and key

	settled   bool
	startedAt tier.Millis
	settleAt  tier.Millis
	watcher   bool
	watching  bool
	listing   bool
	listAt    tier.Millis
	lastList  tier.Millis
	watchedAt tier.Millis
	failures  int

	fetching  string // the VM that was asked, or ""
	wholeOnly map[string]bool
	fetchAt   tier.Millis
	badPeers  map[string]tier.Millis // asked again from then on

	counts Counts
}

// Option sets one field of a keeper.
type Option func(*Replicator)

// WithSeed seeds the jitter.
func WithSeed(seed uint64) Option {
	return func(k *Replicator) { k.random = rand.New(rand.NewPCG(seed, xxhash.Sum64String(k.name))) }
}

// WithWatchers sets how many VMs of a data centre watch the store.
func WithWatchers(n int) Option { return func(k *Replicator) { k.watchers = n } }

// WithSeeds sets how many other VMs the settings name. A VM that should hear
// of others leaves them more time, because many may start at once.
func WithSeeds(n int) Option { return func(k *Replicator) { k.seeds = n } }

// WithDataCentre names the VM's data centre.
func WithDataCentre(name string) Option { return func(k *Replicator) { k.dataCentre = name } }

// New returns the keeper of the VM with this name.
func New(name string, opts ...Option) *Replicator {
	k := &Replicator{
		name:      name,
		documents: map[string]*held{},
		flags:     map[string]Alert{},
		refused:   map[Ref]bool{},
		local:     map[string]bool{},
		announced: map[string]map[string]Ref{},
		wholeOnly: map[string]bool{},
		badPeers:  map[string]tier.Millis{},
		fetchAt:   never,
		listAt:    never,
	}
	k.Defaults()
	for _, o := range opts {
		o(k)
	}
	return k
}

// Defaults sets the number of watchers and a seed.
func (k *Replicator) Defaults() {
	k.watchers = DefaultWatchers
	k.fleet = 1
	WithSeed(1)(k)
}

// Step handles one event at time now and returns what to do.
func (k *Replicator) Step(now tier.Millis, e Event) []Action {
	var out actions
	if !k.started {
		k.start(now)
	}
	switch e := e.(type) {
	case *Listed:
		k.listed(now, e, &out)
	case *ListFailed:
		k.listing = false
		k.retryStore(now)
	case *Changed:
		k.seen(e.value.Key(), e.value.Data(), e.value.Present(), &out)
	case *WatchEnded:
		k.watchEnded(now)
	case *Members:
		k.setMembers(now, e)
	case *Announced:
		k.hear(e, &out)
	case *Fetched:
		k.fetched(now, e, &out)
	case *FetchFailed:
		k.fetchFailed(now, e.vm)
	case *Tick:
	}
	k.planStore(now, &out)
	k.planFetch(now, &out)
	return out
}

// Next is when a Tick is due.
func (k *Replicator) Next() (tier.Millis, bool) {
	next := never
	switch {
	case !k.settled:
		next = k.settleAt
	case !k.listing:
		next = k.listAt
	}
	if k.fetching == "" {
		next = min(next, k.fetchAt)
	}
	return next, next < never
}

type actions []Action

func (a *actions) add(x Action) { *a = append(*a, x) }

func (k *Replicator) start(now tier.Millis) {
	k.started = true
	k.lastList = now - minReadGap
	k.startedAt = now
	k.settleAt = now + settleTime
}

// jitter is a random span from half of m to m.
func (k *Replicator) jitter(m tier.Millis) tier.Millis {
	return m/2 + tier.Millis(k.random.Int64N(int64(m/2)+1))
}

// Documents lists what this VM serves, sorted by key.
func (k *Replicator) Documents() []*State {
	out := make([]*State, 0, len(k.documents))
	for _, h := range k.documents {
		out = append(out, h.state)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ref.key < out[j].ref.key })
	return out
}

// Document is what this VM serves under a key.
func (k *Replicator) Document(key string) (*State, bool) {
	h, ok := k.documents[key]
	if !ok {
		return nil, false
	}
	return h.state, true
}

func (k *Replicator) refOf(key string) Ref {
	if h, ok := k.documents[key]; ok {
		return h.state.ref
	}
	return Ref{key: key}
}

// Counts counts what a keeper has done since its start.
type Counts struct {
	lists, watches, fetches, took, refused uint64
}

// Lists is how often the store was read.
func (c Counts) Lists() uint64 { return c.lists }

// Watches is how often a watch was started.
func (c Counts) Watches() uint64 { return c.watches }

// Fetches is how often a peer was asked.
func (c Counts) Fetches() uint64 { return c.fetches }

// Adopted is how often a document came into force.
func (c Counts) Adopted() uint64 { return c.took }

// Rejected is how often an offered state was not taken.
func (c Counts) Rejected() uint64 { return c.refused }

// Counts is what the keeper has done.
func (k *Replicator) Counts() Counts { return k.counts }

// Watcher reports whether this VM watches the store for its data centre.
func (k *Replicator) Watcher() bool { return k.watcher }

// Alerts lists the troubles, sorted by key.
func (k *Replicator) Alerts() []Alert {
	out := make([]Alert, 0, len(k.flags))
	for _, f := range k.flags {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].served.key < out[j].served.key })
	return out
}
