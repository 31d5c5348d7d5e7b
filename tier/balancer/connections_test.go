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
	b := New(distance, WithEvenLoad())
	near := lister.NewLeaf("n", "s", "n:1", lister.InDataCentre("near"))
	far := lister.NewLeaf("f", "s", "f:1", lister.InDataCentre("far"))
	if b.ShouldConnect(0, near) || !b.ShouldConnect(0, far) || b.ShouldConnect(1, far) {
		t.Error("a connection is asked for once, to the far leaf only")
	}
	without := b.ExpectedCost(0, "c", far)
	b.Connected(50, far)
	if with := b.ExpectedCost(60, "c", far); without-with < 40 {
		t.Errorf("%.0f ms without a connection, %.0f with one", without, with)
	}
	if b.ShouldConnect(60, far) {
		t.Error("a connection is asked for although there is one")
	}
	// The connection has expired, so the call has opened one.
	late := 50 + connectionLifetime + 1
	b.Sent(late, "c", far)
	b.Answered(late+100, "c", far, 100)
	if latency := b.BaseLatency("c", far); latency < 45 || latency > 60 {
		t.Errorf("%.0f ms learned from a call of 100 ms that has opened a connection", latency)
	}
	// A cancelled call closes its connection.
	b.Sent(late+101, "c", far)
	b.Cancelled(late+110, "c", far, 9)
	if !b.ShouldConnect(late+connectRetry+200, far) {
		t.Error("no connection is asked for after a cancelled call")
	}
}

// TestLeafThatResetsConnectionsGetsNoFurtherOnes guards against connections that are opened before
// they are needed to a leaf that has too many.
func TestLeafThatResetsConnectionsGetsNoFurtherOnes(t *testing.T) {
	b := New(func(string) Distance { return OtherRegion }, WithEvenLoad())
	leaf := lister.NewLeaf("f", "s", "f:1")
	b.Sent(0, "c", leaf)
	b.ConnectionReset(50, leaf)
	if b.ShouldConnect(50+resetWindow-1, leaf) {
		t.Error("a connection is asked for right after a reset")
	}
	if !b.ShouldConnect(50+resetWindow, leaf) {
		t.Error("no connection is asked for later")
	}
}
