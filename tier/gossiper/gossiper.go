// Package gossiper keeps the list of VMs and the values that they publish equal on all
// VMs by periodic exchanges. It is a state machine: it does no I/O and reads no clock.
//
// Each VM writes versioned entries under its own name and incarnation. An exchange
// carries digests, the entries that the other side lacks, and recent updates; a token
// bucket limits the bytes sent. A VM that does not answer is suspected, and is
// declared dead unless it refutes the suspicion with a newer write. In each data
// centre only a few VMs, its contacts, exchange with other data centres.
package gossiper

import (
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Gossiper is the gossip state of one VM. It is not safe for concurrent use.
type Gossiper struct {
	config
	name               string
	localDataCentre    string // of this VM
	self               *record
	records            map[string]*record
	names              []string              // keys of records, sorted
	sharedEntries      map[string]Entry      // by key
	links              map[string]*linkState // by data centre
	rankedByDataCentre map[string][]*record  // cache, cleared when members change
	cachedPeers        []*record             // cache of livePeers, cleared likewise
	peerQueue          []string              // shuffled peers still to be contacted in this cycle
	seeds              []string

	broadcasts broadcastQueue
	bucket     tokenBucket
	rng        *rand.Rand

	now               tier.Millis
	started           bool
	startedAt         tier.Millis // time of the first Step
	replaced          bool        // another VM runs under this VM's name
	replacedBy        tier.VM
	lastTickAt        tier.Millis
	nextRoundAt       tier.Millis
	lastDigestsAt     tier.Millis // last round that sent digests
	nextFullDigestsAt tier.Millis // next request that may list all digests
	digestCount       int         // number of digests in the next request
	roundCount        uint64
	nextDiscoveryAt   tier.Millis // next discovery while no peer is known
	discoveryInterval tier.Millis
	digestCursors     [2]string // first name of the next digests: for local peers, for remote ones

	pendingExchanges  map[uint64]pendingExchange // by number of the exchange
	lastExchange      uint64
	stale             bool // no reply since the start or the last pause
	staleSince        tier.Millis
	lastStaleExchange uint64 // last one sent before the state became stale

	generation uint64   // counts the changes of Members
	actions    []Action // of the present Step
}

// pendingExchange is a request that has not been answered yet.
type pendingExchange struct {
	peer       string
	dataCentre string
	address    string
	sentAt     tier.Millis
}

// New returns the gossiper of a VM in the state joining. Its errors are of type
// *tier.InvalidError.
func New(self tier.VM, opts ...Option) (*Gossiper, error) {
	g := &Gossiper{
		name:             self.Name(),
		localDataCentre:  self.DataCentre(),
		records:          map[string]*record{},
		sharedEntries:    map[string]Entry{},
		links:            map[string]*linkState{},
		pendingExchanges: map[uint64]pendingExchange{},
		stale:            true,
		digestCount:      minDigests,
	}
	g.Defaults()
	for _, o := range opts {
		o(&g.config)
	}
	if err := g.Validate(); err != nil {
		return nil, errors.Wrap(err, "New")
	}
	if _, _, err := decodeVM(self.Name(), self.Incarnation(), encodeVM(self, 1)); err != nil {
		return nil, errors.Wrap(err, "New")
	}
	g.rng = rand.New(rand.NewPCG(g.seed, uint64(self.Incarnation())))
	g.bucket = tokenBucket{tokens: float64(g.burstBytes), bytesPerSecond: float64(g.bytesPerSecond), burst: float64(g.burstBytes)}
	g.self = g.findOrAddRecord(self.Name(), max(self.Incarnation(), 1))
	g.self.vm = self.With(tier.WithIncarnation(g.self.incarnation))
	g.self.vmKnown = true
	g.self.lastReported = g.self.vm
	g.writeOwnVM()
	return g, nil
}

// Next returns when the next Tick is due.
func (g *Gossiper) Next() (tier.Millis, bool) { return g.nextRoundAt, true }

// Step applies an event and returns the actions that follow from it.
func (g *Gossiper) Step(now tier.Millis, e Event) []Action {
	g.recordStart(now)
	g.now = now
	g.actions = nil
	g.bucket.refill(now)
	if now-g.lastTickAt > g.pauseThreshold {
		g.resumeAfterPause()
	}
	switch e := e.(type) {
	case *Tick:
		g.tick()
	case *RequestReceived:
		g.handleRequest(e.request)
	case *ReplyReceived:
		g.handleReply(e.number, e.reply)
	case *ExchangeFailed:
		g.handleFailure(e.number)
	case *Publish:
		g.publish(e.key, e.value)
	case *PublishShared:
		g.applyShared(NewEntry("", tier.Incarnation(e.epoch), e.revision, e.key, e.value), g.transmitLimit())
	case *SetState:
		g.setState(e.state)
	case *SeedsChanged:
		g.seeds = slices.Clone(e.addresses)
	}
	return g.actions
}

func (g *Gossiper) recordStart(now tier.Millis) {
	if g.started {
		return
	}
	g.started = true
	g.startedAt = now
	g.lastTickAt, g.nextRoundAt, g.staleSince, g.nextDiscoveryAt = now, now, now, now
	g.discoveryInterval = g.idleInterval
	g.bucket.refilledAt = now
}

// resumeAfterPause marks the state stale after a pause of this VM, during which it
// heard nothing. It extends running suspicions and link timeouts by the length of the
// pause.
func (g *Gossiper) resumeAfterPause() {
	gap := g.now - g.lastTickAt
	g.lastTickAt = g.now
	g.stale = true
	g.staleSince = g.now
	g.lastStaleExchange = g.lastExchange
	for _, r := range g.records {
		r.suspectSince += gap
	}
	for _, l := range g.links {
		l.lastReplyAt += gap
	}
}

func (g *Gossiper) publish(key string, value []byte) {
	if len(key) > MaxKeyBytes || len(value) > MaxValueBytes || isReservedKey(key) {
		return
	}
	g.writeOwn(key, slices.Clone(value))
}

func (g *Gossiper) setState(s tier.VMState) {
	if s == g.self.vm.State() || s == tier.VMDead {
		return
	}
	g.self.vm = g.self.vm.With(tier.WithVMState(s))
	g.writeOwnVM()
	g.emitMemberChange(g.self)
}

// writeOwn stores a value of this VM and starts to spread it.
func (g *Gossiper) writeOwn(key string, value []byte) {
	e := NewEntry(g.name, g.self.incarnation, g.self.highestVersion+1, key, value)
	g.self.store(e)
	g.self.contiguousVersion = e.version
	g.broadcasts.enqueue(g.name, key, g.transmitLimit())
	if key != keyVM {
		g.emitEntryChanged(g.name, key, value)
	}
	g.scheduleFastRound()
}

func (g *Gossiper) writeOwnVM() { g.writeOwn(keyVM, encodeVM(g.self.vm, g.self.lowestVersion(keyVM))) }

// raiseIncarnation moves this VM to an incarnation above i and writes all its entries
// again under it.
func (g *Gossiper) raiseIncarnation(i tier.Incarnation) {
	formerEntries := g.self.entries
	state := g.self.vm.State()
	g.self.reset(i + 1)
	g.self.vm = g.self.vm.With(tier.WithVMState(state))
	g.writeOwnVM()
	for _, k := range sortedKeys(formerEntries) {
		if k != keyVM {
			g.writeOwn(k, formerEntries[k].value)
		}
	}
	g.emitMemberChange(g.self)
}

// refute answers a suspicion of this VM with a newer write.
func (g *Gossiper) refute(version uint64) {
	if version >= g.self.highestVersion {
		g.self.highestVersion = version
		g.writeOwnVM()
		return
	}
	g.broadcasts.enqueue(g.name, keyVM, g.transmitLimit())
	g.scheduleFastRound()
}

// scheduleFastRound brings the next round forward while there are updates to spread.
// The delay doubles once the tokens fall below the reserve; when they are nearly
// spent, the round is not moved.
func (g *Gossiper) scheduleFastRound() {
	switch {
	case g.bucket.hasReserve():
		g.nextRoundAt = min(g.nextRoundAt, g.now+g.fastInterval)
	case g.bucket.tokens > fastRoundMinTokens:
		g.nextRoundAt = min(g.nextRoundAt, g.now+2*g.fastInterval)
	}
}

// transmitLimit returns how often an update is pushed; few times while the tokens are
// below the reserve.
func (g *Gossiper) transmitLimit() int {
	n := g.broadcasts.transmitLimit(len(g.records))
	if !g.bucket.hasReserve() {
		return min(n, lowBudgetTransmits)
	}
	return n
}

func (g *Gossiper) emit(a Action) { g.actions = append(g.actions, a) }

func (g *Gossiper) emitEntryChanged(origin, key string, value []byte) {
	g.emit(&EntryChanged{origin: origin, key: key, value: value})
}

// emitMemberChange reports a member whose visible state differs from the last one
// reported.
func (g *Gossiper) emitMemberChange(r *record) {
	g.rankedByDataCentre, g.cachedPeers = nil, nil
	if !r.vmKnown || r.vmWithState() == r.lastReported {
		return
	}
	r.lastReported = r.vmWithState()
	g.generation++
	g.emit(&MemberChanged{vm: r.lastReported})
}
