package dispatcher

import (
	"math/rand/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/limiter"
)

// Limits of the state that is kept of a server.
const (
	latencyWeight    = 0.2              // weight of the newest latency in the average
	latencyHalfLife  = 5 * tier.Second  // half-life of an average latency without new samples
	maxFloorCredit   = 1 * tier.Second  // most slot time that a rank's floor accumulates
	inferredStateTTL = 10 * tier.Second // validity of a state inferred from a reply
	minLatency       = 0.5              // milliseconds, for calls below the clock's resolution
)

// Factors by which a server's state and load raise its expected latency. An increase is
// added to a factor of 1.
const (
	unknownCostFactor   = 4.0
	sheddingCostFactor  = 2.0
	coldCostIncrease    = 2.0
	failureCostIncrease = 1.0 // for each consecutive failure
	loadCostIncrease    = 0.5 // when all slots are in use
)

// slotShare identifies the part of each server's slots that one of several owners may use.
type slotShare struct{ owners, index int }

// slots is how many of a server's slots the owner may use. The ordinal is the
// server's position in the set. It rotates which owners get the remainder of the
// division, so that the same owners don't get fewer slots on every server.
func (s slotShare) slots(total, ordinal int) int {
	if s.owners <= 0 || s.index < 0 || s.index >= s.owners {
		return 0
	}
	n := total / s.owners
	if (s.index+ordinal)%s.owners < total%s.owners {
		n++
	}
	return n
}

// MaxOwners is how many owners can split the slots of a set in a data centre so that
// each gets a slot on every server. Further owners get no share.
func MaxOwners(set *tier.ShardSet, dataCentre string) int {
	n := tier.MaxOwnerCount
	for _, b := range set.Servers() {
		if b.DataCentre() == dataCentre {
			n = min(n, b.Slots())
		}
	}
	return n
}

// versions holds the index versions of a shard that a server holds, by epoch. Epochs
// that were never reported are absent.
type versions map[tier.Epoch]map[tier.Version]bool

type server struct {
	backend             tier.Backend
	ordinal             int
	state               tier.BackendState
	stateSince          tier.Millis // when the state began
	inferred            bool        // whether the state was inferred from a reply
	shards              []*shard
	limiter             *limiter.Limiter
	previousShare       int // slots before the current share was assigned
	running             []*call
	runningByRank       [len(tier.Ranks)]int
	queuedLoad          [len(tier.Ranks)]float64 // queued tasks, each divided by its number of replicas
	floorCredit         [len(tier.Ranks)]float64 // slot milliseconds owed to each rank's floor
	averageLatency      float64                  // in milliseconds
	latencyUpdated      tier.Millis
	consecutiveFailures int

	recheckAt tier.Millis // when an idle slot is next considered again
	holdings  map[string]versions
}

func newServer(b tier.Backend, r *rand.Rand) *server {
	return &server{backend: b, limiter: limiter.New(b.Slots(), r), holdings: map[string]versions{}}
}

func (d *Dispatcher) applyShares() {
	for _, s := range d.servers {
		s.limiter.SetSlots(d.share(s))
	}
	if until := d.shareSince + d.takeoverDelay; d.now < until {
		d.timers.add(timer{at: until, kind: timerTakeover})
	}
}

// share is how many of a server's slots this owner may use. During the takeover delay
// a new or larger share is limited to the previous one, or to one slot. An owner on
// standby falls back to one slot before the delay is over.
func (d *Dispatcher) share(s *server) int {
	n := slotShare{owners: min(d.owners, d.maxOwners), index: d.ownerIndex}.slots(s.backend.Slots(), s.ordinal)
	if d.standby && d.shareReleased() {
		n = min(n, 1)
	}
	if d.now >= d.shareSince+d.takeoverDelay {
		return n
	}
	return min(n, max(1, s.previousShare))
}

// shareReleased reports whether an owner on standby no longer uses its share. It has
// half of the takeover delay to work off its queue. The new owner may have learned of
// the change up to half a delay earlier, and its takeover delay must not end before
// the former owner has released the slots.
func (d *Dispatcher) shareReleased() bool {
	return d.now >= d.shareSince+min(d.takeoverDelay, d.takeoverDelay/2+1)
}

// callLimit is how many of this owner's calls the server may run at once now.
func (d *Dispatcher) callLimit(s *server) int {
	n := min(s.limiter.Limit(d.now), d.share(s))
	switch s.state {
	case tier.BackendLeaving, tier.BackendLost:
		return 0
	case tier.BackendCold:
		return d.coldLimit(s, n)
	case tier.BackendShedding:
		return min(n, max(1, n/2))
	default:
		return n
	}
}

func (d *Dispatcher) coldLimit(s *server, n int) int {
	ramp := d.set.ColdRamp()
	age := d.now - s.stateSince
	if age >= ramp {
		return n
	}
	return min(n, max(1, int(tier.Millis(n)*age/ramp)))
}

// reportsLimit is how many of n slots calls of rank Reports may occupy at once.
func (d *Dispatcher) reportsLimit(n int) int {
	return max(1, int(float64(n)*d.set.ReportsShare()))
}

// hasFreeSlot reports whether a call of a rank can start on the server now.
func (d *Dispatcher) hasFreeSlot(s *server, r tier.Rank) bool {
	n := d.callLimit(s)
	if len(s.running) >= n {
		return false
	}
	return r != tier.Reports || s.runningByRank[r] < d.reportsLimit(n)
}

// holding states whether a server holds a shard at a snapshot.
type holding int

