package gossiper

import (
	"slices"

	"cicadagrade.example/tier"
)

// poolRounds is how often a round also tries an address that may hold a VM
// not known here, or one held dead.
const poolRounds = 4

func (g *Gossiper) tick() {
	g.lastTick = g.now
	if g.replaced {
		return
	}
	g.expire()
	g.abandon()
	g.watchLinks()
	g.settle()
	if g.now < g.nextRound {
		return
	}
	g.round()
}

// round starts the exchanges that are due.
func (g *Gossiper) round() {
	g.rounds++
	g.nextRound = g.now + g.jitter(g.idle)
	if g.bucket.tokens < 2*messageOverhead {
		return
	}
	digests := g.now >= g.lastDigests+g.idle*9/10 || g.stale || g.wide > digestWindow
	if digests {
		g.lastDigests = g.now
	}
	if r := g.nextPeer(); r != nil {
		g.send(r, r.vm.Address(), digests)
	}
	if r := g.nextPeer(); r != nil && len(g.news.list) > 0 && g.bucket.plenty() {
		g.send(r, r.vm.Address(), false)
	}
	g.crossRound(digests)
	g.poolRound()
	if len(g.news.list) > 0 {
		g.hurry()
	}
}

// nextPeer goes through the peers in a random order, each once, so that a
// silent one is met soon.
func (g *Gossiper) nextPeer() *record {
	for range 2 {
		for len(g.turn) > 0 {
			r := g.records[g.turn[0]]
			g.turn = g.turn[1:]
			if r != nil && r.known && !r.dead && r.vm.DataCentre() == g.home {
				return r
			}
		}
		for _, r := range g.peers() {
			g.turn = append(g.turn, r.vm.Name())
		}
		g.random.Shuffle(len(g.turn), func(i, j int) { g.turn[i], g.turn[j] = g.turn[j], g.turn[i] })
	}
	return nil
}

// poolRound looks for VMs that are not known, ever less often, and every few
// rounds for the dead ones and the seeds that do not answer.
func (g *Gossiper) poolRound() {
	switch {
	case len(g.peers()) > 0:
		g.poolWait = g.idle
		if g.rounds%poolRounds == 0 {
			g.tryPool()
		}
	case g.now >= g.nextPool:
		g.nextPool = g.now + g.jitter(g.poolWait)
		g.poolWait = min(2*g.poolWait, poolRounds*g.idle)
		g.tryPool()
	}
}

func (g *Gossiper) jitter(m tier.Millis) tier.Millis {
	return m*9/10 + tier.Millis(g.random.Int64N(int64(m)/5+1))
}

// peers lists the other members of this data centre that are not dead.
func (g *Gossiper) peers() []*record {
	if g.others == nil {
		g.others = slices.DeleteFunc(slices.Clone(g.ranked(g.home)), func(r *record) bool { return r == g.own })
	}
	return g.others
}

// tryPool sends to one of the dead, or to a seed where no member is known.
func (g *Gossiper) tryPool() {
	used := map[string]bool{}
	var pool []string
	for _, r := range g.records {
		if r.known && !r.dead {
			used[r.vm.Address()] = true
		}
	}
	add := func(address string) {
		if !used[address] {
			used[address] = true
			pool = append(pool, address)
		}
	}
	for _, name := range g.names {
		if r := g.records[name]; r.known && r.dead {
			add(r.vm.Address())
		}
	}
	for _, s := range g.seeds {
		add(s)
	}
	if len(pool) == 0 {
		return
	}
	address := pool[g.random.IntN(len(pool))]
	g.send(g.deadAt(address), address, true)
}

func (g *Gossiper) deadAt(address string) *record {
	for _, name := range g.names {
		if r := g.records[name]; r.known && r.dead && r.vm.Address() == address {
			return r
		}
	}
	return nil
}

func (g *Gossiper) send(to *record, address string, digests bool) {
	g.number++
	f := flight{address: address, at: g.now}
	if to != nil {
		f.name = to.vm.Name()
		f.dataCentre = to.vm.DataCentre()
	}
	g.sent[g.number] = f
	m := g.request(to, digests)
	g.bucket.spend(m.Size())
	g.act(&SendExchange{number: g.number, address: address, message: m})
}

// failed suspects a VM that did not answer. Of a VM elsewhere the link may be
// at fault: it is suspected only when another VM there answers.
func (g *Gossiper) failed(number uint64) {
	f, ok := g.sent[number]
	if !ok {
		return
	}
	delete(g.sent, number)
	r, ok := g.records[f.name]
	if !ok || r.dead || r.vm.Address() != f.address || number <= g.staleNumber {
		return
	}
	if f.dataCentre != g.home {
		g.linkFailed(f.dataCentre, f.name)
		return
	}
	g.suspect(r, max(r.highest, 1))
}

func (g *Gossiper) suspect(r *record, version uint64) {
	if r.dead || r.suspectAt >= version {
		return
	}
	if r.suspectAt == 0 {
		r.suspectSince = g.now
	}
	r.suspectAt = version
	g.news.add(r.vm.Name(), statusSuspect, g.spread())
	g.hurry()
}

// hearStatus takes a suspicion that a peer has of another VM.
func (g *Gossiper) hearStatus(e Entry) {
	r, ok := g.records[e.origin]
	if !ok || r.incarnation != e.incarnation || e.key != statusSuspect {
		return
	}
	if e.version < r.highest {
		for _, newer := range r.since(e.version) {
			g.news.add(e.origin, newer.key, pulledCopies)
		}
		return
	}
	g.suspect(r, e.version)
}

// expire declares dead whoever did not refute in time, and forgets those long
// dead.
func (g *Gossiper) expire() {
	limit := g.suspicionTime(len(g.peers()))
	for _, name := range slices.Clone(g.names) {
		r := g.records[name]
		switch {
		case r.dead && g.now-r.deadSince > g.forget:
			g.forgetRecord(name)
		case !r.dead && r.suspectAt > 0 && g.now-r.suspectSince >= limit:
			g.bury(r)
		}
	}
}

// abandon forgets exchanges of which the shell never told the end.
func (g *Gossiper) abandon() {
	for n, f := range g.sent {
		if g.now-f.at > g.flightLimit {
			delete(g.sent, n)
		}
	}
}

// bury declares a VM dead, until it writes something newer.
func (g *Gossiper) bury(r *record) {
	r.suspectAt = max(r.suspectAt, r.highest, 1)
	r.dead = true
	r.deadSince = g.now
	g.show(r)
}

// settle ends the distrust after a start or a pause when there is no one left
// to ask.
func (g *Gossiper) settle() {
	if !g.stale || len(g.peers()) > 0 {
		return
	}
	alone := len(g.seeds) == 0 && len(g.records) == 1
	if alone || g.now-g.staleSince > g.suspicionTime(len(g.records)) {
		g.stale = false
	}
}
