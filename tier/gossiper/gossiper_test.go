package gossiper

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"cicadagrade.example/tier"
)

// today starts the 7 VMs of a user in three data centres, joined by one seed.
func today(w *network) {
	for i, d := range []string{"caxias", "caxias", "caxias", "itajai1", "itajai1", "chapeco2", "chapeco2"} {
		w.add(testVM(d, i, 0), testVM("caxias", 0, 0).Address())
	}
}

func TestJoin(t *testing.T) {
	w := newNetwork(t, 1)
	today(w)
	t.Logf("joined after %d ms", w.mustAgree(10*tier.Second, "join"))
	for _, n := range w.nodes {
		if !n.Fresh(w.now()) || !n.Reachable("itajai1") || !n.Reachable("chapeco2") {
			t.Errorf("%s: fresh %v, reaches itajai1 %v, chapeco2 %v", n.name, n.Fresh(w.now()), n.Reachable("itajai1"), n.Reachable("chapeco2"))
		}
	}
}

// splitBy cuts the VMs into two sides.
func splitBy(side func(n *node) bool) func(a, b *node) bool {
	return func(a, b *node) bool { return side(a) != side(b) }
}

func uncut(_, _ *node) bool { return false }

func TestPartitionOfMinutesHeals(t *testing.T) {
	w := newNetwork(t, 2)
	for i := range 9 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustAgree(20*tier.Second, "join")
	first := w.nodes[0].Self().Incarnation()
	w.cut = splitBy(func(n *node) bool { return n.name < "caxias-4" })
	w.run(5*tier.Minute, nil)
	if got := living(w.nodes[0]); got != 4 {
		t.Fatalf("%d live members on the small side, want 4", got)
	}
	if got := living(w.nodes[8]); got != 5 {
		t.Fatalf("%d live members on the large side, want 5", got)
	}
	w.step(w.nodes[8], NewAnnounce("profiles", 1, 7, []byte("x")))
	w.cut = uncut
	t.Logf("healed after %d ms", w.mustAgree(tier.Minute, "heal"))
	w.run(5*tier.Second, nil)
	if _, revision, _, _ := w.nodes[0].Shared("profiles"); revision != 7 {
		t.Errorf("shared revision %d after healing, want 7", revision)
	}
	if got := w.nodes[0].Self().Incarnation(); got <= first {
		t.Errorf("a VM declared dead kept incarnation %d", got)
	}
}

func living(n *node) int {
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
	w.mustAgree(20*tier.Second, "join")
	w.step(w.nodes[0], NewPublish("set/portao", []byte("first life")))
	w.run(5*tier.Second, nil)
	for i := range 6 {
		w.add(testVM("caxias", i, 60_000), testVM("caxias", 11, 0).Address())
	}
	t.Logf("agreed after %d ms", w.mustAgree(tier.Minute, "replacement"))
	for _, n := range w.nodes {
		if got := n.Entries("set/portao"); len(got) != 0 {
			t.Errorf("%s still holds what a former life published", n.name)
		}
	}
}

func TestReplacedByAnotherName(t *testing.T) {
	w := newNetwork(t, 4)
	for i := range 5 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustAgree(20*tier.Second, "join")
	old := w.nodes[4].Self()
	w.add(tier.NewVM("caxias-new", "caxias", old.Address(), tier.WithIncarnation(old.Incarnation()+60_000)), testVM("caxias", 0, 0).Address())
	w.mustAgree(5*tier.Second, "replacement")
}

func TestSuspectedVMRefutes(t *testing.T) {
	w := newNetwork(t, 5)
	for i := range 6 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustAgree(20*tier.Second, "join")
	one, other := w.nodes[1], w.nodes[2]
	w.cut = func(a, b *node) bool { return a == one && b == other || a == other && b == one }
	died := func() bool {
		for _, n := range w.nodes {
			if living(n) < 6 {
				return true
			}
		}
		return false
	}
	if w.run(3*tier.Minute, died) {
		t.Fatal("a VM that most peers reach was declared dead")
	}
	if other.Self().Incarnation() != one.Self().Incarnation() {
		t.Error("a suspicion that was refuted in time cost a life")
	}
	other.paused = true // the check sees a VM that cannot refute
	if !w.run(tier.Minute, died) {
		t.Fatal("a silent VM is never declared dead")
	}
}

