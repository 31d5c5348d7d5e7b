package gossiper

import (
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
