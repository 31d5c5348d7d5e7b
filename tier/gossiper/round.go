package gossiper

import (
	"slices"

	"cicadagrade.example/tier"
)

// discoveryRounds is the number of rounds between attempts to contact a seed or the
// address of a dead VM.
const discoveryRounds = 4

func (g *Gossiper) tick() {
	g.lastTickAt = g.now
	if g.replaced {
		return
	}
	g.expireSuspects()
	g.dropExpiredExchanges()
	g.publishLinkStates()
	g.clearStaleWhenAlone()
	if g.now < g.nextRoundAt {
		return
	}
	g.startRound()
}

// startRound starts the exchanges that are due.
func (g *Gossiper) startRound() {
	g.roundCount++
	g.nextRoundAt = g.now + g.jitter(g.idleInterval)
	if g.bucket.tokens < 2*messageOverhead {
		return
	}
	digests := g.now >= g.lastDigestsAt+g.idleInterval*9/10 || g.stale || g.digestCount > minDigests
	if digests {
		g.lastDigestsAt = g.now
	}
	if r := g.nextPeer(); r != nil {
		g.sendRequest(r, r.vm.Address(), digests)
	}
	if r := g.nextPeer(); r != nil && len(g.broadcasts.items) > 0 && g.bucket.hasReserve() {
		g.sendRequest(r, r.vm.Address(), false)
	}
	g.remoteRound(digests)
	g.discoveryRound()
	if len(g.broadcasts.items) > 0 {
		g.scheduleFastRound()
	}
}

// nextPeer goes through all peers in a random order before it repeats one, so that a
// peer that does not answer is noticed soon.
func (g *Gossiper) nextPeer() *record {
	for range 2 {
		for len(g.peerQueue) > 0 {
			r := g.records[g.peerQueue[0]]
			g.peerQueue = g.peerQueue[1:]
			if r != nil && r.vmKnown && !r.dead && r.vm.DataCentre() == g.localDataCentre {
				return r
			}
		}
		for _, r := range g.livePeers() {
			g.peerQueue = append(g.peerQueue, r.vm.Name())
		}
		g.rng.Shuffle(len(g.peerQueue), func(i, j int) { g.peerQueue[i], g.peerQueue[j] = g.peerQueue[j], g.peerQueue[i] })
	}
	return nil
}

// discoveryRound contacts seeds and addresses of dead VMs: every few rounds while
// peers are known, otherwise at a growing interval.
func (g *Gossiper) discoveryRound() {
	switch {
	case len(g.livePeers()) > 0:
		g.discoveryInterval = g.idleInterval
		if g.roundCount%discoveryRounds == 0 {
			g.contactUnknownAddress()
		}
	case g.now >= g.nextDiscoveryAt:
		g.nextDiscoveryAt = g.now + g.jitter(g.discoveryInterval)
		g.discoveryInterval = min(2*g.discoveryInterval, discoveryRounds*g.idleInterval)
		g.contactUnknownAddress()
	}
}

func (g *Gossiper) jitter(m tier.Millis) tier.Millis {
	return m*9/10 + tier.Millis(g.rng.Int64N(int64(m)/5+1))
}

// livePeers lists the other members of this data centre that are not dead.
func (g *Gossiper) livePeers() []*record {
	if g.cachedPeers == nil {
		g.cachedPeers = slices.DeleteFunc(slices.Clone(g.rankedMembers(g.localDataCentre)), func(r *record) bool { return r == g.self })
	}
	return g.cachedPeers
}

// contactUnknownAddress sends a request to the address of a dead VM, or to a seed at
// which no live member is known.
func (g *Gossiper) contactUnknownAddress() {
	seen := map[string]bool{}
	var candidates []string
	for _, r := range g.records {
		if r.vmKnown && !r.dead {
			seen[r.vm.Address()] = true
		}
	}
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			candidates = append(candidates, address)
		}
	}
	for _, name := range g.names {
		if r := g.records[name]; r.vmKnown && r.dead {
			add(r.vm.Address())
		}
	}
	for _, s := range g.seeds {
		add(s)
	}
	if len(candidates) == 0 {
		return
	}
	address := candidates[g.rng.IntN(len(candidates))]
	g.sendRequest(g.deadRecordAt(address), address, true)
}

