package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/delayestimator"
	"cicadagrade.example/tier/router"
)

// Callers that were sent to this data centre during a fault elsewhere would stay on their
// kept-alive connections after it. Closing old connections lets the balancer reassign them.
func TestCallerConnectionsExpire(t *testing.T) {
	raw, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := platform.DecodeSettings([]byte(string(raw[:len(raw)-len("\"STORE\"\n")]) + "\"127.0.0.1:9\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	clock := tier.NewManualClock(0)
	e, err := New(settings, clock.Clock(), eventlog.New(io.Discard, clock.Clock()))
	if err != nil {
		t.Fatal(err)
	}
	ctx := e.ConnContext(context.Background(), nil)
	connectionHeader := func() string {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil).WithContext(ctx))
		return w.Header().Get("Connection")
	}
	if connectionHeader() != "" {
		t.Error("the first response on a new connection closes it")
	}
	clock.Advance(minConnectionLifetime - 1)
	if connectionHeader() != "" {
		t.Error("a connection is closed before its minimum lifetime")
	}
	clock.Advance(minConnectionLifetime)
	if connectionHeader() != "close" {
		t.Error("a connection is kept beyond its longest lifetime")
	}
}

// For a distant caller, a target latency is only a few round trips. The time left must
// count from the caller's start, which includes opening the connection, and allow for the
// network both ways.
func TestTargetLatencyCountsFromTheCallersStart(t *testing.T) {
	const roundTrip, target, margin = 6 * tier.Millisecond, 100 * tier.Millisecond, 8 * tier.Millisecond
	route := router.NewRoute("check", "search.example", "/check/", router.WithTimeouts(tier.Second, target))
	estimator, conn := delayestimator.New(), delayestimator.NewConnection(0, roundTrip)
	check := func(name string, want tier.Millis) {
		q := &request{route: route, margin: margin, arrival: estimator.RequestArrived(0, conn, route.Name(), tier.Second, true)}
		if got := new(Entry).terms(q).Target(); got != want {
			t.Errorf("%s: %d ms left until the target, want %d", name, got, want)
		}
	}
	check("on a new connection", target-2*roundTrip-margin)
	check("on a reused connection", target-roundTrip-margin)
}

// A small VM behind a narrow link has to begin with a large response earlier than others.
func TestResponseMarginFollowsTheVM(t *testing.T) {
	for _, c := range []struct {
		cores, linkMbps float64
		shards          int
		margin          tier.Millis
	}{
		{cores: 0.8, linkMbps: 1000, shards: 0, margin: 8},
		{cores: 0.8, linkMbps: 0, shards: 270, margin: 8},
		{cores: 0.12, linkMbps: 1000, shards: 0, margin: 13},
		{cores: 0.12, linkMbps: 29, shards: 270, margin: 16},
	} {
		if got := responseMargin(c.cores, c.linkMbps, c.shards); got != c.margin {
			t.Errorf("%+v: %d ms", c, got)
		}
	}
}
