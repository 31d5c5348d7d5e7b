// Package claimer runs non-idempotent requests (bookings) at most once per idempotency
// key.
//
// A key made by a caller is claimed in the platform's store before the request is first
// sent. Claims are grouped in pages; one compare-and-swap of a page writes all claims and
// outcomes that are waiting for it. Only the holder of a claim sends the request, and a
// claim passes to another holder only after its holder has recorded that the request did
// not run. The guarantee therefore depends on neither clocks, leases nor membership;
// these only affect which reason is given with an unknown outcome.
//
// A key minted by a VM needs no store: only the incarnation of the VM that minted it may
// run it.
package claimer

import (
	"math/rand/v2"

	"cicadagrade.example/tier"
)

// Defaults of a claimer's options.
const (
	DefaultPages         = 8                   // per shard set and date
	DefaultRecordDelay   = 20 * tier.Millis(1) // lets one write carry several outcomes
	InitialBackoff       = 10 * tier.Millis(1) // before the first retry of a store call
	MaxBackoff           = 500 * tier.Millis(1)
	StoreRetryAfter      = 1 * tier.Second      // given to callers while the store is down
	outageAfter          = 300 * tier.Millis(1) // of failing calls; from then on bookings are refused at once
	DefaultMaxMintedKeys = 65536                // minted keys that are remembered
	maxIdlePages         = 256                  // cached pages, above which idle ones are evicted
	// Claim numbers start at random, so that two VM starts that got the same incarnation
	// number by mistake still make distinct claims.
	maxFirstClaim = 1 << 52
)

// LiveFunc reports whether an incarnation of a VM is believed to be alive.
type LiveFunc func(vm string, i tier.Incarnation) bool

// Claimer is the state machine that claims and runs bookings for one incarnation of a VM.
// It does no I/O: Step takes events and returns the actions to perform. It is not safe
// for concurrent use.
type Claimer struct {
	vm            string
	incarnation   tier.Incarnation
	pageCount     int
	recordDelay   tier.Millis
	maxMintedKeys int
	live          LiveFunc
	random        *rand.Rand

	pages     map[string]*page
	busyPages map[string]*page    // those with an open call or pending work
	running   map[uint64]*booking // by the submission that is sent to the back end
	waiters   map[uint64]*waiter
	deadlines timers
	minted    mintedKeys
	lastClaim uint64
	lastCall  uint64
	fenced    bool // a later incarnation of this VM exists; nothing more is sent
	flushing  bool // outcomes are written without recordDelay
	actions   []Action
	counters  Counters
}

// Option sets one option of a Claimer.
type Option func(*Claimer)

// WithPages sets the number of pages over which the claims of one shard set and date are
// spread. It must be the same on all VMs.
func WithPages(n int) Option { return func(c *Claimer) { c.pageCount = n } }

// WithRecordDelay sets how long an outcome may wait to be written together with others.
func WithRecordDelay(m tier.Millis) Option { return func(c *Claimer) { c.recordDelay = m } }

// WithMaxMintedKeys sets how many minted keys are remembered.
func WithMaxMintedKeys(n int) Option { return func(c *Claimer) { c.maxMintedKeys = n } }

// WithLive sets the function that reports which other VMs are alive. By default all are.
func WithLive(f LiveFunc) Option { return func(c *Claimer) { c.live = f } }

// WithSeed seeds the first claim number and the jitter of retries. Two incarnations of a
// VM should have different seeds.
func WithSeed(seed uint64) Option {
	return func(c *Claimer) { c.random = rand.New(rand.NewPCG(seed, 0)) }
}

// New returns the claimer of one incarnation of a VM.
func New(vm string, i tier.Incarnation, opts ...Option) *Claimer {
	c := &Claimer{
		vm:          vm,
		incarnation: i,
		pages:       map[string]*page{},
		busyPages:   map[string]*page{},
		running:     map[uint64]*booking{},
		waiters:     map[uint64]*waiter{},
		minted:      mintedKeys{bookings: map[uint64]*booking{}},
	}
	c.Defaults()
	for _, o := range opts {
		o(c)
	}
	c.lastClaim = c.random.Uint64N(maxFirstClaim)
	c.minted.last = c.lastClaim
	c.minted.oldest = c.lastClaim + 1
	return c
}

// Defaults sets the default number of pages, record delay, number of minted keys,
// liveness function and seed.
func (c *Claimer) Defaults() {
	c.pageCount = DefaultPages
	c.recordDelay = DefaultRecordDelay
	c.maxMintedKeys = DefaultMaxMintedKeys
	c.live = func(string, tier.Incarnation) bool { return true }
	c.random = rand.New(rand.NewPCG(uint64(c.incarnation), 0))
}

// Counters are the totals since the claimer was created.
type Counters struct {
	reads     int
	writes    int
	conflicts int
	failures  int
	runs      int
}

// Reads is the number of reads of pages.
func (c Counters) Reads() int { return c.reads }

// Writes is the number of writes of pages, including those that failed.
func (c Counters) Writes() int { return c.writes }

// Conflicts is the number of writes rejected because the page had changed.
func (c Counters) Conflicts() int { return c.conflicts }

// Failures is the number of store calls that failed and of pages that could not be
// decoded.
func (c Counters) Failures() int { return c.failures }

// Runs is the number of bookings sent to a back end.
func (c Counters) Runs() int { return c.runs }

// Counters returns the totals so far.
func (c *Claimer) Counters() Counters { return c.counters }

// Idle reports whether nothing runs or waits and every outcome is stored.
func (c *Claimer) Idle() bool {
	return len(c.running) == 0 && len(c.waiters) == 0 && len(c.busyPages) == 0
}

// Next returns when the next Tick is due, if one is.
func (c *Claimer) Next() (tier.Millis, bool) {
	next, ok := c.deadlines.first()
	for _, p := range c.busyPages {
		if at, waits := p.nextTick(c.flushing); waits && (!ok || at < next) {
			next, ok = at, true
		}
	}
	return next, ok
}

// Step handles one event and returns the actions to perform.
func (c *Claimer) Step(now tier.Millis, e Event) []Action {
	c.actions = nil
	switch e := e.(type) {
	case *Submit:
		c.handleSubmit(now, e)
	case *Ran:
		c.handleRan(now, e)
	case *CallerGone:
		c.handleCallerGone(e.submissionID)
	case *ReadDone:
		c.handleReadDone(now, e)
	case *WriteDone:
		c.handleWriteDone(now, e)
	case *Conflict:
		c.handleConflict(now, e)
	case *Failed:
		c.handleFailed(now, e)
	case *Fenced:
		c.fenced = true
	case *Flush:
		c.flushing = true
	case *Tick:
	}
	c.expireWaiters(now)
	c.advancePages(now)
	return c.actions
}

func (c *Claimer) emit(a Action) { c.actions = append(c.actions, a) }

// advancePages starts the next store call of every busy page that needs one, in sorted
// order so that runs are reproducible.
func (c *Claimer) advancePages(now tier.Millis) {
	recording := false
	for _, key := range sortedKeys(c.busyPages) {
		p := c.busyPages[key]
		c.advancePage(now, p)
		recording = recording || len(p.unstored) > 0
		if p.openCall == 0 && !p.hasWork() {
			delete(c.busyPages, key)
		}
	}
	c.flushing = c.flushing && recording
	if len(c.pages) > maxIdlePages {
		c.forgetIdlePages()
	}
}

func (c *Claimer) forgetIdlePages() {
	for key, p := range c.pages {
		if c.busyPages[key] == nil && len(p.bookings) == 0 {
			delete(c.pages, key)
		}
	}
}
