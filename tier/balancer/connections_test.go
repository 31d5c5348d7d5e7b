package balancer

import (
	"testing"

	"cicadagrade.example/tier/lister"
)

// TestConnectionCosts guards against hedges to a far replica that are sent too late because the
// time to open a connection is left out, and against that time being learned as latency.
func TestConnectionCosts(t *testing.T) {
	distance := func(dataCentre string) Distance {
		if dataCentre == "near" {
			return SameDataCentre
		}
		return OtherRegion
	}
	b := New(distance, WithConnectionCosts())
	near := lister.NewLeaf("n", "s", "n:1", lister.InDataCentre("near"))
	far := lister.NewLeaf("f", "s", "f:1", lister.InDataCentre("far"))
	if cost := b.ExpectedCost(0, "c", near); cost != defaultNearLatencyMs {
		t.Errorf("near: %.0f ms", cost)
	}
	if cost := b.ExpectedCost(0, "c", far); cost != defaultFarLatencyMs+connectCostMs {
		t.Errorf("far, without connection: %.0f ms", cost)
	}
	if b.ShouldConnect(0, near) || !b.ShouldConnect(0, far) || b.ShouldConnect(1, far) {
		t.Error("a connection is asked for once, to the far leaf only")
	}
	b.Connected(50, far)
	if cost := b.ExpectedCost(60, "c", far); cost != defaultFarLatencyMs {
		t.Errorf("far, with connection: %.0f ms", cost)
	}
	// The connection has expired, so the call has opened one.
	late := 50 + connectedFor + 1
	b.Sent(late, "c", far)
	b.Answered(late+100, "c", far, 100)
	if cost := b.ExpectedCost(late+101, "c", far); cost < 50 || cost > 60 {
		t.Errorf("far, after a call that has opened a connection: %.0f ms", cost)
	}
	// A cancelled call closes its connection.
	b.Sent(late+101, "c", far)
	b.Cancelled(late+110, "c", far, 9)
	if !b.ShouldConnect(late+connectRetry+200, far) {
		t.Error("no connection is asked for after a cancelled call")
	}
}
