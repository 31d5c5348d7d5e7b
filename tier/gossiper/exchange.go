package gossiper

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
	out.entries = append(out.entries, g.pushed(from, m.entries, room/2)...)
	for _, e := range out.entries {
		room -= e.size()
	}
	g.fillIn(out, m, from, room)
	g.bucket.spend(out.Size())
	return out
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
			g.takeMark(r, d.version)
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

// takeMark notes that an origin wrote up to a version, and that nothing meant
// for this VM is missing below.
func (g *Gossiper) takeMark(r *record, version uint64) {
	if version > maxNumber {
		return
	}
	r.highest = max(r.highest, version)
	r.advance(version)
	if r.suspectAt > 0 && version > r.suspectAt {
		g.clear(r)
		g.show(r)
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
