package prover_test

import (
	"fmt"
	"slices"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/correlator"
	"cicadagrade.example/tier/dispatcher"
)

// server is a simulated backend server.
type server struct {
	cluster             *cluster
	backend             tier.Backend
	heldVersions        map[tier.Epoch][]tier.Version
	state               tier.BackendState
	slow                bool
	overstatesVersions  bool // at times reports a version that it does not hold
	keepsForeignRecords bool // returns outdated records of other shards too
	openCalls           []*call
}

func (cl *cluster) createServers() {
	for _, d := range cl.dataCentres {
		for i := range 3 {
			b := tier.NewBackend(fmt.Sprintf("%s-s%d", d, i), fmt.Sprintf("127.0.0.1:%d", 1+len(cl.servers)), d, tier.WithSlots(2+cl.rng.IntN(2)))
			s := &server{
				cluster: cl, backend: b, state: tier.BackendLive, slow: cl.withProbability(15), overstatesVersions: cl.withProbability(20), keepsForeignRecords: cl.withProbability(40),
				heldVersions: map[tier.Epoch][]tier.Version{1: {1}},
			}
			cl.servers = append(cl.servers, s)
			cl.serverByName[b.Name()] = s
		}
	}
}

// scheduleDisturbances schedules the server's changes to new index versions and shard maps,
// and possibly a period in which it sheds load or is leaving.
func (s *server) scheduleDisturbances(epochsAt []tier.Millis) {
	cl := s.cluster
	for i, at := range epochsAt {
		e := tier.Epoch(2 + i)
		at += cl.upTo(500)
		cl.schedule(at, func() { s.heldVersions[e] = slices.Clone(s.newestEpochVersions()) })
		cl.schedule(at+cl.upTo(600), func() { delete(s.heldVersions, e-1) })
	}
	for v := tier.Version(2); v < 5; v++ {
		at := tier.Millis(v-1)*900 + cl.upTo(400)
		cl.schedule(at, func() { s.updateVersions(func(l []tier.Version) []tier.Version { return append(slices.Clone(l), v) }) })
		cl.schedule(at+cl.upTo(300), func() {
			s.updateVersions(func(l []tier.Version) []tier.Version {
				return slices.DeleteFunc(slices.Clone(l), func(o tier.Version) bool { return o < v })
			})
		})
	}
	if cl.withProbability(30) {
		at := cl.upTo(lastRequestStart)
		bad := []tier.BackendState{tier.BackendShedding, tier.BackendLeaving}[cl.rng.IntN(2)]
		cl.schedule(at, func() { s.state = bad })
		cl.schedule(at+cl.upTo(800), func() { s.state = tier.BackendLive })
	}
}

func (s *server) updateVersions(f func([]tier.Version) []tier.Version) {
	for e, l := range s.heldVersions {
		s.heldVersions[e] = f(l)
	}
}

func (s *server) newestEpochVersions() []tier.Version {
	for e := tier.Epoch(3); e > 0; e-- {
		if l, ok := s.heldVersions[e]; ok {
			return l
		}
	}
	return nil
}

