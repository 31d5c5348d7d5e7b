package dispatcher

import (
	"math/rand/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/limiter"
)

// Limits of what is kept of a server.
const (
	latencyWeight  = 0.2              // of the newest latency in the average
	latencyHalving = 5 * tier.Second  // in which an unrenewed latency falls by half
	maxCredit      = 1 * tier.Second  // slot time that a floor saves up
	supposedFor    = 10 * tier.Second // a state that only a reply told
	minLatency     = 0.5              // in milliseconds, below what the clock tells apart
)

// Factors on the expected latency of servers that are not plainly live.
const (
	unknownCost  = 4.0
	sheddingCost = 2.0
	coldCost     = 2.0
	failureCost  = 1.0 // for each failure in a row
	loadCost     = 0.5 // at all slots in use
)

// shareOf is which part of the slots an owner has.
type shareOf struct{ owners, index int }

// slots is the share of a server's slots. Servers give their remainders to
// different owners, so that no owner is short on all of them.
func (s shareOf) slots(total, ordinal int) int {
	if s.owners <= 0 || s.index < 0 || s.index >= s.owners {
		return 0
	}
	n := total / s.owners
	if (s.index+ordinal)%s.owners < total%s.owners {
		n++
	}
	return n
}

// MaxOwners is how many owners may split the slots of a set in a data centre
// so that each has a slot on every server. Owners beyond it get no share.
func MaxOwners(set *tier.ShardSet, dataCentre string) int {
	n := tier.MaxOwners
	for _, b := range set.Servers() {
		if b.DataCentre() == dataCentre {
			n = min(n, b.Slots())
		}
	}
	return n
}

// versions is what a server holds of a shard, by epoch. Epochs that it never
// told of are absent.
type versions map[tier.Epoch]map[tier.Version]bool

type server struct {
	backend  tier.Backend
	ordinal  int
	state    tier.BackendState
	since    tier.Millis // of the state
	supposed bool        // only a reply told the state
	shards   []*shard
	limiter  *limiter.Limiter
	base     int // slots of the share before the present one
	running  []*call
	byRank   [len(tier.Ranks)]int
	load     [len(tier.Ranks)]float64 // queued work, shared among its replicas
	credit   [len(tier.Ranks)]float64 // slot milliseconds owed to the floors
	latency  float64
	measured tier.Millis
	failures int

	reconsidered tier.Millis // when an idle slot is looked at again
	holdings     map[string]versions
}

func newServer(b tier.Backend, r *rand.Rand) *server {
	return &server{backend: b, limiter: limiter.New(b.Slots(), r), holdings: map[string]versions{}}
}

func (d *Dispatcher) applyShares() {
	for _, s := range d.servers {
		s.limiter.SetSlots(d.share(s))
	}
	if until := d.shared + d.takeover; d.now < until {
		d.timers.add(timer{at: until, kind: timerTakeover})
	}
}

// share is the owner's part of a server's slots. A new or larger share is
// held at the earlier one, or at one slot, until the takeover time has passed;
// an owner that stands by falls back to one slot before.
func (d *Dispatcher) share(s *server) int {
	n := shareOf{owners: min(d.owners, d.maxOwners), index: d.index}.slots(s.backend.Slots(), s.ordinal)
	if d.standby && d.gaveUp() {
		n = min(n, 1)
	}
	if d.now >= d.shared+d.takeover {
		return n
	}
	return min(n, max(1, s.base))
}

// gaveUp reports whether an owner that was told to stand by no longer uses its
// share. It has half of the takeover time for its queue: the
// new owner may have been told up to as long before, and its takeover time
// must not end first.
func (d *Dispatcher) gaveUp() bool {
	return d.now >= d.shared+min(d.takeover, d.takeover/2+1)
}

// limit is how many calls the server may run now.
func (d *Dispatcher) limit(s *server) int {
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
	up := d.now - s.since
	if up >= ramp {
		return n
	}
	return min(n, max(1, int(tier.Millis(n)*up/ramp)))
}

// reportsLimit is how many of n slots reports may hold at once.
func (d *Dispatcher) reportsLimit(n int) int {
	return max(1, int(float64(n)*d.set.ReportsShare()))
}

