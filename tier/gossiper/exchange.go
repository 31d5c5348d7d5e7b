package gossiper

// handleRequest applies a peer's request and replies to it.
func (g *Gossiper) handleRequest(m *Message) {
	sender := g.records[m.sender]
	newcomer := sender == nil || sender.dead || len(m.digests) > 0 && len(m.digests) < newcomerDigests
	g.applyMessage(m, m.digests, nil)
	from := g.records[m.sender]
	if from != nil {
		g.recordReachable(from.vm.DataCentre())
	}
	g.emit(&SendReply{message: g.composeReply(m, from, newcomer)})
}

// applyMessage applies the entries of a message. Digests are those of a request,
// watermarks those of a reply.
func (g *Gossiper) applyMessage(m *Message, digests, watermarks []Digest) {
	for _, d := range digests {
		if d.origin != g.name || d.incarnation > maxCounter {
			continue
		}
		if d.incarnation > g.self.incarnation || d.incarnation == g.self.incarnation && d.version > g.self.highestVersion {
			g.raiseIncarnation(d.incarnation)
		}
	}
	pulled := map[string]bool{}
	for _, d := range watermarks {
		pulled[d.origin] = true
	}
	for _, e := range m.entries {
		g.applyEntry(e, g.transmitLimitFor(e, pulled[e.origin]))
	}
}

// transmitLimitFor returns how often an entry just read is pushed on. Most peers know
// an entry that had to be pulled, unless it came from another data centre.
func (g *Gossiper) transmitLimitFor(e Entry, pulled bool) int {
	r, ok := g.records[e.origin]
	remote := e.origin == "" || ok && r.vmKnown && r.vm.DataCentre() != g.localDataCentre
	switch {
	case !pulled:
		return g.transmitLimit()
	case g.catchingUp():
		return 0
	case remote:
		return g.transmitLimit()
	default:
		return pulledTransmits
	}
}

// catchingUp reports whether this VM is stale, or became stale less than catchUpTime ago.
func (g *Gossiper) catchingUp() bool { return g.stale || g.now < g.staleSince+g.catchUpTime }

// composeReply composes the reply to m. A newcomer learns of some members even when
// the token bucket is empty.
func (g *Gossiper) composeReply(m *Message, from *record, newcomer bool) *Message {
	out := &Message{sender: g.name, incarnation: g.self.incarnation}
	budget := g.bucket.messageBudget() - out.Size()
	if newcomer {
		budget = max(budget, newcomerBudget)
	}
	if from != nil && m.incarnation == from.incarnation {
		out.entries = g.statusEntries(from)
	}
	out.entries = append(out.entries, g.takeBroadcasts(from, m.entries, budget/2)...)
	for _, e := range out.entries {
		budget -= e.size()
	}
	g.addMissing(out, m, from, budget)
	g.bucket.spend(out.Size())
	return out
}

// handleReply applies a peer's reply.
func (g *Gossiper) handleReply(number uint64, m *Message) {
	p, ok := g.pendingExchanges[number]
	if !ok {
		return
	}
	delete(g.pendingExchanges, number)
	if m.sender == g.name {
		g.declareReplacedDead(p)
		return
	}
	g.applyMessage(m, nil, m.digests)
	for _, d := range m.digests {
		if r, ok := g.records[d.origin]; ok && r != g.self && r.incarnation == d.incarnation {
			g.applyContiguousVersion(r, d.version)
		}
	}
	g.adaptDigestCount(len(m.digests))
	if number > g.lastStaleExchange {
		g.stale = false
	}
	if p.peer != m.sender {
		g.declareReplacedDead(p)
	}
	if r, ok := g.records[m.sender]; ok {
		g.recordReachable(r.vm.DataCentre())
	}
}

// applyContiguousVersion notes that an origin has written up to a version, and that
// this VM lacks none of these writes that it should hold.
func (g *Gossiper) applyContiguousVersion(r *record, version uint64) {
	if version > maxCounter {
		return
	}
	r.highestVersion = max(r.highestVersion, version)
	r.advanceContiguous(version)
	if r.suspectVersion > 0 && version > r.suspectVersion {
		g.clearSuspicion(r)
		g.emitMemberChange(r)
	}
}

// adaptDigestCount raises the number of digests per request while replies show that
// much is missing, and lowers it otherwise.
func (g *Gossiper) adaptDigestCount(pulled int) {
	if pulled >= widenThreshold {
		g.digestCount = min(2*g.digestCount, maxDigests)
		g.scheduleFastRound()
		return
	}
	g.digestCount = max(g.digestCount/2, minDigests)
}

// declareReplacedDead declares a peer dead if another VM answered at its address.
func (g *Gossiper) declareReplacedDead(p pendingExchange) {
	r, ok := g.records[p.peer]
	if ok && !r.dead && r != g.self && r.vm.Address() == p.address {
		g.declareDead(r)
	}
}
