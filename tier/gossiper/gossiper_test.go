package gossiper

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"cicadagrade.example/tier"
)

// startThreeDataCentres starts 7 VMs in three data centres with one common seed, as
// one customer runs them.
func startThreeDataCentres(w *network) {
	for i, d := range []string{"caxias", "caxias", "caxias", "itajai1", "itajai1", "chapeco2", "chapeco2"} {
		w.add(testVM(d, i, 0), testVM("caxias", 0, 0).Address())
	}
}

func TestJoin(t *testing.T) {
	w := newNetwork(t, 1)
	startThreeDataCentres(w)
	t.Logf("joined after %d ms", w.mustConverge(10*tier.Second, "join"))
	for _, n := range w.nodes {
		if !n.Fresh(w.now()) || !n.Reachable("itajai1") || !n.Reachable("chapeco2") {
			t.Errorf("%s: Fresh %v, Reachable(itajai1) %v, Reachable(chapeco2) %v, want true for all", n.name, n.Fresh(w.now()), n.Reachable("itajai1"), n.Reachable("chapeco2"))
		}
	}
}

// partitionBy cuts the connections between the two sides.
func partitionBy(side func(n *node) bool) func(a, b *node) bool {
	return func(a, b *node) bool { return side(a) != side(b) }
}

func connected(_, _ *node) bool { return false }

func TestLongPartitionHeals(t *testing.T) {
	w := newNetwork(t, 2)
	for i := range 9 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustConverge(20*tier.Second, "join")
	first := w.nodes[0].Self().Incarnation()
	w.isCut = partitionBy(func(n *node) bool { return n.name < "caxias-4" })
	w.run(5*tier.Minute, nil)
	if got := countLive(w.nodes[0]); got != 4 {
		t.Fatalf("%d live members in the smaller partition, want 4", got)
	}
	if got := countLive(w.nodes[8]); got != 5 {
		t.Fatalf("%d live members in the larger partition, want 5", got)
	}
	w.step(w.nodes[8], NewPublishShared("profiles", 1, 7, []byte("x")))
	w.isCut = connected
	t.Logf("healed after %d ms", w.mustConverge(tier.Minute, "heal"))
	w.run(5*tier.Second, nil)
	if _, revision, _, _ := w.nodes[0].Shared("profiles"); revision != 7 {
		t.Errorf("shared revision %d after healing, want 7", revision)
	}
	if got := w.nodes[0].Self().Incarnation(); got <= first {
		t.Errorf("a VM declared dead kept incarnation %d", got)
	}
}

func countLive(n *node) int {
	live := 0
	for _, v := range n.Members() {
		if v.State() == tier.VMLive {
			live++
		}
	}
	return live
}

func TestHalfReplacedAtOnce(t *testing.T) {
	w := newNetwork(t, 3)
	for i := range 12 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 11, 0).Address())
	}
	w.mustConverge(20*tier.Second, "join")
	w.step(w.nodes[0], NewPublish("set/portao", []byte("first incarnation")))
	w.run(5*tier.Second, nil)
	for i := range 6 {
		w.add(testVM("caxias", i, 60_000), testVM("caxias", 11, 0).Address())
	}
	t.Logf("agreed after %d ms", w.mustConverge(tier.Minute, "replacement"))
	for _, n := range w.nodes {
		if got := n.Entries("set/portao"); len(got) != 0 {
			t.Errorf("%s still holds an entry of a former incarnation", n.name)
		}
	}
}

func TestAddressTakenByAnotherName(t *testing.T) {
	w := newNetwork(t, 4)
	for i := range 5 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustConverge(20*tier.Second, "join")
	old := w.nodes[4].Self()
	w.add(tier.NewVM("caxias-new", "caxias", old.Address(), tier.WithIncarnation(old.Incarnation()+60_000)), testVM("caxias", 0, 0).Address())
	w.mustConverge(5*tier.Second, "replacement")
}