// free reports whether the server can start a call of a rank now.
func (d *Dispatcher) free(s *server, r tier.Rank) bool {
	n := d.limit(s)
	if len(s.running) >= n {
		return false
	}
	return r != tier.Reports || s.byRank[r] < d.reportsLimit(n)
}

// holding says whether a server holds a shard at a snapshot.
type holding int

const (
	holdingNo holding = iota
	holdingUnknown
	holdingYes
)

func (s *server) holds(shard string, at tier.Snapshot) holding {
	if at.Version() == 0 {
		return holdingYes
	}
	known := s.holdings[shard]
	if known == nil {
		return holdingUnknown
	}
	if known[at.Epoch()][at.Version()] {
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

func (s *server) dropVersion(shard string, at tier.Snapshot) {
	if s.holdings[shard] == nil {
		s.holdings[shard] = versions{}
	}
	delete(s.holdings[shard][at.Epoch()], at.Version())
}

func (s *server) observe(now, took tier.Millis) {
	m := max(float64(took), minLatency)
	if s.measured == 0 && s.latency == 0 {
		s.latency = m
	}
	s.latency += latencyWeight * (m - s.latency)
	s.measured = now
}

// expected is the latency that a new call would see: the average, forgotten
// by and by, but at least the age of the oldest call that still runs.
func (s *server) expected(now tier.Millis) float64 {
	m := s.latency
	for age := now - s.measured; age >= latencyHalving; age -= latencyHalving {
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

// cost is the time in which the server would end a call of a rank that is
// given to it now, weighted by its state and the slots in use.
func (d *Dispatcher) cost(s *server, r tier.Rank) float64 {
	m := s.expected(d.now) * d.stateCost(s) * (1 + failureCost*float64(s.failures))
	n := float64(max(1, d.limit(s)))
	if d.free(s, r) {
		return m * (1 + loadCost*float64(len(s.running))/n)
	}
	ahead := 0.0
	for q := tier.Urgent; q <= r; q++ {
		ahead += s.load[q]
	}
	return m * (1 + max(1, ahead)/n)
}

func (d *Dispatcher) stateCost(s *server) float64 {
	switch s.state {
	case tier.BackendUnknown:
		return unknownCost
	case tier.BackendShedding:
		return sheddingCost
	case tier.BackendCold:
		left := max(0, d.set.ColdRamp()-(d.now-s.since))
		return 1 + coldCost*float64(left)/float64(max(1, d.set.ColdRamp()))
	default:
		return 1
	}
}

// account gives the floors of ranks that wait their part of ended slot time.
func (d *Dispatcher) account(s *server, r tier.Rank, took tier.Millis) {
	for _, q := range tier.Ranks {
		f := d.set.Floor(q)
		switch {
		case q == r:
			least := -float64(took)
			s.credit[q] = max(least, s.credit[q]-float64(took)*(1-f))
		case s.load[q] > 0:
			s.credit[q] = min(float64(maxCredit), s.credit[q]+float64(took)*f)
		default:
			s.credit[q] = min(0, s.credit[q])
		}
	}
}

func (d *Dispatcher) backendChanged(e *BackendChanged) {
	s := d.servers[e.server]
	if s == nil {
		return
	}
	s.supposed = false
	if s.state == e.state {
		return
	}
	s.state, s.since = e.state, d.now
	switch e.state {
	case tier.BackendCold:
		d.timers.add(timer{at: d.now + d.set.ColdRamp(), kind: timerServer, server: s})
	case tier.BackendLost:
		d.hedgeAll(s)
	}
	d.dropUnservable()
	d.fillShardsOf(s)
}

// endSupposed ends a state that only a reply told.
func (d *Dispatcher) endSupposed(s *server) {
	if s.supposed && d.now >= s.since+supposedFor {
		s.supposed = false
		s.state, s.since = tier.BackendUnknown, d.now
		d.fillAround(s)
	}
}

// hedgeAll lets the calls on a lost server be hedged at once.
func (d *Dispatcher) hedgeAll(s *server) {
	for _, c := range s.running {
		d.wantHedge(c)
	}
}

func (d *Dispatcher) holdingChanged(e *HoldingChanged) {
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
	d.fillShard(h)
}
