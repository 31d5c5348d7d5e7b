package gossiper

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
)

// holder takes entries and tells what it holds: a Gossiper, or a broken one.
type holder interface {
	take(e Entry)
	held(origin, key string) (tier.Incarnation, uint64)
}

type gossipHolder struct{ *Gossiper }

func (h gossipHolder) take(e Entry) {
	h.Step(h.now+10, NewExchangeReceived(NewMessage("caxias-1", 1, nil, []Entry{e})))
}

func (h gossipHolder) held(origin, key string) (tier.Incarnation, uint64) {
	if origin == "" {
		e := h.shared[key]
		return e.incarnation, e.version
	}
	r, ok := h.records[origin]
	if !ok {
		return 0, 0
	}
	return r.incarnation, r.entries[key].version
}

// lastWins keeps whatever came last.
type lastWins map[rumourKey]Entry

func (h lastWins) take(e Entry) { h[rumourKey{e.origin, e.key}] = e }

func (h lastWins) held(origin, key string) (tier.Incarnation, uint64) {
	e := h[rumourKey{origin, key}]
	return e.incarnation, e.version
}

// checkNewest reports an older value that replaced a newer one.
func checkNewest(h holder, entries []Entry) error {
	for _, e := range entries {
		wasLife, wasVersion := h.held(e.origin, e.key)
		h.take(e)
		life, version := h.held(e.origin, e.key)
		if life < wasLife || life == wasLife && version < wasVersion {
			return fmt.Errorf("%d.%d of %s %s replaced %d.%d", life, version, e.origin, e.key, wasLife, wasVersion)
		}
	}
	return nil
}

func drawEntry(t *rapid.T) Entry {
	value := rapid.SampledFrom([][]byte{nil, []byte("x"), encodeVM(testVM("caxias", 3, 0), 1), encodeVM(testVM("itajai", 2, 0), 1)})
	return NewEntry(
		rapid.SampledFrom([]string{"", "caxias-0", "caxias-1", "itajai-2"}).Draw(t, "origin"),
		tier.Incarnation(rapid.IntRange(0, 3).Draw(t, "incarnation")),
		uint64(rapid.IntRange(0, 6).Draw(t, "version")),
		rapid.SampledFrom([]string{keyVM, "config", "set/portao", statusSuspect, statusDead}).Draw(t, "key"),
		value.Draw(t, "value"),
	)
}

func newHolder(t interface{ Fatal(...any) }) gossipHolder {
	g, err := New(testVM("caxias", 9, 0))
	if err != nil {
		t.Fatal(err)
	}
	return gossipHolder{g}
}

func TestNothingOlderReplaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 40).Draw(t, "entries")
		if err := checkNewest(newHolder(t), entries); err != nil {
			t.Fatal(err)
		}
	})
}

// TestNewestCheckFails shows that the check sees an older value.
func TestNewestCheckFails(t *testing.T) {
	entries := []Entry{NewEntry("caxias-0", 2, 1, "config", nil), NewEntry("caxias-0", 1, 5, "config", nil)}
	if checkNewest(lastWins{}, entries) == nil {
		t.Fatal("the check accepts an older life")
	}
}

// disturb draws cuts, deaths, replacements, pauses and waits, then heals.
func disturb(t *rapid.T, w *network, n int) {
	seed := testVM("caxias", 0, 0).Address()
	for i := range rapid.IntRange(1, 8).Draw(t, "steps") {
		one := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "vm")]
		switch rapid.SampledFrom([]string{"cut", "replace", "rename", "pause", "leave", "lossy", "kill"}).Draw(t, "what") {
		case "cut":
			mask := rapid.IntRange(1, 1<<n-2).Draw(t, "mask")
			w.cut = splitBy(func(o *node) bool { return mask>>(o.address[len(o.address)-6]-'0')&1 == 1 })
		case "replace":
			w.add(one.Self().With(tier.WithIncarnation(one.Self().Incarnation()+tier.Incarnation(1000*i)), tier.WithVMState(tier.VMJoining)), seed)
		case "rename":
			self := one.Self()
			w.add(tier.NewVM(fmt.Sprintf("%s-r%d", self.Name(), i), self.DataCentre(), self.Address(), tier.WithIncarnation(self.Incarnation()+tier.Incarnation(w.now())+1)), seed)
		case "pause":
			one.paused = true
		case "leave":
			w.step(one, NewSetState(tier.VMLeaving))
		case "lossy":
			w.loss = 0.3
		case "kill":
			if w.count(one.home) > 1 {
				w.kill(one)
			}
		}
		w.run(tier.Millis(rapid.IntRange(0, 60_000).Draw(t, "wait")), nil)
	}
}

func (w *network) count(dataCentre string) int {
	n := 0
	for _, o := range w.nodes {
		if o.home == dataCentre {
			n++
		}
	}
	return n
}

func heal(w *network) {
	w.cut = uncut
	w.loss = 0
	for _, n := range w.nodes {
		n.paused = false
	}
}

func TestConvergesOnceHealed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(nil, rapid.Uint64().Draw(t, "seed"))
		today(w)
		w.run(5*tier.Second, nil)
		disturb(t, w, 7)
		heal(w)
		if !w.run(2*tier.Minute, w.agree) {
			t.Fatalf("members differ:\n%s", w.views())
		}
	})
}

// TestConvergenceCheckFails shows that the check sees members that differ.
func TestConvergenceCheckFails(t *testing.T) {
	w := newNetwork(t, 9)
	for i := range 6 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustAgree(20*tier.Second, "join")
	w.cut = splitBy(func(n *node) bool { return n.name < "caxias-3" })
	w.run(tier.Minute, nil)
	if w.run(2*tier.Minute, w.agree) {
		t.Fatal("the check accepts members that are cut in two")
	}
}

// FuzzMessage feeds decoded bytes of any kind to a gossiper.
func FuzzMessage(f *testing.F) {
	f.Add("caxias-0", uint64(1), uint64(1), keyVM, encodeVM(testVM("caxias", 0, 0), 1))
	f.Add("caxias-9", uint64(1<<63), uint64(1<<63), statusDead, []byte{})
	f.Add("", uint64(0), uint64(0), "", []byte(`["live","caxias","10.0.0.1:1","x"]`))
	f.Fuzz(func(t *testing.T, origin string, incarnation, version uint64, key string, value []byte) {
		h := newHolder(t)
		e := NewEntry(origin, tier.Incarnation(incarnation), version, key, value)
		d := NewDigest(origin, tier.Incarnation(incarnation), version)
		m := NewMessage(origin, tier.Incarnation(incarnation), []Digest{d, d}, []Entry{e})
		h.Step(0, NewExchangeReceived(m))
		for _, a := range h.Step(10, &Tick{}) {
			if s, ok := a.(*SendExchange); ok {
				h.Step(20, NewReplyReceived(s.number, m))
			}
		}
		for _, v := range h.Members() {
			if !tier.ValidName(v.Name()) || v.Incarnation() > maxNumber+1 {
				t.Fatalf("member %v", v)
			}
		}
	})
}

// init fixes the seed of the properties, unless one is given, so that each run
// draws the same.
func init() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
}
