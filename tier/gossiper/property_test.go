package gossiper

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
)

// entryStore takes entries and reports the versions that it holds. It is a Gossiper
// or, to test the check, a broken implementation.
type entryStore interface {
	takeEntry(e Entry)
	heldVersion(origin, key string) (tier.Incarnation, uint64)
}

type gossiperStore struct{ *Gossiper }

func (s gossiperStore) takeEntry(e Entry) {
	s.Step(s.now+10, NewRequestReceived(NewMessage("caxias-1", 1, nil, []Entry{e})))
}

func (s gossiperStore) heldVersion(origin, key string) (tier.Incarnation, uint64) {
	if origin == "" {
		e := s.sharedEntries[key]
		return e.incarnation, e.version
	}
	r, ok := s.records[origin]
	if !ok {
		return 0, 0
	}
	return r.incarnation, r.entries[key].version
}

// lastWriteStore is a broken implementation: it keeps the entry that came last.
type lastWriteStore map[entryKey]Entry

func (s lastWriteStore) takeEntry(e Entry) { s[entryKey{e.origin, e.key}] = e }

func (s lastWriteStore) heldVersion(origin, key string) (tier.Incarnation, uint64) {
	e := s[entryKey{origin, key}]
	return e.incarnation, e.version
}

// checkMonotonic returns an error if an older entry replaced a newer one.
func checkMonotonic(s entryStore, entries []Entry) error {
	for _, e := range entries {
		previousIncarnation, previousVersion := s.heldVersion(e.origin, e.key)
		s.takeEntry(e)
		incarnation, version := s.heldVersion(e.origin, e.key)
		if incarnation < previousIncarnation || incarnation == previousIncarnation && version < previousVersion {
			return fmt.Errorf("version %d.%d of origin %q, key %s, replaced %d.%d", incarnation, version, e.origin, e.key, previousIncarnation, previousVersion)
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

func newGossiperStore(t interface{ Fatal(...any) }) gossiperStore {
	g, err := New(testVM("caxias", 9, 0))
	if err != nil {
		t.Fatal(err)
	}
	return gossiperStore{g}
}

func TestOlderEntryNeverReplacesNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 40).Draw(t, "entries")
		if err := checkMonotonic(newGossiperStore(t), entries); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMonotonicCheckDetectsOlderEntry checks that checkMonotonic rejects a store in
// which an older entry wins.
func TestMonotonicCheckDetectsOlderEntry(t *testing.T) {
	entries := []Entry{NewEntry("caxias-0", 2, 1, "config", nil), NewEntry("caxias-0", 1, 5, "config", nil)}
	if checkMonotonic(lastWriteStore{}, entries) == nil {
		t.Fatal("checkMonotonic accepts an entry of an older incarnation")
	}
}

// injectFaults draws partitions, kills, replacements, pauses, message loss and waits.
func injectFaults(t *rapid.T, w *network, n int) {
	seed := testVM("caxias", 0, 0).Address()
	for i := range rapid.IntRange(1, 8).Draw(t, "steps") {
		one := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "vm")]
		switch rapid.SampledFrom([]string{"cut", "replace", "rename", "pause", "leave", "lossy", "kill"}).Draw(t, "what") {
		case "cut":
			mask := rapid.IntRange(1, 1<<n-2).Draw(t, "mask")
			w.isCut = partitionBy(func(o *node) bool { return mask>>(o.address[len(o.address)-6]-'0')&1 == 1 })
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
			if w.count(one.localDataCentre) > 1 {
				w.kill(one)
			}
		}
		w.run(tier.Millis(rapid.IntRange(0, 60_000).Draw(t, "wait")), nil)
	}
}

func (w *network) count(dataCentre string) int {
	n := 0
	for _, o := range w.nodes {
		if o.localDataCentre == dataCentre {
			n++
		}
	}
	return n
}

func healFaults(w *network) {
	w.isCut = connected
	w.loss = 0
	for _, n := range w.nodes {
		n.paused = false
	}
}

func TestConvergesOnceHealed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(nil, rapid.Uint64().Draw(t, "seed"))
		startThreeDataCentres(w)
		w.run(5*tier.Second, nil)
		injectFaults(t, w, 7)
		healFaults(w)
		if !w.run(2*tier.Minute, w.converged) {
			t.Fatalf("members differ:\n%s", w.describeViews())
		}
	})
}

// TestConvergenceCheckDetectsPartition checks that converged is false while members
// are partitioned.
func TestConvergenceCheckDetectsPartition(t *testing.T) {
	w := newNetwork(t, 9)
	for i := range 6 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustConverge(20*tier.Second, "join")
	w.isCut = partitionBy(func(n *node) bool { return n.name < "caxias-3" })
	w.run(tier.Minute, nil)
	if w.run(2*tier.Minute, w.converged) {
		t.Fatal("converged accepts partitioned members")
	}
}

// FuzzMessage passes arbitrary decoded messages to a gossiper.
func FuzzMessage(f *testing.F) {
	f.Add("caxias-0", uint64(1), uint64(1), keyVM, encodeVM(testVM("caxias", 0, 0), 1))
	f.Add("caxias-9", uint64(1<<63), uint64(1<<63), statusDead, []byte{})
	f.Add("", uint64(0), uint64(0), "", []byte(`["live","caxias","10.0.0.1:1","x"]`))
	f.Fuzz(func(t *testing.T, origin string, incarnation, version uint64, key string, value []byte) {
		store := newGossiperStore(t)
		e := NewEntry(origin, tier.Incarnation(incarnation), version, key, value)
		d := NewDigest(origin, tier.Incarnation(incarnation), version)
		m := NewMessage(origin, tier.Incarnation(incarnation), []Digest{d, d}, []Entry{e})
		store.Step(0, NewRequestReceived(m))
		for _, a := range store.Step(10, &Tick{}) {
			if s, ok := a.(*SendRequest); ok {
				store.Step(20, NewReplyReceived(s.number, m))
			}
		}
		for _, v := range store.Members() {
			if !tier.ValidName(v.Name()) || v.Incarnation() > maxCounter+1 {
				t.Fatalf("invalid member %v", v)
			}
		}
	})
}

// init fixes the seed of the property tests, unless one is given, so that each run
// draws the same cases.
func init() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
}