func TestSuspectedVMRefutes(t *testing.T) {
	w := newNetwork(t, 5)
	for i := range 6 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustConverge(20*tier.Second, "join")
	one, other := w.nodes[1], w.nodes[2]
	w.isCut = func(a, b *node) bool { return a == one && b == other || a == other && b == one }
	died := func() bool {
		for _, n := range w.nodes {
			if countLive(n) < 6 {
				return true
			}
		}
		return false
	}
	if w.run(3*tier.Minute, died) {
		t.Fatal("a VM that most peers reach was declared dead")
	}
	if other.Self().Incarnation() != one.Self().Incarnation() {
		t.Error("a suspicion that was refuted in time changed the incarnation")
	}
	other.paused = true // Shows that died detects a VM that cannot refute.
	if !w.run(tier.Minute, died) {
		t.Fatal("a VM that does not answer is not declared dead")
	}
}

func TestDataCentreCutOff(t *testing.T) {
	w := newNetwork(t, 6)
	startThreeDataCentres(w)
	w.mustConverge(20*tier.Second, "join")
	w.isCut = partitionBy(func(n *node) bool { return n.localDataCentre == "itajai1" })
	seen := func() bool {
		for _, n := range w.nodes {
			for _, d := range []string{"caxias", "itajai1", "chapeco2"} {
				if n.Reachable(d) == (n.localDataCentre != d && (d == "itajai1" || n.localDataCentre == "itajai1")) {
					return false
				}
			}
		}
		return true
	}
	from := w.now()
	if !w.run(tier.Minute, seen) {
		t.Fatal("the cut link is not detected by all VMs")
	}
	t.Logf("cut link detected by all VMs after %d ms", w.now()-from)
	w.run(5*tier.Minute, nil)
	for _, n := range w.nodes {
		if countLive(n) != 7 {
			t.Errorf("%s holds %d live VMs, want 7: VMs behind a cut link must not be declared dead", n.name, countLive(n))
		}
	}
	w.isCut = connected
	from = w.now()
	if !w.run(tier.Minute, func() bool { return allReachable(w) }) {
		t.Fatal("the healed link is not detected by all VMs")
	}
	t.Logf("healed link detected by all VMs after %d ms", w.now()-from)
}

func allReachable(w *network) bool {
	for _, n := range w.nodes {
		for _, d := range []string{"caxias", "itajai1", "chapeco2"} {
			if !n.Reachable(d) {
				return false
			}
		}
	}
	return true
}

// checkPause returns an error if a VM trusts its state too early after a pause.
func checkPause(w *network) error {
	for i := range 5 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustConverge(20*tier.Second, "join")
	n := w.nodes[3]
	incarnation := n.Self().Incarnation()
	n.paused = true
	w.run(30*tier.Second, nil)
	if n.Fresh(w.now()) {
		return errors.New("fresh right after a pause")
	}
	w.isCut = partitionBy(func(o *node) bool { return o == n })
	n.paused = false
	w.run(2*tier.Second, nil)
	if n.Fresh(w.now()) {
		return errors.New("fresh before any peer answered")
	}
	w.isCut = connected
	if !w.run(10*tier.Second, func() bool { return n.Fresh(w.now()) }) {
		return errors.New("never fresh again")
	}
	w.mustConverge(20*tier.Second, "resume")
	if n.Self().Incarnation() <= incarnation {
		return errors.New("kept its incarnation after being declared dead")
	}
	return nil
}

func TestPausedVMIsNotFresh(t *testing.T) {
	if err := checkPause(newNetwork(t, 7)); err != nil {
		t.Fatal(err)
	}
	noPauseDetection := []Option{WithPauseThreshold(tier.Hour), WithSuspicionTimeout(tier.Hour)}
	if checkPause(newNetwork(t, 7, noPauseDetection...)) == nil {
		t.Fatal("checkPause accepts a VM that does not detect its pause")
	}
}

// checkSendRate returns an error if a VM sends more in a minute than its rate allows
// while all VMs publish as much as they can.
func checkSendRate(w *network, rate int) error {
	for i := range 7 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	for i := range 1200 {
		n := w.nodes[i%7]
		w.step(n, NewPublish("set/portao", bytes.Repeat([]byte{byte(i)}, 2000)))
		w.run(100, nil)
		if i == 600 {
			for _, n := range w.nodes {
				n.sentBytes = -int(n.bucket.tokens) - maxTokenDebt
			}
		}
	}
	for _, n := range w.nodes {
		if n.sentBytes > 60*rate {
			return fmt.Errorf("%s sent %d bytes in a minute beyond its saved tokens", n.name, n.sentBytes)
		}
	}
	return nil
}