const (
	holdingNo holding = iota
	holdingUnknown
	holdingYes
)

func (s *server) holds(shard string, snapshot tier.Snapshot) holding {
	if snapshot.Version() == 0 {
		return holdingYes
	}
	known := s.holdings[shard]
	if known == nil {
		return holdingUnknown
	}
	if known[snapshot.Epoch()][snapshot.Version()] {
		return holdingYes
	}
	return holdingNo
}

func (s *server) setHolding(shard string, e tier.Epoch, held []tier.Version) {
	known := s.holdings[shard]
	if known == nil {
		known = versions{}
		s.holdings[shard] = known
	}
	delete(known, e)
	if len(held) == 0 {
		return
	}
	known[e] = map[tier.Version]bool{}
	for _, v := range held {
		known[e][v] = true
	}
}

// dropVersion records that a server does not hold a shard at a snapshot.
func (s *server) dropVersion(shard string, snapshot tier.Snapshot) {
	if s.holdings[shard] == nil {
		s.holdings[shard] = versions{}
	}
	delete(s.holdings[shard][snapshot.Epoch()], snapshot.Version())
}

func (s *server) observeLatency(now, took tier.Millis) {
	m := max(float64(took), minLatency)
	if s.latencyUpdated == 0 && s.averageLatency == 0 {
		s.averageLatency = m
	}
	s.averageLatency += latencyWeight * (m - s.averageLatency)
	s.latencyUpdated = now
}

// expectedLatency estimates the latency of a new call, in milliseconds. It is the
// average latency, which decays without new samples, but at least the age of the oldest
// running call.
func (s *server) expectedLatency(now tier.Millis) float64 {
	m := s.averageLatency
	for age := now - s.latencyUpdated; age >= latencyHalfLife; age -= latencyHalfLife {
		m /= 2
		if m < minLatency {
			break
		}
	}
	for _, c := range s.running {
		if !c.cancelled {
			m = max(m, float64(now-c.started))
		}
	}
	return max(m, minLatency)
}

// expectedCost estimates the milliseconds until the server would complete a call of a
// rank that is assigned to it now, weighted by its state, failures and slots in use.
// If the server has no free slot, queued work of the same or a more urgent rank goes
// before the call.
func (d *Dispatcher) expectedCost(s *server, r tier.Rank) float64 {
	m := s.expectedLatency(d.now) * d.stateCostFactor(s) * (1 + failureCostIncrease*float64(s.consecutiveFailures))
	n := float64(max(1, d.callLimit(s)))
	if d.hasFreeSlot(s, r) {
		return m * (1 + loadCostIncrease*float64(len(s.running))/n)
	}
	ahead := 0.0
	for q := tier.Urgent; q <= r; q++ {
		ahead += s.queuedLoad[q]
	}
	return m * (1 + max(1, ahead)/n)
}

func (d *Dispatcher) stateCostFactor(s *server) float64 {
	switch s.state {
	case tier.BackendUnknown:
		return unknownCostFactor
	case tier.BackendShedding:
		return sheddingCostFactor
	case tier.BackendCold:
		left := max(0, d.set.ColdRamp()-(d.now-s.stateSince))
		return 1 + coldCostIncrease*float64(left)/float64(max(1, d.set.ColdRamp()))
	default:
		return 1
	}
}

// updateFloorCredit accounts for the slot time of an ended call of rank r. Other ranks
// with queued work gain the fraction that their floor guarantees them, and r spends what
// it used beyond its own floor.
func (d *Dispatcher) updateFloorCredit(s *server, r tier.Rank, took tier.Millis) {
	for _, q := range tier.Ranks {
		f := d.set.Floor(q)
		switch {
		case q == r:
			lowest := -float64(took)
			s.floorCredit[q] = max(lowest, s.floorCredit[q]-float64(took)*(1-f))
		case s.queuedLoad[q] > 0:
			s.floorCredit[q] = min(float64(maxFloorCredit), s.floorCredit[q]+float64(took)*f)
		default:
			s.floorCredit[q] = min(0, s.floorCredit[q])
		}
	}
}

func (d *Dispatcher) handleBackendChanged(e *BackendChanged) {
	s := d.servers[e.server]
	if s == nil {
		return
	}
	s.inferred = false
	if s.state == e.state {
		return
	}
	s.state, s.stateSince = e.state, d.now
	switch e.state {
	case tier.BackendCold:
		d.timers.add(timer{at: d.now + d.set.ColdRamp(), kind: timerServer, server: s})
	case tier.BackendLost:
		d.hedgeRunningCalls(s)
	}
	d.dropUnservable()
	d.scheduleShardsOf(s)
}

// expireInferredState resets a state that was inferred from a reply and not confirmed
// since.
func (d *Dispatcher) expireInferredState(s *server) {
	if s.inferred && d.now >= s.stateSince+inferredStateTTL {
		s.inferred = false
		s.state, s.stateSince = tier.BackendUnknown, d.now
		d.scheduleServerAndPeers(s)
	}
}

// hedgeRunningCalls queues hedges of all calls on a lost server, without waiting for the
// hedge delay.
func (d *Dispatcher) hedgeRunningCalls(s *server) {
	for _, c := range s.running {
		d.queueHedge(c)
	}
}

func (d *Dispatcher) handleHoldingChanged(e *HoldingChanged) {
	s := d.servers[e.server]
	if s == nil {
		return
	}
	s.setHolding(e.shard, e.epoch, e.versions)
	h := d.shards[e.shard]
	if h == nil {
		return
	}
	d.dropUnservableOf(h)
	d.scheduleShard(h)
}
