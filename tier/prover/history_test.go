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

// playHistory has callers search and book on all VMs while versions, maps,
// members and links change.
func playHistory(seed uint64, f faults) *world {
	w := newWorld(seed, f)
	w.disturb()
	searches := 50
	if w.chance(20) {
		searches = 200 // more than the slots can serve, at times
	}
	for range searches {
		v := w.vms[w.random.IntN(len(w.vms))]
		w.after(w.upTo(workEnd), func() { v.deliver(v.life, 0, func() { v.search(v.w.patience()) }) })
	}
	for range 25 {
		v := w.vms[w.random.IntN(len(w.vms))]
		w.after(w.upTo(workEnd), func() { v.deliver(v.life, 0, func() { v.book(v.w.patience()) }) })
	}
	w.play()
	w.checkEnd()
	return w
}

func (w *world) patience() tier.Millis {
	if w.chance(10) {
		return 8 * tier.Second
	}
	return 30 + w.upTo(600)
}

func (w *world) disturb() {
	epochsAt := []tier.Millis{700 + w.upTo(600), 2200 + w.upTo(600)}
	w.publish(1, 0)
	for i, at := range []tier.Millis{400, epochsAt[0], epochsAt[0] + 500, epochsAt[1]} {
		w.after(at, func() { w.publish(2+i, 500) })
	}
	for _, s := range w.servers {
		s.disturb(epochsAt)
		w.after(0, s.probe)
	}
	for range 3 {
		v, at := w.vms[w.random.IntN(len(w.vms))], w.upTo(workEnd)
		w.after(at, func() {
			if !v.dead {
				v.die()
			}
		})
		w.after(at+500+w.upTo(2500), func() {
			if v.dead {
				v.begin()
				v.spread()
			}
		})
		p := w.vms[w.random.IntN(len(w.vms))]
		w.after(w.upTo(workEnd), func() { p.pause(200 + w.upTo(1200)) })
	}
	w.after(w.upTo(workEnd), w.cutLink)
}

// publish offers a revision to every VM, late and repeated.
func (w *world) publish(revision int, within tier.Millis) {
	w.published = revision
	for _, v := range w.vms {
		for range 1 + w.random.IntN(2) {
			v.deliver(v.life, w.upTo(3*within), func() { v.offer(w.states[revision-1]) })
		}
	}
}

// cutLink cuts two data centres off from each other for a while.
func (w *world) cutLink() {
	i := w.random.IntN(len(w.dataCentres))
	a, b := w.dataCentres[i], w.dataCentres[(i+1)%len(w.dataCentres)]
	set := func(cut bool) {
		w.cuts[a+b], w.cuts[b+a] = cut, cut
		for _, v := range w.vms {
			if other := map[string]string{a: b, b: a}[v.dataCentre]; other != "" {
				v.deliver(v.life, w.upTo(300), func() { v.cut[other] = w.cuts[a+b] })
			}
		}
	}
	set(true)
	w.after(300+w.upTo(1000), func() { set(false) })
}

// probe tells VMs what the server says of itself, now and again, out of
// order at times.
func (s *server) probe() {
	w := s.w
	held := map[tier.Epoch][]tier.Version{}
	for e := range tier.Epoch(4) {
		if l := s.tells(e); len(l) > 0 {
			held[e] = l
		}
	}
	state := s.state
	for _, v := range w.vms {
		if w.chance(10) {
			continue
		}
		after := 1 + w.upTo(30)
		if v.dataCentre != s.backend.DataCentre() {
			after += w.upTo(150)
		}
		v.deliver(v.life, after, func() { v.hear(s, state, held) })
	}
	if w.now < workEnd+8*tier.Second {
		w.after(80+w.upTo(40), s.probe)
	}
}

func TestWholePath(t *testing.T) {
	counts := map[string]int{}
	for i := range *histories {
		seed := *firstSeed + uint64(i)
		w := playHistory(seed, faults{takeover: dispatcher.DefaultTakeoverDelay})
		for _, p := range w.problems {
			t.Errorf("seed %d: %s", seed, p)
		}
		for k, n := range w.counts {
			counts[k] += n
		}
	}
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		t.Logf("%s: %d", k, counts[k])
	}
	for _, k := range []string{"answered", "partial", "refused", "unknown", "booked", "booking refused", "repeated", "crossed"} {
		if counts[k] == 0 {
			t.Errorf("the histories hold no %s", k)
		}
	}
}

// TestChecksObject breaks one mechanism at a time and expects the check that
// guards it to object.
func TestChecksObject(t *testing.T) {
	const takeover = dispatcher.DefaultTakeoverDelay
	for name, c := range map[string]struct {
		faults faults
		want   string
	}{
		"snapshot":  {faults{takeover: takeover, ignored: correlator.FieldSnapshot}, ": record:"},
		"caller":    {faults{takeover: takeover, ignored: correlator.FieldAttempt}, ": record:"},
		"truncated": {faults{takeover: takeover, ignored: correlator.FieldCount}, ": coverage:"},
		"corrupt":   {faults{takeover: takeover, ignored: correlator.FieldDigest}, ": record:"},
		"asked":     {faults{takeover: takeover, asked: true}, ": coverage:"},
		"doubled":   {faults{takeover: takeover, doubled: true}, ": doubled:"},
		"hedged":    {faults{takeover: takeover, hedged: true}, ": once:"},
		"lower":     {faults{takeover: takeover, lower: true}, ": config:"},
		"refusing":  {faults{takeover: takeover, refusing: true}, ": refused:"},
		"takeover":  {faults{}, ": slots:"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(100) {
				if strings.Contains(strings.Join(playHistory(seed+1, c.faults).problems, "\n"), c.want) {
					return
				}
			}
			t.Errorf("100 histories pass")
		})
	}
}
