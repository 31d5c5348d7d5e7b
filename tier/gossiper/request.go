package gossiper

import (
	"slices"
	"strings"

	"cicadagrade.example/tier"
)

// composeRequest composes a request to a peer, whose record is nil when it is not
// known. It lists digests only if asked to.
func (g *Gossiper) composeRequest(to *record, digests bool) *Message {
	m := &Message{sender: g.name, incarnation: g.self.incarnation}
	budget := g.bucket.messageBudget() - m.Size()
	if digests {
		m.digests = g.nextDigests(to, budget/2)
		for _, d := range m.digests {
			budget -= d.size()
		}
	}
	if to == nil || to.dead || to.vm.DataCentre() != g.localDataCentre {
		m.entries = append(m.entries, g.self.entry(keyVM))
		budget -= m.entries[0].size()
	}
	m.entries = append(m.entries, g.statusEntries(to)...)
	m.entries = append(m.entries, g.takeBroadcasts(to, nil, budget)...)
	return m
}

// nextDigests lists the digests that follow those of the last request, or all of them
// for a VM that catches up.
func (g *Gossiper) nextDigests(to *record, budget int) []Digest {
	out := []Digest{NewDigest("", g.suspicionChecksum(), g.sharedChecksum())}
	names := g.visibleNames(to)
	n := g.digestCount
	if g.catchingUp() && g.now >= g.nextFullDigestsAt {
		g.nextFullDigestsAt = g.now + tier.Millis(len(names))*fullDigestsDelayPerMember
		n = len(names)
	}
	cursor := &g.digestCursors[0]
	if g.isRemote(to) {
		cursor = &g.digestCursors[1]
	}
	start := 0
	for start < len(names) && names[start] < *cursor {
		start++
	}
	for i := 0; i <= min(n, len(names)); i++ {
		r := g.records[names[(start+i)%len(names)]]
		d := NewDigest(r.vm.Name(), r.incarnation, r.contiguousVersion)
		if budget -= d.size(); budget < 0 && i > 1 {
			break
		}
		out = append(out, d)
		*cursor = d.origin
	}
	return out
}

// visibleNames lists the names that a peer may learn of: all of them, or for a peer in
// another data centre those that it would keep.
func (g *Gossiper) visibleNames(to *record) []string {
	if !g.isRemote(to) {
		return g.names
	}
	kept := map[string]bool{}
	ranked := g.rankedMembers(g.localDataCentre)
	for _, r := range ranked[:min(len(ranked), g.maxRemoteMembers)] {
		kept[r.vm.Name()] = true
	}
	var out []string
	for _, name := range g.names {
		if kept[name] || g.records[name].vm.DataCentre() != g.localDataCentre {
			out = append(out, name)
		}
	}
	return out
}

// statusEntries returns the entry that tells a peer that this VM suspects it or has
// declared it dead.
func (g *Gossiper) statusEntries(r *record) []Entry {
	switch {
	case r == nil || r == g.self:
		return nil
	case r.dead:
		return []Entry{r.statusEntry(statusDead)}
	case r.suspectVersion > 0:
		return []Entry{r.statusEntry(statusSuspect)}
	default:
		return nil
	}
}

// takeBroadcasts takes the queued updates that fit into the budget, except those that
// the peer itself has just sent.
func (g *Gossiper) takeBroadcasts(to *record, received []Entry, budget int) []Entry {
	g.broadcasts.sortByTransmits()
	receivedByKey := map[entryKey]Entry{}
	for _, e := range received {
		receivedByKey[entryKey{origin: e.origin, key: e.key}] = e
	}
	var out []Entry
	kept := g.broadcasts.items[:0]
	for _, b := range g.broadcasts.items {
		e, ok := g.lookUpEntry(b.entryKey)
		if !ok {
			continue
		}
		if e.size() <= budget && isNewer(e, receivedByKey[b.entryKey]) && g.shouldSend(e, to) {
			out = append(out, e)
			budget -= e.size()
			b.transmitsLeft--
		}
		if b.transmitsLeft > 0 {
			kept = append(kept, b)
		}
	}
	g.broadcasts.items = kept
	return out
}

// isRemote reports whether a peer is in another data centre.
func (g *Gossiper) isRemote(r *record) bool {
	return r != nil && r.vmKnown && r.vm.DataCentre() != g.localDataCentre
}

// shouldSend reports whether an entry is of use to a peer. What the peer wrote itself
// is not. For a peer in another data centre, neither are link states, VMs that it
// would not keep, and most of what its own data centre writes.
func (g *Gossiper) shouldSend(e Entry, to *record) bool {
	if e.origin == "" || to == nil || !to.vmKnown {
		return true
	}
	if e.origin == to.vm.Name() {
		return false
	}
	if !g.isRemote(to) {
		return true
	}
	switch dataCentre := g.records[e.origin].vm.DataCentre(); {
	case strings.HasPrefix(e.key, keyLink):
		return false
	case dataCentre == to.vm.DataCentre():
		return e.key == keyVM || e.key == statusSuspect
	case dataCentre != g.localDataCentre:
		return true
	}
	ranked := g.rankedMembers(g.localDataCentre)
	return slices.Contains(ranked[:min(len(ranked), g.maxRemoteMembers)], g.records[e.origin])
}

func (g *Gossiper) lookUpEntry(k entryKey) (Entry, bool) {
	if k.origin == "" {
		e, ok := g.sharedEntries[k.key]
		return e, ok
	}
	r, ok := g.records[k.origin]
	if !ok {
		return Entry{}, false
	}
	if k.key == statusSuspect {
		return r.statusEntry(k.key), r.suspectVersion > 0
	}
	_, ok = r.entries[k.key]
	return r.entry(k.key), ok
}