func TestDataCentreCutOff(t *testing.T) {
	w := newNetwork(t, 6)
	today(w)
	w.mustAgree(20*tier.Second, "join")
	w.cut = splitBy(func(n *node) bool { return n.home == "itajai1" })
	seen := func() bool {
		for _, n := range w.nodes {
			for _, d := range []string{"caxias", "itajai1", "chapeco2"} {
				if n.Reachable(d) == (n.home != d && (d == "itajai1" || n.home == "itajai1")) {
					return false
				}
			}
		}
		return true
	}
	from := w.now()
	if !w.run(tier.Minute, seen) {
		t.Fatal("the cut is not seen")
	}
	t.Logf("cut seen everywhere after %d ms", w.now()-from)
	w.run(5*tier.Minute, nil)
	for _, n := range w.nodes {
		if living(n) != 7 {
			t.Errorf("%s takes %d VMs for live: a cut link is no death", n.name, living(n))
		}
	}
	w.cut = uncut
	from = w.now()
	if !w.run(tier.Minute, func() bool { return allReach(w) }) {
		t.Fatal("the healed link is not seen")
	}
	t.Logf("healed link seen everywhere after %d ms", w.now()-from)
}

func allReach(w *network) bool {
	for _, n := range w.nodes {
		for _, d := range []string{"caxias", "itajai1", "chapeco2"} {
			if !n.Reachable(d) {
				return false
			}
		}
	}
	return true
}

// checkPause reports a VM that trusts what it holds too early after a pause.
func checkPause(w *network) error {
	for i := range 5 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustAgree(20*tier.Second, "join")
	n := w.nodes[3]
	life := n.Self().Incarnation()
	n.paused = true
	w.run(30*tier.Second, nil)
	if n.Fresh(w.now()) {
		return errors.New("fresh right after a pause")
	}
	w.cut = splitBy(func(o *node) bool { return o == n })
	n.paused = false
	w.run(2*tier.Second, nil)
	if n.Fresh(w.now()) {
		return errors.New("fresh before any peer answered")
	}
	w.cut = uncut
	if !w.run(10*tier.Second, func() bool { return n.Fresh(w.now()) }) {
		return errors.New("never fresh again")
	}
	w.mustAgree(20*tier.Second, "resume")
	if n.Self().Incarnation() <= life {
		return errors.New("kept its life after being declared dead")
	}
	return nil
}

func TestPausedVMIsNotFresh(t *testing.T) {
	if err := checkPause(newNetwork(t, 7)); err != nil {
		t.Fatal(err)
	}
	blind := []Option{WithPause(tier.Hour), WithSuspicion(tier.Hour)}
	if checkPause(newNetwork(t, 7, blind...)) == nil {
		t.Fatal("the check accepts a VM that does not see its pause")
	}
}

// checkBytes reports a VM that sends more in a minute than its rate allows
// while all publish as much as they can.
func checkBytes(w *network, rate int) error {
	for i := range 7 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	for i := range 1200 {
		n := w.nodes[i%7]
		w.step(n, NewPublish("set/portao", bytes.Repeat([]byte{byte(i)}, 2000)))
		w.run(100, nil)
		if i == 600 {
			for _, n := range w.nodes {
				n.sent = -int(n.bucket.tokens) - maxDebt
			}
		}
	}
	for _, n := range w.nodes {
		if n.sent > 60*rate {
			return fmt.Errorf("%s sent %d bytes in a minute above what it had saved", n.name, n.sent)
		}
	}
	return nil
}

