// Package dispatcher schedules the leaf calls of one shard set in one data centre:
// it counts the slots in use on each backend server, queues work by rank and
// deadline, chooses replicas, hedges and retries within a budget, and immediately
// refuses work that cannot meet its deadline. It is a state machine without I/O or
// clock: Step takes an event and returns the actions that the owner VM, which
// drives the Dispatcher, has to carry out.
package dispatcher

import (
	"math/rand/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/hedger"
)

// Default options of a Dispatcher.
const (
	DefaultTakeoverDelay = 3 * tier.Second
	DefaultQueueSize     = 4096 // queued parts per rank
)

// Dispatcher schedules the leaf calls of one shard set in one data centre for one
// of the VMs that own the set. It is not safe for concurrent use.
type Dispatcher struct {
	set           *tier.ShardSet
	dataCentre    string
	owners        int
	ownerIndex    int
	maxOwners     int // most owners of the set that can each get a slot on every server
	takeoverDelay tier.Millis
	queueSize     int
	random        *rand.Rand

	now             tier.Millis
	takeoverStarted bool
	standby         bool
	shareSince      tier.Millis // when the current slot share was assigned

	servers         map[string]*server
	shards          map[string]*shard
	parts           map[uint64]*part
	calls           map[uint64]*call
	attempts        uint64 // leaf calls started; the last one has this number
	sequence        uint64 // parts submitted, for their order of arrival
	timers          timerHeap
	hedger          *hedger.Hedger
	budgetAvailable bool // whether the budget allowed an extra call after the last Step
	overload        overloadControl
	abandonTimes    [len(tier.Ranks)]abandonTime
	serviceTimes    [len(tier.Ranks)]float64 // average call latency by rank, in milliseconds
	queued          queueCounts
	counters        Counters
	actions         []Action
}

// Option configures a new Dispatcher.
type Option func(*Dispatcher)

