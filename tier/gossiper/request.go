package gossiper

import (
	"slices"
	"strings"

	"cicadagrade.example/tier"
)

// request composes an exchange with a peer, whose record is nil when it is not
// known. The digests go along only when asked for.
func (g *Gossiper) request(to *record, digests bool) *Message {
	m := &Message{sender: g.name, incarnation: g.own.incarnation}
	room := g.bucket.room() - m.Size()
	if digests {
		m.digests = g.window(to, room/2)
		for _, d := range m.digests {
			room -= d.size()
		}
	}
	if to == nil || to.dead || to.vm.DataCentre() != g.home {
		m.entries = append(m.entries, g.own.entry(keyVM))
		room -= m.entries[0].size()
	}
	m.entries = append(m.entries, g.statusOf(to)...)
	m.entries = append(m.entries, g.pushed(to, nil, room)...)
	return m
}

// window lists the next digests of the table, or all of them for a VM that
// catches up.
func (g *Gossiper) window(to *record, room int) []Digest {
	out := []Digest{NewDigest("", g.statusSum(), g.sharedSum())}
	names := g.offered(to)
	n := g.wide
	if g.catchingUp() && g.now >= g.nextWhole {
		g.nextWhole = g.now + tier.Millis(len(names))*wholeWait
		n = len(names)
	}
	cursor := &g.cursors[0]
	if g.foreign(to) {
		cursor = &g.cursors[1]
	}
	at := 0
	for at < len(names) && names[at] < *cursor {
		at++
	}
	for i := 0; i <= min(n, len(names)); i++ {
		r := g.records[names[(at+i)%len(names)]]
		d := NewDigest(r.vm.Name(), r.incarnation, r.version)
		if room -= d.size(); room < 0 && i > 1 {
			break
		}
		out = append(out, d)
		*cursor = d.origin
	}
	return out
}

// offered lists the names that a peer may be told of: all, or for a peer in
// another data centre, those that it would keep.
func (g *Gossiper) offered(to *record) []string {
	if !g.foreign(to) {
		return g.names
	}
	kept := map[string]bool{}
	ranked := g.ranked(g.home)
	for _, r := range ranked[:min(len(ranked), g.remoteKept)] {
		kept[r.vm.Name()] = true
	}
	var out []string
	for _, name := range g.names {
		if kept[name] || g.records[name].vm.DataCentre() != g.home {
			out = append(out, name)
		}
	}
	return out
}

// statusOf tells a peer that this VM suspects it or holds it dead.
func (g *Gossiper) statusOf(r *record) []Entry {
	switch {
	case r == nil || r == g.own:
		return nil
	case r.dead:
		return []Entry{r.status(statusDead)}
	case r.suspectAt > 0:
		return []Entry{r.status(statusSuspect)}
	default:
		return nil
	}
}

// pushed takes the news that fits and that is not among what the peer sent.
func (g *Gossiper) pushed(to *record, heard []Entry, room int) []Entry {
	g.news.order()
	known := map[rumourKey]Entry{}
	for _, e := range heard {
		known[rumourKey{origin: e.origin, key: e.key}] = e
	}
	var out []Entry
	kept := g.news.list[:0]
	for _, n := range g.news.list {
		e, ok := g.lookUp(n.rumourKey)
		if !ok {
			continue
		}
		if e.size() <= room && newer(e, known[n.rumourKey]) && g.concerns(e, to) {
			out = append(out, e)
			room -= e.size()
			n.left--
		}
		if n.left > 0 {
			kept = append(kept, n)
		}
	}
	g.news.list = kept
	return out
}

// foreign reports whether a peer is in another data centre.
func (g *Gossiper) foreign(r *record) bool {
	return r != nil && r.known && r.vm.DataCentre() != g.home
}

// concerns reports whether an entry is for a peer: not what it wrote itself.
// For a peer elsewhere neither are links, VMs here that it would not keep, and
// what its own data centre writes.
func (g *Gossiper) concerns(e Entry, to *record) bool {
	if e.origin == "" || to == nil || !to.known {
		return true
	}
	if e.origin == to.vm.Name() {
		return false
	}
	if !g.foreign(to) {
		return true
	}
	switch dataCentre := g.records[e.origin].vm.DataCentre(); {
	case strings.HasPrefix(e.key, keyLink):
		return false
	case dataCentre == to.vm.DataCentre():
		return e.key == keyVM || e.key == statusSuspect
	case dataCentre != g.home:
		return true
	}
	ranked := g.ranked(g.home)
	return slices.Contains(ranked[:min(len(ranked), g.remoteKept)], g.records[e.origin])
}

func (g *Gossiper) lookUp(k rumourKey) (Entry, bool) {
	if k.origin == "" {
		e, ok := g.shared[k.key]
		return e, ok
	}
	r, ok := g.records[k.origin]
	if !ok {
		return Entry{}, false
	}
	if k.key == statusSuspect {
		return r.status(k.key), r.suspectAt > 0
	}
	_, ok = r.entries[k.key]
	return r.entry(k.key), ok
}
