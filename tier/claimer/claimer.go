// Package claimer lets a request that may not be repeated run at most once.
//
// A key that a caller made is claimed in the platform's store before the
// first send: claims lie in pages, and one compare-and-swap of a page carries
// every claim and outcome that waits for it. Only the holder of a claim runs
// it, and a claim is never given to another holder unless its own one
// recorded that it did not run. So neither clocks, leases nor membership
// bear on the promise; they only decide how an unknown outcome is worded.
//
// A key that a VM minted needs no store: only the life of the VM that minted
// it may run it.
package claimer

import (
	"math/rand/v2"

	"cicadagrade.example/tier"
)

// Defaults of a claimer's options.
const (
	DefaultPages         = 8
	DefaultRecordDelay   = 20 * tier.Millis(1)
	InitialBackoff       = 10 * tier.Millis(1)
	MaxBackoff           = 500 * tier.Millis(1)
	StoreRetryAfter      = 1 * tier.Second // told to callers while the store is down
	outageAfter          = 300 * tier.Millis(1)
	DefaultMaxMintedKeys = 65536
	maxIdlePages         = 256
	// Counters start at random, so that two lives that take the same
	// incarnation by mistake still share no claim.
	maxFirstCounter = 1 << 52
)

// LiveFunc reports whether a life of a VM is believed to go on.
type LiveFunc func(vm string, i tier.Incarnation) bool

// Claimer is the state machine of one life of a VM. It is not safe for
// concurrent use.
type Claimer struct {
	vm          string
	incarnation tier.Incarnation
	pageCount   int
	recordDelay tier.Millis
	memory      int
	live        LiveFunc
	random      *rand.Rand

	pages    map[string]*page
	busy     map[string]*page    // those with an open call or with work
	bookings map[uint64]*booking // by the ticket that runs
	waiters  map[uint64]*waiter
	due      timers
	minted   minter
	claims   uint64
	calls    uint64
	fenced   bool
	hurry    bool
	out      []Action
	counters Counters
}

// Option sets one field of a claimer.
type Option func(*Claimer)

// WithPages sets into how many pages the claims of a set and date are
// divided. All VMs have to agree.
func WithPages(n int) Option { return func(c *Claimer) { c.pageCount = n } }

// WithRecordDelay sets how long an outcome waits for company before it is
// recorded.
func WithRecordDelay(m tier.Millis) Option { return func(c *Claimer) { c.recordDelay = m } }

// WithMaxMintedKeys sets how many minted keys are remembered.
func WithMaxMintedKeys(n int) Option { return func(c *Claimer) { c.memory = n } }

// WithLive sets which other VMs are believed to live. Without it, all are.
func WithLive(f LiveFunc) Option { return func(c *Claimer) { c.live = f } }

// WithSeed seeds the first counter and the jitter of retries. Two lives of a
// VM should have different seeds.
func WithSeed(seed uint64) Option {
	return func(c *Claimer) { c.random = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns the claimer of one life of a VM.
func New(vm string, i tier.Incarnation, opts ...Option) *Claimer {
	c := &Claimer{
		vm:          vm,
		incarnation: i,
		pages:       map[string]*page{},
		busy:        map[string]*page{},
		bookings:    map[uint64]*booking{},
		waiters:     map[uint64]*waiter{},
		minted:      minter{issued: map[uint64]*booking{}},
	}
	c.Defaults()
	for _, o := range opts {
		o(c)
	}
	c.claims = c.random.Uint64N(maxFirstCounter)
	c.minted.last = c.claims
	c.minted.oldest = c.claims + 1
	return c
}

// Defaults sets pages, delay, memory, liveness and seed.
func (c *Claimer) Defaults() {
	c.pageCount = DefaultPages
	c.recordDelay = DefaultRecordDelay
	c.memory = DefaultMaxMintedKeys
	c.live = func(string, tier.Incarnation) bool { return true }
	c.random = rand.New(rand.NewPCG(uint64(c.incarnation), 0))
}

// Counters count what a claimer did.
type Counters struct {
	reads     int
	writes    int
	conflicts int
	failures  int
	runs      int
}

// Reads is how many pages were read.
func (c Counters) Reads() int { return c.reads }

// Writes is how many pages were written or tried to be.
func (c Counters) Writes() int { return c.writes }

// Conflicts is how many writes met a page that had changed.
func (c Counters) Conflicts() int { return c.conflicts }

// Failures is how many calls of the store failed.
func (c Counters) Failures() int { return c.failures }

// Runs is how many bookings were sent.
func (c Counters) Runs() int { return c.runs }

// Counters returns the counts so far.
func (c *Claimer) Counters() Counters { return c.counters }

// Idle reports whether nothing runs and every outcome is recorded.
func (c *Claimer) Idle() bool {
	return len(c.bookings) == 0 && len(c.waiters) == 0 && len(c.busy) == 0
}

// Next is when the next Tick is due, if one is.
func (c *Claimer) Next() (tier.Millis, bool) {
	next, ok := c.due.first()
	for _, g := range c.busy {
		if at, waits := g.next(c.hurry); waits && (!ok || at < next) {
			next, ok = at, true
		}
	}
	return next, ok
}

// Step takes an event and returns what is to be done now.
func (c *Claimer) Step(now tier.Millis, e Event) []Action {
	c.out = nil
	switch e := e.(type) {
	case *Submit:
		c.submit(now, e)
	case *Ran:
		c.ran(now, e)
	case *CallerGone:
		c.callerGone(e.ticket)
	case *ReadDone:
		c.readDone(now, e)
	case *WriteDone:
		c.writeDone(now, e)
	case *Conflict:
		c.conflict(now, e)
	case *Failed:
		c.failed(now, e)
	case *Fenced:
		c.fenced = true
	case *Flush:
		c.hurry = true
	case *Tick:
	}
	c.expire(now)
	c.pumpAll(now)
	return c.out
}

func (c *Claimer) do(a Action) { c.out = append(c.out, a) }

// pumpAll lets every busy page go on, in a fixed order.
func (c *Claimer) pumpAll(now tier.Millis) {
	recording := false
	for _, key := range sortedKeys(c.busy) {
		g := c.busy[key]
		c.pump(now, g)
		recording = recording || len(g.records) > 0
		if g.call == 0 && !g.hasWork() {
			delete(c.busy, key)
		}
	}
	c.hurry = c.hurry && recording
	if len(c.pages) > maxIdlePages {
		c.forgetIdlePages()
	}
}

func (c *Claimer) forgetIdlePages() {
	for key, g := range c.pages {
		if c.busy[key] == nil && len(g.bookings) == 0 {
			delete(c.pages, key)
		}
	}
}
