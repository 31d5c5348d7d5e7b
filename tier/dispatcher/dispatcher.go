// Package dispatcher runs the leaf calls of one shard set in one data centre:
// it counts the slots of each backend server, queues work by rank and
// deadline, chooses replicas, hedges and retries within a budget, and refuses
// at once what cannot meet its deadline. It is a state machine without I/O:
// Step takes events and returns the actions that its shell carries out.
package dispatcher

import (
	"math/rand/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/hedger"
)

// Limits of every dispatcher.
const (
	DefaultTakeoverDelay = 3 * tier.Second
	DefaultQueueSize     = 4096 // parts that wait, for each rank
)

// Dispatcher is the state of one owned shard set in one data centre.
type Dispatcher struct {
	set        *tier.ShardSet
	dataCentre string
	owners     int
	index      int
	maxOwners  int // of the present set
	takeover   tier.Millis
	queueSize  int
	random     *rand.Rand

	now     tier.Millis
	begun   bool
	standby bool
	shared  tier.Millis // when the present share was given

	servers  map[string]*server
	shards   map[string]*shard
	parts    map[uint64]*part
	calls    map[uint64]*call
	attempts uint64
	sequence uint64
	timers   timerHeap
	hedger   *hedger.Hedger
	budgeted bool // the budget allowed an extra call after the last Step
	pressure pressure
	patience [len(tier.Ranks)]patience
	service  [len(tier.Ranks)]float64 // average latency of calls by rank, in milliseconds
	queued   queueCounts
	counters Counters
	actions  []Action
}

// Option sets one thing of a new dispatcher.
type Option func(*Dispatcher)

// WithSeed seeds the random source that jitters retries and breaks ties.
func WithSeed(seed uint64) Option {
	return func(d *Dispatcher) { d.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithShare sets how many owners split the slots and which this one is,
// counted from 0.
func WithShare(owners, index int) Option {
	return func(d *Dispatcher) { d.owners, d.index = owners, index }
}

// WithTakeoverDelay sets for how long a new or larger share is held back: until
// then at most one slot of each server is used beyond the earlier share.
func WithTakeoverDelay(m tier.Millis) Option { return func(d *Dispatcher) { d.takeover = m } }

// WithQueueSize sets how many parts may wait, for each rank.
func WithQueueSize(n int) Option { return func(d *Dispatcher) { d.queueSize = n } }

// New returns the dispatcher of a set in a data centre.
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
	d.buildMap()
	d.timers = timerHeap{}
	return d
}

// Defaults makes the dispatcher the only owner, with the first seed.
func (d *Dispatcher) Defaults() {
	d.owners, d.index = 1, 0
	d.takeover = DefaultTakeoverDelay
	d.queueSize = DefaultQueueSize
	d.random = rand.New(rand.NewPCG(1, 1))
	d.shared = 0
	d.pressure = newPressure()
	for r := range d.patience {
		d.patience[r].span = maxPatience
	}
	d.queued = queueCounts{byProfile: map[string]int{}}
}

// Step takes an event at a time that never goes back, and returns what the
// shell has to do, in order.
func (d *Dispatcher) Step(now tier.Millis, e Event) []Action {
	d.now = max(d.now, now)
	d.actions = nil
	d.begin()
	d.expire()
	switch e := e.(type) {
	case *Submit:
		d.submit(e)
	case *CallEnded:
		d.replied(e)
	case *Cancelled:
		d.cancelled(e)
	case *BackendChanged:
		d.backendChanged(e)
	case *HoldingChanged:
		d.holdingChanged(e)
	case *SetChanged:
		d.setChanged(e)
	case *ShareChanged:
		d.shareChanged(e)
	case *Standby:
		d.standBy()
	case *Tick:
		d.fillAll()
	}
	d.fillExtras()
	d.pressure.roll(d.now)
	return d.actions
}

// begin counts the takeover time from the first Step.
func (d *Dispatcher) begin() {
	if !d.begun {
		d.begun, d.shared = true, d.now
		d.applyShares()
	}
}

// NextTick is when the next Tick is due; false while there is nothing to wait for.
func (d *Dispatcher) NextTick() (tier.Millis, bool) {
	at, ok := d.timers.next()
	if d.pressure.eased() {
		return at, ok
	}
	if end := d.pressure.end; !ok || end < at {
		return end, true
	}
	return at, ok
}

func (d *Dispatcher) act(a Action) { d.actions = append(d.actions, a) }

func (d *Dispatcher) shareChanged(e *ShareChanged) {
	if e.owners == d.owners && e.index == d.index && !d.standby {
		return
	}
	for _, s := range d.servers {
		s.base = d.share(s)
	}
	d.owners, d.index, d.standby = e.owners, e.index, false
	d.shared = d.now
	d.applyShares()
	d.fillAll()
}

func (d *Dispatcher) standBy() {
	if d.standby {
		return
	}
	for _, s := range d.servers {
		s.base = d.share(s)
	}
	d.owners, d.index, d.standby = 1, 0, true
	d.shared = d.now
	d.applyShares()
}

// buildMap takes over servers and shards of the set, keeping what is known of
// those that stay.
func (d *Dispatcher) buildMap() {
	d.maxOwners = MaxOwners(d.set, d.dataCentre)
	known := d.servers
	d.servers = map[string]*server{}
	for _, s := range known {
		s.shards = nil // one that left the set starts nothing more
	}
	for _, b := range d.set.Servers() {
		if b.DataCentre() != d.dataCentre {
			continue
		}
		s := known[b.Name()]
		if s == nil {
			s = d.calledServer(b.Name())
		}
		if s == nil {
			s = newServer(b, d.random)
		}
		s.backend, s.ordinal, s.shards = b, len(d.servers), nil
		d.servers[b.Name()] = s
	}
	d.buildShards()
	d.applyShares()
}

// calledServer finds a server that left the set while calls ran on it, so
// that they still count when it comes back.
func (d *Dispatcher) calledServer(name string) *server {
	for _, c := range d.calls {
		if c.server.backend.Name() == name {
			return c.server
		}
	}
	return nil
}

func (d *Dispatcher) buildShards() {
	known := d.shards
	d.shards = map[string]*shard{}
	for _, m := range d.set.Shards() {
		h := known[m.ID()]
		if h == nil {
			h = &shard{id: m.ID()}
		}
		h.replicas, h.elsewhere = nil, false
		for _, name := range m.Replicas() {
			if s := d.servers[name]; s != nil {
				h.replicas = append(h.replicas, s)
				s.shards = append(s.shards, h)
			} else {
				h.elsewhere = true
			}
		}
		d.shards[m.ID()] = h
	}
}

func (d *Dispatcher) setChanged(e *SetChanged) {
	gone := d.shards
	d.set = e.set
	d.hedger.Configure(d.set.HedgeQuantile(), d.set.HedgeBudget())
	d.buildMap()
	for id, h := range gone {
		if d.shards[id] == nil {
			h.replicas, h.gone = nil, true
		}
	}
	d.dropUnservable()
	d.recountLoad()
	d.fillAll()
}