// WithSeed seeds the random source that adds jitter to retries and breaks ties
// between replicas.
func WithSeed(seed uint64) Option {
	return func(d *Dispatcher) { d.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithShare sets how many owners split the slots and the index of this owner,
// counted from 0.
func WithShare(owners, index int) Option {
	return func(d *Dispatcher) { d.owners, d.ownerIndex = owners, index }
}

// WithTakeoverDelay sets how long a new or larger share is withheld. Until then the
// previous share of each server still applies, or one slot if that was zero, so that
// the former owner's calls and the new owner's don't overload the server together.
func WithTakeoverDelay(m tier.Millis) Option { return func(d *Dispatcher) { d.takeoverDelay = m } }

// WithQueueSize sets how many parts of each rank may be queued.
func WithQueueSize(n int) Option { return func(d *Dispatcher) { d.queueSize = n } }

// New returns the Dispatcher of a shard set in a data centre.
func New(set *tier.ShardSet, dataCentre string, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		set:        set,
		dataCentre: dataCentre,
		servers:    map[string]*server{},
		shards:     map[string]*shard{},
		parts:      map[uint64]*part{},
		calls:      map[uint64]*call{},
		hedger:     hedger.New(set.HedgeQuantile(), set.HedgeBudget()),
	}
	d.Defaults()
	for _, o := range opts {
		o(d)
	}
	d.rebuildServers()
	d.timers = timerHeap{}
	return d
}

// Defaults sets the options to their defaults: a single owner and seed 1.
func (d *Dispatcher) Defaults() {
	d.owners, d.ownerIndex = 1, 0
	d.takeoverDelay = DefaultTakeoverDelay
	d.queueSize = DefaultQueueSize
	d.random = rand.New(rand.NewPCG(1, 1))
	d.shareSince = 0
	d.overload = newOverloadControl()
	for r := range d.abandonTimes {
		d.abandonTimes[r].estimate = maxAbandonTime
	}
	d.queued = queueCounts{byProfile: map[string]int{}}
}

// Step processes an event and returns the actions to carry out, in order. Time is
// monotonic: a now before that of an earlier Step counts as the earlier one.
func (d *Dispatcher) Step(now tier.Millis, e Event) []Action {
	d.now = max(d.now, now)
	d.actions = nil
	d.startTakeover()
	d.fireTimers()
	switch e := e.(type) {
	case *Submit:
		d.handleSubmit(e)
	case *CallEnded:
		d.handleCallEnded(e)
	case *Cancelled:
		d.handleCancelled(e)
	case *BackendChanged:
		d.handleBackendChanged(e)
	case *HoldingChanged:
		d.handleHoldingChanged(e)
	case *SetChanged:
		d.handleSetChanged(e)
	case *ShareChanged:
		d.handleShareChanged(e)
	case *Standby:
		d.handleStandby()
	case *Tick:
		d.scheduleAll()
	}
	d.scheduleExtras()
	d.overload.endInterval(d.now)
	return d.actions
}

// startTakeover starts the takeover delay at the first Step, since New does not know
// the time.
func (d *Dispatcher) startTakeover() {
	if !d.takeoverStarted {
		d.takeoverStarted, d.shareSince = true, d.now
		d.applyShares()
	}
}

// NextTick is when the next Tick is due; false if no timer is set.
func (d *Dispatcher) NextTick() (tier.Millis, bool) {
	at, ok := d.timers.nextAt()
	if d.overload.admitsAll() {
		return at, ok
	}
	if end := d.overload.intervalEnd; !ok || end < at {
		return end, true
	}
	return at, ok
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Dispatcher) handleShareChanged(e *ShareChanged) {
	if e.owners == d.owners && e.index == d.ownerIndex && !d.standby {
		return
	}
	for _, s := range d.servers {
		s.previousShare = d.share(s)
	}
	d.owners, d.ownerIndex, d.standby = e.owners, e.index, false
	d.shareSince = d.now
	d.applyShares()
	d.scheduleAll()
}

func (d *Dispatcher) handleStandby() {
	if d.standby {
		return
	}
	for _, s := range d.servers {
		s.previousShare = d.share(s)
	}
	d.owners, d.ownerIndex, d.standby = 1, 0, true
	d.shareSince = d.now
	d.applyShares()
}

// rebuildServers rebuilds servers and shards from the shard set. Those that it still
// has keep their state.
func (d *Dispatcher) rebuildServers() {
	d.maxOwners = MaxOwners(d.set, d.dataCentre)
	previous := d.servers
	d.servers = map[string]*server{}
	for _, s := range previous {
		s.shards = nil // a server removed from the set gets no new calls
	}
	for _, b := range d.set.Servers() {
		if b.DataCentre() != d.dataCentre {
			continue
		}
		s := previous[b.Name()]
		if s == nil {
			s = d.serverWithCalls(b.Name())
		}
		if s == nil {
			s = newServer(b, d.random)
		}
		s.backend, s.ordinal, s.shards = b, len(d.servers), nil
		d.servers[b.Name()] = s
	}
	d.rebuildShards()
	d.applyShares()
}

// serverWithCalls finds a server that was removed from the set while calls ran on
// it, so that these calls still occupy its slots if it is added again.
func (d *Dispatcher) serverWithCalls(name string) *server {
	for _, c := range d.calls {
		if c.server.backend.Name() == name {
			return c.server
		}
	}
	return nil
}

func (d *Dispatcher) rebuildShards() {
	previous := d.shards
	d.shards = map[string]*shard{}
	for _, m := range d.set.Shards() {
		h := previous[m.ID()]
		if h == nil {
			h = &shard{id: m.ID()}
		}
		h.replicas, h.hasRemoteReplicas = nil, false
		for _, name := range m.Replicas() {
			if s := d.servers[name]; s != nil {
				h.replicas = append(h.replicas, s)
				s.shards = append(s.shards, h)
			} else {
				h.hasRemoteReplicas = true
			}
		}
		d.shards[m.ID()] = h
	}
}

func (d *Dispatcher) handleSetChanged(e *SetChanged) {
	previous := d.shards
	d.set = e.set
	d.hedger.Configure(d.set.HedgeQuantile(), d.set.HedgeBudget())
	d.rebuildServers()
	for id, h := range previous {
		if d.shards[id] == nil {
			h.replicas, h.removed = nil, true
		}
	}
	d.dropUnservable()
	d.recountLoad()
	d.scheduleAll()
}