func TestBytesAreBounded(t *testing.T) {
	if err := checkSendRate(newNetwork(t, 10), 2400); err != nil {
		t.Fatal(err)
	}
	if checkSendRate(newNetwork(t, 10, WithSendRate(20_000, 48<<10)), 2400) == nil {
		t.Fatal("checkSendRate accepts a VM that exceeds the rate")
	}
}

func TestRestartWithClockBehind(t *testing.T) {
	w := newNetwork(t, 8)
	w.add(testVM("caxias", 0, 0))
	n := w.add(testVM("caxias", 1, 5000), testVM("caxias", 0, 0).Address())
	w.mustConverge(20*tier.Second, "join")
	w.add(n.Self().With(tier.WithIncarnation(10)), testVM("caxias", 0, 0).Address())
	w.mustConverge(20*tier.Second, "restart with a clock that is behind")
	if got := w.nodes[1].Self().Incarnation(); got <= n.Self().Incarnation() {
		t.Errorf("incarnation %d is not above that of the former process", got)
	}
}

// TestFormerNameOfAddressStaysDead checks that late entries of a VM whose address
// another VM has taken do not bring it back.
func TestFormerNameOfAddressStaysDead(t *testing.T) {
	store := newGossiperStore(t)
	former := testVM("caxias", 9, 0)
	former = tier.NewVM("caxias-former", "caxias", former.Address(), tier.WithIncarnation(former.Incarnation()-1000))
	for version := uint64(1); version < 4; version++ {
		store.takeEntry(NewEntry(former.Name(), former.Incarnation(), version, keyVM, encodeVM(former, 1)))
		for _, v := range store.Members() {
			if v.Name() == former.Name() && v.State() != tier.VMDead {
				t.Fatalf("version %d brought back the former VM: %v", version, v)
			}
		}
	}
}

// TestLinkEntriesStayInDataCentre checks that VMs in other data centres hold no link
// entries of a contact, and still know up to which version they hold its writes.
// Otherwise these entries would be sent to them again and again.
func TestLinkEntriesStayInDataCentre(t *testing.T) {
	w := newNetwork(t, 11)
	startThreeDataCentres(w)
	w.run(tier.Minute, nil)
	for _, n := range w.nodes {
		for _, o := range w.nodes {
			r := n.records[o.name]
			if r.contiguousVersion != o.self.highestVersion {
				t.Errorf("%s holds the writes of %s up to version %d of %d", n.name, o.name, r.contiguousVersion, o.self.highestVersion)
			}
			if n.localDataCentre != o.localDataCentre && len(r.entries) != 1 {
				t.Errorf("%s holds %d entries of %s, want 1", n.name, len(r.entries), o.name)
			}
		}
	}
}

// TestReplacedWhilePaused checks that a VM whose name was given to another VM while it
// was paused yields when it resumes, so that the two do not contend for the name.
func TestReplacedWhilePaused(t *testing.T) {
	w := newNetwork(t, 12)
	for i := range 5 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustConverge(20*tier.Second, "join")
	w.run(formerIncarnationWindow, nil)
	old := w.nodes[3]
	old.paused = true
	incarnation := old.Self().Incarnation() + 1000
	next := w.add(tier.NewVM(old.name, "caxias", "10.9.9.9:7000", tier.WithIncarnation(incarnation)), testVM("caxias", 0, 0).Address())
	w.run(30*tier.Second, nil)
	old.paused = false
	replaced := func() bool {
		for _, a := range old.reported {
			if r, ok := a.(*Replaced); ok {
				return r.By().Address() == next.address
			}
		}
		return false
	}
	if !w.run(30*tier.Second, replaced) {
		t.Fatal("the former VM does not report that it was replaced")
	}
	w.run(30*tier.Second, nil)
	if got := next.Self().Incarnation(); got != incarnation {
		t.Errorf("the new VM has incarnation %d, want %d", got, incarnation)
	}
	for _, m := range w.nodes[0].Members() {
		if m.Name() == old.name && m.Address() != next.address {
			t.Errorf("a VM still lists the former VM: %v", m)
		}
	}
	if old.Fresh(w.now()) {
		t.Error("the former VM is still fresh")
	}
}
