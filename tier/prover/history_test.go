package prover_test

import (
	"flag"
	"maps"
	"slices"
	"strings"
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/correlator"
	"cicadagrade.example/tier/dispatcher"
)

var (
	histories = flag.Int("histories", 100, "how many histories to check")
	firstSeed = flag.Uint64("first-seed", 1, "the seed of the first history")
)

// runHistory simulates callers that search and book at all VMs while index versions, shard
// maps, members and links change, and checks the history.
func runHistory(seed uint64, m mutation) *cluster {
	cl := newCluster(seed, m)
	cl.scheduleDisturbances()
	searches := 50
	if cl.withProbability(20) {
		searches = 200 // at times more than the slots can serve
	}
	for range searches {
		v := cl.vms[cl.rng.IntN(len(cl.vms))]
		cl.schedule(cl.upTo(lastRequestStart), func() { v.scheduleOn(v.incarnation, 0, func() { v.startSearch(v.cluster.randomTimeout()) }) })
	}
	for range 25 {
		v := cl.vms[cl.rng.IntN(len(cl.vms))]
		cl.schedule(cl.upTo(lastRequestStart), func() { v.scheduleOn(v.incarnation, 0, func() { v.startBooking(v.cluster.randomTimeout()) }) })
	}
	cl.runEvents()
	cl.checkHistory()
	return cl
}

func (cl *cluster) randomTimeout() tier.Millis {
	if cl.withProbability(10) {
		return 8 * tier.Second
	}
	return 30 + cl.upTo(600)
}

func (cl *cluster) scheduleDisturbances() {
	epochsAt := []tier.Millis{700 + cl.upTo(600), 2200 + cl.upTo(600)}
	cl.publish(1, 0)
	for i, at := range []tier.Millis{400, epochsAt[0], epochsAt[0] + 500, epochsAt[1]} {
		cl.schedule(at, func() { cl.publish(2+i, 500) })
	}
	for _, s := range cl.servers {
		s.scheduleDisturbances(epochsAt)
		cl.schedule(0, s.probe)
	}
	for range 3 {
		v, at := cl.vms[cl.rng.IntN(len(cl.vms))], cl.upTo(lastRequestStart)
		cl.schedule(at, func() {
			if !v.dead {
				v.crash()
			}
		})
		cl.schedule(at+500+cl.upTo(2500), func() {
			if v.dead {
				v.start()
				v.announceLiveness()
			}
		})
		p := cl.vms[cl.rng.IntN(len(cl.vms))]
		cl.schedule(cl.upTo(lastRequestStart), func() { p.pause(200 + cl.upTo(1200)) })
	}
	cl.schedule(cl.upTo(lastRequestStart), cl.cutLink)
}

// publish offers a revision of the set document to every VM, with a random delay and possibly
// twice.
func (cl *cluster) publish(revision int, within tier.Millis) {
	cl.publishedRevision = revision
	for _, v := range cl.vms {
		for range 1 + cl.rng.IntN(2) {
			v.scheduleOn(v.incarnation, cl.upTo(3*within), func() { v.offerDocument(cl.documentStates[revision-1]) })
		}
	}
}

// cutLink cuts the link between two data centres for some time. VMs learn of it with a delay.
func (cl *cluster) cutLink() {
	i := cl.rng.IntN(len(cl.dataCentres))
	a, b := cl.dataCentres[i], cl.dataCentres[(i+1)%len(cl.dataCentres)]
	set := func(cut bool) {
		cl.cutLinks[a+b], cl.cutLinks[b+a] = cut, cut
		for _, v := range cl.vms {
			if other := map[string]string{a: b, b: a}[v.dataCentre]; other != "" {
				v.scheduleOn(v.incarnation, cl.upTo(300), func() { v.believedUnreachable[other] = cl.cutLinks[a+b] })
			}
		}
	}
	set(true)
	cl.schedule(300+cl.upTo(1000), func() { set(false) })
}

// probe sends the server's health reply to the VMs at random intervals. Replies may be lost or
// arrive out of order.
func (s *server) probe() {
	cl := s.cluster
	held := map[tier.Epoch][]tier.Version{}
	for e := range tier.Epoch(4) {
		if l := s.reportedVersions(e); len(l) > 0 {
			held[e] = l
		}
	}
	state := s.state
	for _, v := range cl.vms {
		if cl.withProbability(10) {
			continue
		}
		after := 1 + cl.upTo(30)
		if v.dataCentre != s.backend.DataCentre() {
			after += cl.upTo(150)
		}
		v.scheduleOn(v.incarnation, after, func() { v.probeReplied(s, state, held) })
	}
	if cl.now < lastRequestStart+8*tier.Second {
		cl.schedule(80+cl.upTo(40), s.probe)
	}
}

// TestRandomHistories checks random histories, and that each kind of outcome and of faulty
// reply occurs in them.
func TestRandomHistories(t *testing.T) {
	counts := map[string]int{}
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		cl := runHistory(seed, mutation{takeoverDelay: dispatcher.DefaultTakeoverDelay})
		for _, p := range cl.violations {
			t.Errorf("seed %d: %s", seed, p)
		}
		for k, n := range cl.counts {
			counts[k] += n
		}
	}
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%s: %d", k, counts[k])
	}
	for _, k := range []string{"answered", "partial", "refused", "unknown", "booked", "booking refused", "duplicate reply", "reply to another call"} {
		if counts[k] == 0 {
			t.Errorf("the histories have no case of %q", k)
		}
	}
}

// TestChecksFindViolations breaks one mechanism at a time and expects the check that guards it
// to report a violation.
func TestChecksFindViolations(t *testing.T) {
	const takeover = dispatcher.DefaultTakeoverDelay
	for name, c := range map[string]struct {
		mutation mutation
		want     string
	}{
		"snapshot not checked":          {mutation{takeoverDelay: takeover, ignoredField: correlator.FieldSnapshot}, ": record:"},
		"attempt not checked":           {mutation{takeoverDelay: takeover, ignoredField: correlator.FieldAttempt}, ": record:"},
		"count not checked":             {mutation{takeoverDelay: takeover, ignoredField: correlator.FieldCount}, ": coverage:"},
		"digest not checked":            {mutation{takeoverDelay: takeover, ignoredField: correlator.FieldDigest}, ": record:"},
		"coverage of asked shards":      {mutation{takeoverDelay: takeover, coverAsked: true}, ": coverage:"},
		"duplicates kept":               {mutation{takeoverDelay: takeover, keepDuplicates: true}, ": duplicate:"},
		"bookings hedged":               {mutation{takeoverDelay: takeover, hedgeBookings: true}, ": once:"},
		"older configuration adopted":   {mutation{takeoverDelay: takeover, acceptOlderConfig: true}, ": config:"},
		"lost part reported as refused": {mutation{takeoverDelay: takeover, lostAsRefused: true}, ": refused:"},
		"no takeover delay":             {mutation{}, ": slots:"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(100) {
				if strings.Contains(strings.Join(runHistory(seed+1, c.mutation).violations, "\n"), c.want) {
					return
				}
			}
			t.Errorf("no violation of the expected kind in 100 histories")
		})
	}
}
