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

// The load: callers that fled to this data centre during a fault, on connections
// that they keep. Pattern: bounded connection age, so that a balancer can spread
// callers anew.
func TestCallersAreLetGoAfterAWhile(t *testing.T) {
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
	asks := func() string {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil).WithContext(ctx))
		return w.Header().Get("Connection")
	}
	if asks() != "" {
		t.Error("a new connection ends")
	}
	clock.Advance(connectionAge - 1)
	if asks() != "" {
		t.Error("a connection ends before its time")
	}
	clock.Advance(connectionAge)
	if asks() != "close" {
		t.Error("an old connection is kept")
	}
}

// The load: callers some way off who open a connection for each request, with an
// aim of a few trips. Pattern: a deadline that counts from the client's start,
// less the network's time on both ways.
func TestAimsCountFromTheCallersStart(t *testing.T) {
	const trip, aim = 6 * tier.Millisecond, 100 * tier.Millisecond
	route := router.NewRoute("check", "search.example", "/check/", router.WithTimes(tier.Second, aim))
	k, c := delayestimator.New(), delayestimator.NewConnection(0, trip)
	left := func(attempt string, want tier.Millis) {
		q := &request{route: route, arrival: k.RequestArrived(0, c, route.Name(), tier.Second, true)}
		if got := q.terms().Target(); got != want {
			t.Errorf("%s: %d ms are left until the aim, want %d", attempt, got, want)
		}
	}
	left("on a connection that it opened", aim-2*trip-answerMargin)
	left("on a connection that it kept", aim-trip-answerMargin)
}
