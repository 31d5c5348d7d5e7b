package prover_test

import (
	"fmt"
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/correlator"
	"cicadagrade.example/tier/dispatcher"
)

// server is a backend server.
type server struct {
	w         *world
	backend   tier.Backend
	held      map[tier.Epoch][]tier.Version
	state     tier.BackendState
	slow      bool
	liar      bool // tells of a version that it does not hold
	leftovers bool // keeps records of its neighbour shards
	open      []*call
}

func (w *world) makeServers() {
	for _, d := range w.dataCentres {
		for i := range 3 {
			b := tier.NewBackend(fmt.Sprintf("%s-s%d", d, i), fmt.Sprintf("127.0.0.1:%d", 1+len(w.servers)), d, tier.WithSlots(2+w.random.IntN(2)))
			s := &server{
				w: w, backend: b, state: tier.BackendLive, slow: w.chance(15), liar: w.chance(20), leftovers: w.chance(40),
				held: map[tier.Epoch][]tier.Version{1: {1}},
			}
			w.servers = append(w.servers, s)
			w.byName[b.Name()] = s
		}
	}
}

// disturb schedules index versions, map changes and bad times of a server.
func (s *server) disturb(epochsAt []tier.Millis) {
	w := s.w
	for i, at := range epochsAt {
		e := tier.Epoch(2 + i)
		at += w.upTo(500)
		w.after(at, func() { s.held[e] = slices.Clone(s.newest()) })
		w.after(at+w.upTo(600), func() { delete(s.held, e-1) })
	}
	for v := tier.Version(2); v < 5; v++ {
		at := tier.Millis(v-1)*900 + w.upTo(400)
		w.after(at, func() { s.swap(func(l []tier.Version) []tier.Version { return append(slices.Clone(l), v) }) })
		w.after(at+w.upTo(300), func() {
			s.swap(func(l []tier.Version) []tier.Version {
				return slices.DeleteFunc(slices.Clone(l), func(o tier.Version) bool { return o < v })
			})
		})
	}
	if w.chance(30) {
		at := w.upTo(workEnd)
		bad := []tier.BackendState{tier.BackendShedding, tier.BackendLeaving}[w.random.IntN(2)]
		w.after(at, func() { s.state = bad })
		w.after(at+w.upTo(800), func() { s.state = tier.BackendLive })
	}
}

func (s *server) swap(f func([]tier.Version) []tier.Version) {
	for e, l := range s.held {
		s.held[e] = f(l)
	}
}

func (s *server) newest() []tier.Version {
	for e := tier.Epoch(3); e > 0; e-- {
		if l, ok := s.held[e]; ok {
			return l
		}
	}
	return nil
}

// tells is what the server says that it holds under an epoch.
func (s *server) tells(e tier.Epoch) []tier.Version {
	l := slices.Clone(s.held[e])
	if s.liar && len(l) > 0 && s.w.chance(30) {
		l = append(l, slices.Max(l)+1)
	}
	return l
}

func shardOf(set *tier.ShardSet, id string) (tier.Shard, bool) {
	for _, h := range set.Shards() {
		if h.ID() == id {
			return h, true
		}
	}
	return tier.Shard{}, false
}

// holds reports whether the server holds a shard at a snapshot.
func (s *server) holds(shard string, at tier.Snapshot) bool {
	h, ok := shardOf(s.w.sets[at.Epoch()], shard)
	return ok && slices.Contains(h.Replicas(), s.backend.Name()) && slices.Contains(s.held[at.Epoch()], at.Version())
}

var keys = func() []string {
	var out []string
	for i := range 24 {
		out = append(out, fmt.Sprintf("k%02d", i))
	}
	return out
}()

// record is the truth: what a key holds at a snapshot for a term. A record
// that a server kept of another shard is out of date.
func record(key string, at tier.Snapshot, term string, owned bool) tier.Record {
	v := at.String() + " " + term + " " + key
	if !owned {
		v += " old"
	}
	return tier.NewRecord(key, v)
}

func (s *server) records(shard string, at tier.Snapshot, term string) []tier.Record {
	h, _ := shardOf(s.w.sets[at.Epoch()], shard)
	var out []tier.Record
	for i, k := range keys {
		owned := h.Holds(tier.HashKey(k))
		if owned || s.leftovers && i%3 == 0 {
			out = append(out, record(k, at, term, owned))
		}
	}
	return out
}

// arrive handles a leaf call.
func (s *server) arrive(c *call) {
	if c.released {
		return
	}
	a := &answer{}
	switch {
	case s.state == tier.BackendLeaving:
		a.notRun = dispatcher.NewReplyNotRun(dispatcher.NotRunLeaving)
	case s.state == tier.BackendShedding && s.w.chance(50) || s.w.chance(2):
		a.notRun = dispatcher.NewReplyNotRun(dispatcher.NotRunShed)
	case c.part.booking != nil:
		s.book(c, a)
	case s.holds(c.shard, c.snapshot):
		s.serve(c, c.snapshot, a)
	case s.w.chance(70) || len(s.held[c.snapshot.Epoch()]) == 0:
		a.notRun = dispatcher.NewReplyNotRun(dispatcher.NotRunWrongSnapshot)
	default:
		// What it has, and says so in its reply.
		s.serve(c, tier.NewSnapshot(c.snapshot.Epoch(), slices.Max(s.held[c.snapshot.Epoch()])), a)
	}
	took := 1 + s.w.upTo(15)
	if s.slow {
		took *= 20
	}
	if s.w.chance(2) {
		return // it hangs
	}
	s.w.after(took, func() { s.reply(c, a) })
}

func (s *server) book(c *call, a *answer) {
	b := c.part.booking
	b.runs++
	r := correlator.NewBookingReply(c.id.String(), setName, c.shard, b.key)
	if s.w.chance(5) {
		r = correlator.NewBookingReply("other/1/1", setName, c.shard, "other")
	}
	a.receipt = &r
}

// serve makes the reply to a search and notes what was served whole.
func (s *server) serve(c *call, at tier.Snapshot, a *answer) {
	records := s.records(c.shard, at, c.part.query.term)
	id, shard, count, digest := c.id.String(), c.shard, len(records), tier.Digest(records)
	kind := s.w.random.IntN(100)
	other := s.other(c)
	switch {
	case kind < 3 && other != nil:
		id, shard, at = other.id.String(), other.shard, other.snapshot
		records = s.records(shard, at, other.part.query.term)
		count, digest = len(records), tier.Digest(records)
		s.w.counts["crossed"]++
	case kind < 6 && count > 0:
		records = records[:count-1]
	case kind < 9 && count > 0:
		records[0] = tier.NewRecord(records[0].Key(), "corrupt")
	default:
		c.part.query.serve(at, c.shard, records)
	}
	r := correlator.NewSearchReply(id, setName, shard, at, records, count, digest)
	a.reply = &r
	a.epoch, a.held = c.snapshot.Epoch(), s.tells(c.snapshot.Epoch())
}

// other is another search that runs here.
func (s *server) other(c *call) *call {
	for _, o := range s.open {
		if o.part.query != nil && o.part.query != c.part.query && s.holds(o.shard, o.snapshot) {
			return o
		}
	}
	return nil
}

func (s *server) reply(c *call, a *answer) {
	if c.released {
		return
	}
	c.release()
	if s.w.chance(2) {
		return // lost; the VM waits until the deadline
	}
	deliver := func() { c.vm.replied(c, a) }
	c.vm.deliver(c.life, s.w.upTo(2), deliver)
	if s.w.chance(5) {
		c.vm.deliver(c.life, s.w.upTo(50), deliver)
	}
}
