package balancer

import (
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// The load: calls to a service with a near and a far leaf, while one of them is
// impaired. Pattern: latency-aware replica choice with decaying penalties, as in
// peak-EWMA balancing.
type world struct {
	b     *Balancer
	leafs []lister.Leaf
	now   tier.Millis
}

const (
	nearLatency = 20
	farLatency  = 60
)

func newWorld() *world {
	w := &world{b: New(func(dataCentre string) Distance {
		if dataCentre == "near" {
			return SameDataCentre
		}
		return OtherRegion
	})}
	for _, name := range []string{"near", "far"} {
		w.leafs = append(w.leafs, lister.NewLeaf(name, "s", name+":1", lister.InDataCentre(name), lister.WithSlots(2)))
	}
	return w
}

// play makes calls for a while, one each 30 ms, and counts those to the near
// leaf; latency tells how long a call to a leaf takes, end how it ends.
func (w *world) play(span tier.Millis, latency func(string) tier.Millis, end func(f lister.Leaf) bool) (near, all int) {
	for until := w.now + span; w.now < until; w.now += 30 {
		f, _, ok := w.b.Pick(w.now, "class", w.leafs, nil)
		if !ok {
			continue
		}
		all++
		if f.ID() == "near" {
			near++
		}
		w.b.Sent(w.now, f)
		at := w.now + latency(f.ID())
		if end != nil && end(f) {
			continue
		}
		w.b.Answered(at, "class", f, latency(f.ID()))
	}
	return near, all
}

func sound(id string) tier.Millis {
	if id == "near" {
		return nearLatency
	}
	return farLatency
}

func TestSoundLeafsAreAskedNearby(t *testing.T) {
	w := newWorld()
	if near, all := w.play(3*tier.Second, sound, nil); near != all {
		t.Errorf("%d of %d calls went to the near leaf", near, all)
	}
}

func TestASlowLeafIsPassedOverAndLookedAtAgain(t *testing.T) {
	w := newWorld()
	w.play(3*tier.Second, sound, nil)
	slow := func(id string) tier.Millis {
		if id == "near" {
			return 10 * nearLatency
		}
		return farLatency
	}
	near, all := w.play(8*tier.Second, slow, nil)
	if near > all/4 || near == 0 {
		t.Errorf("%d of %d calls went to a leaf ten times slower", near, all)
	}
	w.play(3*tier.Second, sound, nil)
	if near, all := w.play(3*tier.Second, sound, nil); near != all {
		t.Errorf("%d of %d calls went to the near leaf after it recovered", near, all)
	}
}

func TestALeafThatShedsIsPassedOver(t *testing.T) {
	w := newWorld()
	w.play(3*tier.Second, sound, nil)
	n := 0
	near, all := w.play(8*tier.Second, sound, func(f lister.Leaf) bool {
		if n++; f.ID() == "near" && n%2 == 0 {
			w.b.Refused(w.now, f)
			return true
		}
		return false
	})
	if near > all/2 {
		t.Errorf("%d of %d calls went to a leaf that turns every second one away", near, all)
	}
}

func TestAStalledLeafIsKnownByItsSilence(t *testing.T) {
	w := newWorld()
	w.play(3*tier.Second, sound, nil)
	w.b.Sent(w.now, w.leafs[0])
	w.now += 5 * nearLatency
	if f, _, _ := w.b.Pick(w.now, "class", w.leafs, nil); f.ID() != "far" {
		t.Errorf("the call went to %s", f.ID())
	}
	w.b.Answered(w.now, "class", w.leafs[0], 5*nearLatency)
	w.now += 3 * tier.Second
	if f, _, _ := w.b.Pick(w.now, "class", w.leafs, nil); f.ID() != "near" {
		t.Errorf("after the pause the call went to %s", f.ID())
	}
}

func TestAnotherServerAtTheAddressIsNotAskedAgain(t *testing.T) {
	w := newWorld()
	w.b.Sent(0, w.leafs[0])
	w.b.Misdirected(0, w.leafs[0])
	if f, _, _ := w.b.Pick(10, "class", w.leafs, nil); f.ID() != "far" {
		t.Errorf("the call went to %s", f.ID())
	}
	reborn := lister.NewLeaf("near", "s", "near:1", lister.InDataCentre("near"), lister.StartedAt(7))
	if f, _, _ := w.b.Pick(20, "class", []lister.Leaf{reborn, w.leafs[1]}, nil); f.ID() != "near" {
		t.Errorf("a new life of the leaf is passed over for %s", f.ID())
	}
}

func TestRoomIsBounded(t *testing.T) {
	w := newWorld()
	f := w.leafs[0]
	sent := 0
	for w.b.HasCapacity(0, f, true) {
		w.b.Sent(0, f)
		sent++
	}
	if sent != f.Slots()+ownerQueue {
		t.Errorf("%d calls of an owner, the leaf has %d slots", sent, f.Slots())
	}
	for range sent {
		w.b.ConnectionReset(0, f)
	}
	w.b.Sent(0, f)
	if w.b.HasCapacity(1, f, true) {
		t.Error("a second call at a leaf that resets connections")
	}
	if !w.b.HasCapacity(crowdedFor, f, true) {
		t.Error("no room though the crowd has passed")
	}
}
