package gossiper

import (
	"hash/crc32"

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
	m.entries = append(m.entries, g.pushed(to, room)...)
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
	at := 0
	for at < len(names) && names[at] < g.cursor {
		at++
	}
	for i := 0; i <= min(n, len(names)); i++ {
		r := g.records[names[(at+i)%len(names)]]
		d := NewDigest(r.vm.Name(), r.incarnation, r.version)
		if room -= d.size(); room < 0 && i > 1 {
			break
		}
		out = append(out, d)
		g.cursor = d.origin
	}
	return out
}

// offered lists the names that a peer may be told of: all, or for a peer in
// another data centre, those that it would keep.
func (g *Gossiper) offered(to *record) []string {
	if to == nil || !to.known || to.vm.DataCentre() == g.home {
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

// pushed takes the news that fits.
func (g *Gossiper) pushed(to *record, room int) []Entry {
	g.news.order()
	var out []Entry
	kept := g.news.list[:0]
	for _, n := range g.news.list {
		e, ok := g.lookUp(n.rumourKey)
		if !ok {
			continue
		}
		if fits := e.size() <= room; fits && g.concerns(e, to) {
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

// concerns reports whether an entry is for a peer: not what it wrote itself,
// nor VMs of this data centre that a peer elsewhere would not keep.
func (g *Gossiper) concerns(e Entry, to *record) bool {
	if e.origin == "" || to == nil || !to.known {
		return true
	}
	if e.origin == to.vm.Name() {
		return false
	}
	if to.vm.DataCentre() == g.home {
		return true
	}
	ranked := g.ranked(g.home)
	for _, r := range ranked[:min(len(ranked), g.remoteKept)] {
		if r.vm.Name() == e.origin {
			return true
		}
	}
	return g.records[e.origin].vm.DataCentre() != g.home
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

// exchange answers a peer's request.
func (g *Gossiper) exchange(m *Message) {
	known := g.records[m.sender]
	stranger := known == nil || known.dead || len(m.digests) > 0 && len(m.digests) < fewDigests
	g.hear(m, m.digests, nil)
	from := g.records[m.sender]
	if from != nil {
		g.heardFrom(from.vm.DataCentre())
	}
	g.act(&Reply{message: g.answer(m, from, stranger)})
}

// hear takes what a message says. Marks are the digests of a reply.
func (g *Gossiper) hear(m *Message, digests, marks []Digest) {
	for _, d := range digests {
		if d.origin != g.name || d.incarnation > maxNumber {
			continue
		}
		if d.incarnation > g.own.incarnation || d.incarnation == g.own.incarnation && d.version > g.own.highest {
			g.renew(d.incarnation)
		}
	}
	pulled := map[string]bool{}
	for _, d := range marks {
		pulled[d.origin] = true
	}
	for _, e := range m.entries {
		g.apply(e, g.copies(e, pulled[e.origin]))
	}
}

// copies is how often a newly read entry is pushed on. What had to be pulled
// is known to most peers, unless it came from another data centre.
func (g *Gossiper) copies(e Entry, pulled bool) int {
	r, ok := g.records[e.origin]
	remote := e.origin == "" || ok && r.known && r.vm.DataCentre() != g.home
	switch {
	case !pulled:
		return g.spread()
	case g.catchingUp():
		return 0
	case remote:
		return g.spread()
	default:
		return pulledCopies
	}
}

// catchingUp reports whether this VM started or resumed a moment ago.
func (g *Gossiper) catchingUp() bool { return g.stale || g.now < g.staleSince+g.catchUp }

// answer composes the reply to m. A stranger is told of some members even when
// the bytes are spent.
func (g *Gossiper) answer(m *Message, from *record, stranger bool) *Message {
	out := &Message{sender: g.name, incarnation: g.own.incarnation}
	room := g.bucket.room() - out.Size()
	if stranger {
		room = max(room, newcomerRoom)
	}
	if from != nil && m.incarnation == from.incarnation {
		out.entries = g.statusOf(from)
	}
	out.entries = append(out.entries, g.pushed(from, room/2)...)
	for _, e := range out.entries {
		room -= e.size()
	}
	g.fillIn(out, m, from, room)
	g.bucket.spend(out.Size())
	return out
}

// fillIn adds what the sender of m lacks, as far as there is room.
func (g *Gossiper) fillIn(out, m *Message, from *record, room int) {
	for _, d := range g.wanted(m, from) {
		if d.origin == "" {
			room = g.fillStatus(out, d, from, room)
			room = g.fillShared(out, d, room)
			continue
		}
		r := g.records[d.origin]
		delta := r.since(d.version)
		if d.version == 0 && r.suspectAt > 0 {
			delta = append(delta, r.status(statusSuspect))
		}
		mark := NewDigest(d.origin, r.incarnation, r.version)
		size := mark.size()
		for _, e := range delta {
			size += e.size()
		}
		if size > room {
			continue
		}
		out.entries = append(out.entries, delta...)
		out.digests = append(out.digests, mark)
		room -= size
	}
}

// fillStatus adds the suspicions of late when the sender holds others.
func (g *Gossiper) fillStatus(out *Message, d Digest, from *record, room int) int {
	if d.incarnation == g.statusSum() {
		return room
	}
	for _, name := range g.offered(from) {
		r := g.records[name]
		e := r.status(statusSuspect)
		if r != from && g.suspectedLately(r) && e.size() <= room {
			out.entries = append(out.entries, e)
			room -= e.size()
		}
	}
	return room
}

// suspectedLately reports whether a suspicion is still compared with peers.
func (g *Gossiper) suspectedLately(r *record) bool {
	return r.suspectAt > 0 && g.now-r.suspectSince < tier.Minute
}

// statusSum is alike on two VMs that suspected the same VMs of late.
func (g *Gossiper) statusSum() tier.Incarnation {
	var sum uint32
	for name, r := range g.records {
		if g.suspectedLately(r) {
			sum ^= crc32.ChecksumIEEE([]byte(name))
		}
	}
	return tier.Incarnation(sum)
}

func (g *Gossiper) fillShared(out *Message, d Digest, room int) int {
	if d.version == g.sharedSum() {
		return room
	}
	keys := sortedKeys(g.shared)
	start := 0
	if len(keys) > 0 {
		start = g.random.IntN(len(keys))
	}
	for i := range keys {
		e := g.shared[keys[(start+i)%len(keys)]]
		if e.size() <= room {
			out.entries = append(out.entries, e)
			room -= e.size()
		}
	}
	return room
}

// wanted compares the digests of a request with the table: each result names
// an origin and the version above which the sender lacks its writes.
func (g *Gossiper) wanted(m *Message, from *record) []Digest {
	var out []Digest
	listed := map[string]bool{}
	var arc []string
	for _, d := range m.digests {
		if d.origin == "" {
			if d.version != g.sharedSum() || d.incarnation != g.statusSum() {
				out = append(out, d)
			}
			continue
		}
		arc = append(arc, d.origin)
		if listed[d.origin] {
			continue
		}
		listed[d.origin] = true
		if r, ok := g.records[d.origin]; ok && r.lacks(d) {
			if d.incarnation < r.incarnation {
				d.version = 0
			}
			out = append(out, d)
		}
	}
	if len(arc) < 2 {
		return out
	}
	listedEnd := len(out)
	for _, name := range g.offered(from) {
		r := g.records[name]
		if !listed[name] && within(name, arc[0], arc[len(arc)-1]) && r.known && !r.dead {
			out = append(out, NewDigest(name, r.incarnation, 0))
		}
	}
	unknown := out[listedEnd:]
	g.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	return out
}

// lacks reports whether a peer with that digest lacks writes held here.
func (r *record) lacks(d Digest) bool {
	if r.dead || !r.known {
		return false
	}
	return d.incarnation < r.incarnation || d.incarnation == r.incarnation && d.version < r.version
}

// within reports whether a name lies on the arc of the circle of names that
// goes from first up to last; it is the whole circle when they are alike.
func within(name, first, last string) bool {
	if first < last {
		return first <= name && name <= last
	}
	return name >= first || name <= last
}

// replied takes a peer's answer.
func (g *Gossiper) replied(number uint64, m *Message) {
	f, ok := g.sent[number]
	if !ok {
		return
	}
	delete(g.sent, number)
	if m.sender == g.name {
		g.buryMoved(f)
		return
	}
	g.hear(m, nil, m.digests)
	for _, d := range m.digests {
		if r, ok := g.records[d.origin]; ok && r != g.own && r.incarnation == d.incarnation {
			r.advance(d.version)
		}
	}
	g.widen(len(m.digests))
	if number > g.staleNumber {
		g.stale = false
	}
	if f.name != m.sender {
		g.buryMoved(f)
	}
	if r, ok := g.records[m.sender]; ok {
		g.heardFrom(r.vm.DataCentre())
	}
}

// widen lets requests list more while replies show that much is missing.
func (g *Gossiper) widen(pulled int) {
	if pulled >= manyPulled {
		g.wide = min(2*g.wide, maxWindow)
		g.hurry()
		return
	}
	g.wide = max(g.wide/2, digestWindow)
}

// buryMoved declares dead whoever was asked at an address where another VM
// answered.
func (g *Gossiper) buryMoved(f flight) {
	r, ok := g.records[f.name]
	if ok && !r.dead && r != g.own && r.vm.Address() == f.address {
		g.bury(r)
	}
}