func TestBytesAreBounded(t *testing.T) {
	if err := checkBytes(newNetwork(t, 10), 2400); err != nil {
		t.Fatal(err)
	}
	if checkBytes(newNetwork(t, 10, WithRate(20_000, 48<<10)), 2400) == nil {
		t.Fatal("the check accepts more than the rate")
	}
}

func TestSameNameInHigherLife(t *testing.T) {
	w := newNetwork(t, 8)
	w.add(testVM("caxias", 0, 0))
	n := w.add(testVM("caxias", 1, 5000), testVM("caxias", 0, 0).Address())
	w.mustAgree(20*tier.Second, "join")
	w.add(n.Self().With(tier.WithIncarnation(10)), testVM("caxias", 0, 0).Address())
	w.mustAgree(20*tier.Second, "a clock that is behind")
	if got := w.nodes[1].Self().Incarnation(); got <= n.Self().Incarnation() {
		t.Errorf("incarnation %d is not above the former life", got)
	}
}

// TestFormerNameStaysDead: what arrives late of a VM whose address another VM
// took does not bring it back.
func TestFormerNameStaysDead(t *testing.T) {
	now := newHolder(t)
	former := testVM("caxias", 9, 0)
	former = tier.NewVM("caxias-former", "caxias", former.Address(), tier.WithIncarnation(former.Incarnation()-1000))
	for version := uint64(1); version < 4; version++ {
		now.take(NewEntry(former.Name(), former.Incarnation(), version, keyVM, encodeVM(former, 1)))
		for _, v := range now.Members() {
			if v.Name() == former.Name() && v.State() != tier.VMDead {
				t.Fatalf("version %d: %v", version, v)
			}
		}
	}
}

// TestLinksStayAtHome: a VM elsewhere holds none of a contact's links, and
// still knows how far its writes reach, so that they are not sent again.
func TestLinksStayAtHome(t *testing.T) {
	w := newNetwork(t, 11)
	today(w)
	w.run(tier.Minute, nil)
	for _, n := range w.nodes {
		for _, o := range w.nodes {
			r := n.records[o.name]
			if r.version != o.own.highest {
				t.Errorf("%s holds %s up to %d of %d", n.name, o.name, r.version, o.own.highest)
			}
			if n.home != o.home && len(r.entries) != 1 {
				t.Errorf("%s holds %d entries of %s", n.name, len(r.entries), o.name)
			}
		}
	}
}

// TestReplacedWhilePaused: a VM that is replaced under its name while it is
// paused yields when it goes on; the two do not contend for the name.
func TestReplacedWhilePaused(t *testing.T) {
	w := newNetwork(t, 12)
	for i := range 5 {
		w.add(testVM("caxias", i, 0), testVM("caxias", 0, 0).Address())
	}
	w.mustAgree(20*tier.Second, "join")
	w.run(settledAfter, nil)
	old := w.nodes[3]
	old.paused = true
	life := old.Self().Incarnation() + 1000
	next := w.add(tier.NewVM(old.name, "caxias", "10.9.9.9:7000", tier.WithIncarnation(life)), testVM("caxias", 0, 0).Address())
	w.run(30*tier.Second, nil)
	old.paused = false
	replaced := func() bool {
		for _, a := range old.told {
			if r, ok := a.(*Replaced); ok {
				return r.By().Address() == next.address
			}
		}
		return false
	}
	if !w.run(30*tier.Second, replaced) {
		t.Fatal("the former VM does not learn that it was replaced")
	}
	w.run(30*tier.Second, nil)
	if got := next.Self().Incarnation(); got != life {
		t.Errorf("the new VM took life %d in place of %d", got, life)
	}
	for _, m := range w.nodes[0].Members() {
		if m.Name() == old.name && m.Address() != next.address {
			t.Errorf("members hold %v", m)
		}
	}
	if old.Fresh(w.now()) {
		t.Error("the former VM trusts what it holds")
	}
}