func (g *Gossiper) deadRecordAt(address string) *record {
	for _, name := range g.names {
		if r := g.records[name]; r.vmKnown && r.dead && r.vm.Address() == address {
			return r
		}
	}
	return nil
}

func (g *Gossiper) sendRequest(to *record, address string, digests bool) {
	g.lastExchange++
	p := pendingExchange{address: address, sentAt: g.now}
	if to != nil {
		p.peer = to.vm.Name()
		p.dataCentre = to.vm.DataCentre()
	}
	g.pendingExchanges[g.lastExchange] = p
	m := g.composeRequest(to, digests)
	g.bucket.spend(m.Size())
	g.emit(&SendRequest{number: g.lastExchange, address: address, message: m})
}

// handleFailure suspects a VM that did not answer. With a VM in another data centre
// the link may be at fault, so it is suspected only when another VM there answers.
func (g *Gossiper) handleFailure(number uint64) {
	p, ok := g.pendingExchanges[number]
	if !ok {
		return
	}
	delete(g.pendingExchanges, number)
	r, ok := g.records[p.peer]
	if !ok || r.dead || r.vm.Address() != p.address || number <= g.lastStaleExchange {
		return
	}
	if p.dataCentre != g.localDataCentre {
		g.recordLinkFailure(p.dataCentre, p.peer)
		return
	}
	g.suspect(r, max(r.highestVersion, 1))
}

func (g *Gossiper) suspect(r *record, version uint64) {
	if r.dead || r.suspectVersion >= version {
		return
	}
	if r.suspectVersion == 0 {
		r.suspectSince = g.now
	}
	r.suspectVersion = version
	g.broadcasts.enqueue(r.vm.Name(), statusSuspect, g.transmitLimit())
	g.scheduleFastRound()
}

// applySuspicion applies a peer's suspicion of another VM.
func (g *Gossiper) applySuspicion(e Entry) {
	r, ok := g.records[e.origin]
	if !ok || r.incarnation != e.incarnation || e.key != statusSuspect {
		return
	}
	if e.version < r.highestVersion {
		for _, later := range r.entriesAfter(e.version) {
			g.broadcasts.enqueue(e.origin, later.key, pulledTransmits)
		}
		return
	}
	g.suspect(r, e.version)
}

// expireSuspects declares VMs dead that did not refute a suspicion in time, and
// forgets those that have been dead for long.
func (g *Gossiper) expireSuspects() {
	timeout := g.suspicionTimeoutAmong(len(g.livePeers()))
	for _, name := range slices.Clone(g.names) {
		r := g.records[name]
		switch {
		case r.dead && g.now-r.deadSince > g.forgetAfter:
			g.forgetRecord(name)
		case !r.dead && r.suspectVersion > 0 && g.now-r.suspectSince >= timeout:
			g.declareDead(r)
		}
	}
}

// dropExpiredExchanges forgets exchanges whose outcome the caller never reported.
func (g *Gossiper) dropExpiredExchanges() {
	for n, p := range g.pendingExchanges {
		if g.now-p.sentAt > g.exchangeTimeout {
			delete(g.pendingExchanges, n)
		}
	}
}

// declareDead declares a VM dead until it writes something newer.
func (g *Gossiper) declareDead(r *record) {
	r.suspectVersion = max(r.suspectVersion, r.highestVersion, 1)
	r.dead = true
	r.deadSince = g.now
	g.emitMemberChange(r)
}

// clearStaleWhenAlone ends the stale state after a start or a pause when there is no
// peer to exchange with.
func (g *Gossiper) clearStaleWhenAlone() {
	if !g.stale || len(g.livePeers()) > 0 {
		return
	}
	alone := len(g.seeds) == 0 && len(g.records) == 1
	if alone || g.now-g.staleSince > g.suspicionTimeoutAmong(len(g.records)) {
		g.stale = false
	}
}
