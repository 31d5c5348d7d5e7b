// Package gossiper keeps the list of VMs, and what each publishes, alike on
// all VMs by periodic exchanges. It is a state machine: it does no I/O and
// holds no clock.
//
// Each VM writes versioned entries under its own name and life. Exchanges
// carry digests, what the other side lacks, and the latest news; the bytes
// sent are bounded by a rate. A VM that does not answer is suspected, and dead
// unless it refutes by a newer write. Only few contacts of a data centre
// exchange with other data centres.
package gossiper

import (
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Gossiper is one VM's part in the gossip. It is not safe for concurrent use.
type Gossiper struct {
	config
	name    string
	home    string
	own     *record
	records map[string]*record
	names   []string // of records, sorted
	shared  map[string]Entry
	links   map[string]*link
	ranks   map[string][]*record // by data centre, cleared by members changing
	others  []*record            // peers, cleared likewise
	turn    []string             // peers still to be met in this turn
	seeds   []string

	news   rumours
	bucket bucket
	random *rand.Rand

	now         tier.Millis
	started     bool
	begun       tier.Millis // the first Step
	replaced    bool        // another VM runs under this one's name
	replacedBy  tier.VM
	lastTick    tier.Millis
	nextRound   tier.Millis
	lastDigests tier.Millis
	nextWhole   tier.Millis
	wide        int // digests in the next request
	rounds      uint64
	nextPool    tier.Millis
	poolWait    tier.Millis
	cursors     [2]string // where the next request's digests start: at home, elsewhere

	sent        map[uint64]flight
	number      uint64
	stale       bool
	staleSince  tier.Millis
	staleNumber uint64

	generation uint64
	actions    []Action
}

// flight is an exchange that has not been answered.
type flight struct {
	name       string
	dataCentre string
	address    string
	at         tier.Millis
}

// New returns the gossiper of a VM, which starts joining. Its errors are of
// type *tier.InvalidError.
func New(self tier.VM, opts ...Option) (*Gossiper, error) {
	g := &Gossiper{
		name:    self.Name(),
		home:    self.DataCentre(),
		records: map[string]*record{},
		shared:  map[string]Entry{},
		links:   map[string]*link{},
		sent:    map[uint64]flight{},
		stale:   true,
		wide:    digestWindow,
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
	g.random = rand.New(rand.NewPCG(g.seed, uint64(self.Incarnation())))
	g.bucket = bucket{tokens: float64(g.burst), rate: float64(g.rate), burst: float64(g.burst)}
	g.own = g.record(self.Name(), max(self.Incarnation(), 1))
	g.own.vm = self.With(tier.WithIncarnation(g.own.incarnation))
	g.own.known = true
	g.own.shown = g.own.vm
	g.writeVM()
	return g, nil
}

// Next is when the next Tick is due.
func (g *Gossiper) Next() (tier.Millis, bool) { return g.nextRound, true }

// Step takes an event and returns what to do about it.
func (g *Gossiper) Step(now tier.Millis, e Event) []Action {
	g.start(now)
	g.now = now
	g.actions = nil
	g.bucket.fill(now)
	if now-g.lastTick > g.pause {
		g.resume()
	}
	switch e := e.(type) {
	case *Tick:
		g.tick()
	case *ExchangeReceived:
		g.exchange(e.request)
	case *ReplyReceived:
		g.replied(e.number, e.reply)
	case *PeerFailed:
		g.failed(e.number)
	case *Publish:
		g.publish(e.key, e.value)
	case *Announce:
		g.takeShared(NewEntry("", tier.Incarnation(e.epoch), e.revision, e.key, e.value), g.spread())
	case *SetState:
		g.setState(e.state)
	case *SeedsChanged:
		g.seeds = slices.Clone(e.addresses)
	}
	return g.actions
}

func (g *Gossiper) start(now tier.Millis) {
	if g.started {
		return
	}
	g.started = true
	g.begun = now
	g.lastTick, g.nextRound, g.staleSince, g.nextPool = now, now, now, now
	g.poolWait = g.idle
	g.bucket.filled = now
}

// resume distrusts what is held after a pause of this VM, and gives those
// under suspicion their full time again.
func (g *Gossiper) resume() {
	gap := g.now - g.lastTick
	g.lastTick = g.now
	g.stale = true
	g.staleSince = g.now
	g.staleNumber = g.number
	for _, r := range g.records {
		r.suspectSince += gap
	}
	for _, l := range g.links {
		l.heard += gap
	}
}

func (g *Gossiper) publish(key string, value []byte) {
	if len(key) > MaxKey || len(value) > MaxValue || reserved(key) {
		return
	}
	g.write(key, slices.Clone(value))
}

func (g *Gossiper) setState(s tier.VMState) {
	if s == g.own.vm.State() || s == tier.VMDead {
		return
	}
	g.own.vm = g.own.vm.With(tier.WithVMState(s))
	g.writeVM()
	g.show(g.own)
}

// write stores a value of this VM and starts to spread it.
func (g *Gossiper) write(key string, value []byte) {
	e := NewEntry(g.name, g.own.incarnation, g.own.highest+1, key, value)
	g.own.take(e)
	g.own.version = e.version
	g.news.add(g.name, key, g.spread())
	if key != keyVM {
		g.changed(g.name, key, value)
	}
	g.hurry()
}

func (g *Gossiper) writeVM() { g.write(keyVM, encodeVM(g.own.vm, g.own.lowest(keyVM))) }

// renew takes a life above i, under which this VM writes everything again.
func (g *Gossiper) renew(i tier.Incarnation) {
	old := g.own.entries
	state := g.own.vm.State()
	g.own.reset(i + 1)
	g.own.vm = g.own.vm.With(tier.WithVMState(state))
	g.writeVM()
	for _, k := range sortedKeys(old) {
		if k != keyVM {
			g.write(k, old[k].value)
		}
	}
	g.show(g.own)
}

// refute answers a suspicion with a newer write.
func (g *Gossiper) refute(version uint64) {
	if version >= g.own.highest {
		g.own.highest = version
		g.writeVM()
		return
	}
	g.news.add(g.name, keyVM, g.spread())
	g.hurry()
}

// hurry brings the next round forward while there is news, the less the fewer
// bytes are left.
func (g *Gossiper) hurry() {
	switch {
	case g.bucket.plenty():
		g.nextRound = min(g.nextRound, g.now+g.fast)
	case g.bucket.tokens > littleLeft:
		g.nextRound = min(g.nextRound, g.now+2*g.fast)
	}
}

// spread is how often a value just read is pushed on; little when the bytes
// are nearly spent.
func (g *Gossiper) spread() int {
	n := g.news.spread(len(g.records))
	if !g.bucket.plenty() {
		return min(n, fewCopies)
	}
	return n
}

func (g *Gossiper) act(a Action) { g.actions = append(g.actions, a) }

func (g *Gossiper) changed(origin, key string, value []byte) {
	g.act(&EntryChanged{origin: origin, key: key, value: value})
}

// show tells the shell of a member that looks other than before.
func (g *Gossiper) show(r *record) {
	g.ranks, g.others = nil, nil
	if !r.known || r.state() == r.shown {
		return
	}
	r.shown = r.state()
	g.generation++
	g.act(&MemberChanged{vm: r.shown})
}