// reportedVersions returns the index versions that the server claims to hold under an epoch.
func (s *server) reportedVersions(e tier.Epoch) []tier.Version {
	l := slices.Clone(s.heldVersions[e])
	if s.overstatesVersions && len(l) > 0 && s.cluster.withProbability(30) {
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
	h, ok := shardOf(s.cluster.sets[at.Epoch()], shard)
	return ok && slices.Contains(h.Replicas(), s.backend.Name()) && slices.Contains(s.heldVersions[at.Epoch()], at.Version())
}

var keys = func() []string {
	var out []string
	for i := range 24 {
		out = append(out, fmt.Sprintf("k%02d", i))
	}
	return out
}()

// recordAt returns the record of a key at a snapshot for a search term. Replicas of the shard
// that holds the key have its current value. A record that a server kept of another shard has
// an outdated one.
func recordAt(key string, at tier.Snapshot, term string, current bool) tier.Record {
	v := at.String() + " " + term + " " + key
	if !current {
		v += " old"
	}
	return tier.NewRecord(key, v)
}

func (s *server) records(shard string, at tier.Snapshot, term string) []tier.Record {
	h, _ := shardOf(s.cluster.sets[at.Epoch()], shard)
	var out []tier.Record
	for i, k := range keys {
		current := h.Holds(tier.HashKey(k))
		if current || s.keepsForeignRecords && i%3 == 0 {
			out = append(out, recordAt(k, at, term, current))
		}
	}
	return out
}

// handleCall handles a leaf call.
func (s *server) handleCall(c *call) {
	if c.released {
		return
	}
	reply := &leafReply{}
	switch {
	case s.state == tier.BackendLeaving:
		reply.notRun = dispatcher.NewReplyNotRun(dispatcher.NotRunLeaving)
	case s.state == tier.BackendShedding && s.cluster.withProbability(50) || s.cluster.withProbability(2):
		reply.notRun = dispatcher.NewReplyNotRun(dispatcher.NotRunShed)
	case c.part.booking != nil:
		s.runBooking(c, reply)
	case s.holds(c.shard, c.snapshot):
		s.runSearch(c, c.snapshot, reply)
	case s.cluster.withProbability(70) || len(s.heldVersions[c.snapshot.Epoch()]) == 0:
		reply.notRun = dispatcher.NewReplyNotRun(dispatcher.NotRunWrongSnapshot)
	default:
		// Serves the newest version that it has, and names that in its reply.
		s.runSearch(c, tier.NewSnapshot(c.snapshot.Epoch(), slices.Max(s.heldVersions[c.snapshot.Epoch()])), reply)
	}
	delay := 1 + s.cluster.upTo(15)
	if s.slow {
		delay *= 20
	}
	if s.cluster.withProbability(2) {
		return // the call hangs
	}
	s.cluster.schedule(delay, func() { s.sendReply(c, reply) })
}

func (s *server) runBooking(c *call, reply *leafReply) {
	b := c.part.booking
	b.runs++
	r := correlator.NewBookingReply(c.id.String(), setName, c.shard, b.key)
	if s.cluster.withProbability(5) {
		r = correlator.NewBookingReply("other/1/1", setName, c.shard, "other")
	}
	reply.booking = &r
}

// runSearch creates the reply to a search, which may be that to another call, truncated or
// corrupted. It records the records served in an intact reply.
func (s *server) runSearch(c *call, at tier.Snapshot, reply *leafReply) {
	records := s.records(c.shard, at, c.part.search.term)
	id, shard, count, digest := c.id.String(), c.shard, len(records), tier.Digest(records)
	kind := s.cluster.rng.IntN(100)
	other := s.otherSearch(c)
	switch {
	case kind < 3 && other != nil:
		id, shard, at = other.id.String(), other.shard, other.snapshot
		records = s.records(shard, at, other.part.search.term)
		count, digest = len(records), tier.Digest(records)
		s.cluster.counts["reply to another call"]++
	case kind < 6 && count > 0:
		records = records[:count-1]
	case kind < 9 && count > 0:
		records[0] = tier.NewRecord(records[0].Key(), "corrupt")
	default:
		c.part.search.recordServed(at, c.shard, records)
	}
	r := correlator.NewSearchReply(id, setName, shard, at, records, count, digest)
	reply.search = &r
	reply.epoch, reply.held = c.snapshot.Epoch(), s.reportedVersions(c.snapshot.Epoch())
}

// otherSearch returns a call of another search that runs on the server, or nil.
func (s *server) otherSearch(c *call) *call {
	for _, o := range s.openCalls {
		if o.part.search != nil && o.part.search != c.part.search && s.holds(o.shard, o.snapshot) {
			return o
		}
	}
	return nil
}

func (s *server) sendReply(c *call, reply *leafReply) {
	if c.released {
		return
	}
	c.release()
	if s.cluster.withProbability(2) {
		return // lost; the VM waits until the deadline
	}
	deliver := func() { c.vm.callReplied(c, reply) }
	c.vm.scheduleOn(c.incarnation, s.cluster.upTo(2), deliver)
	if s.cluster.withProbability(5) {
		c.vm.scheduleOn(c.incarnation, s.cluster.upTo(50), deliver)
	}
}
