package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// sendBooking sends a request that may run at most once.
func (f *lateFleet) sendBooking() *httptest.ResponseRecorder {
	f.nextID++
	request := httptest.NewRequest(http.MethodPost, "/book/1", nil)
	request.Host = "search.example"
	responder.SetCallerHeaders(request.Header, "booking", callerTimeoutMs)
	response := httptest.NewRecorder()
	f.vm.ServeHTTP(response, request)
	return response
}

// TestLateRequestsOfAPlannedStop guards against requests that come late in the grace period of a
// planned stop, are passed on to a leaf, and are cut off without an answer at its end, among them
// some that may not be repeated. The grace period is 6 s.
func TestLateRequestsOfAPlannedStop(t *testing.T) {
	f := newLateFleet(t)
	f.addLeafsIn("depot-a", "ledger", 1)
	f.putConfiguration("configuration.json") // as before, with /line/
	f.vm.BeginShutdown()
	refresh := func() {
		t.Helper()
		if err := f.vm.readStore(t.Context(), true); err != nil {
			t.Fatal(err)
		}
	}
	refresh()
	f.clock.Advance(2 * tier.Second)
	refresh()
	if code := f.sendBooking().Code; code != http.StatusOK {
		t.Errorf("a booking 2 s after SIGTERM is answered with %d, expected 200", code)
	}
	f.clock.Advance(tier.Second)
	refresh()
	f.expect(http.StatusOK)
	if w := f.sendBooking(); w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("a booking 3 s after SIGTERM is answered with %d, Retry-After %q; its 3 s don't fit in the grace period, expected 503",
			w.Code, w.Header().Get("Retry-After"))
	}
	f.clock.Advance(1500)
	refresh()
	f.expect(http.StatusServiceUnavailable) // its aim of 1.5 s does not fit
}

// TestRequestsAreAnsweredBeforeAPlannedStopEnds guards against a request whose leaf takes longer than
// the grace period and that is cut off without an answer.
func TestRequestsAreAnsweredBeforeAPlannedStopEnds(t *testing.T) {
	f := newLateFleet(t)
	f.putConfiguration("configuration.json")
	f.vm.BeginShutdown()
	f.clock.Advance(3500)
	if err := f.vm.readStore(t.Context(), true); err != nil {
		t.Fatal(err)
	}
	answered := make(chan int, 1)
	f.group.Go(func() { answered <- f.send(f.vm, "/line/hold", 1).Code })
	for f.heldCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.clock.Advance(1950) // the route's time-out is 3 s
	select {
	case code := <-answered:
		if code != http.StatusGatewayTimeout {
			t.Errorf("the request is answered with %d, expected 504", code)
		}
		close(f.release)
	case <-time.After(20 * time.Second):
		t.Error("the request has no answer 0.15 s before its connection is closed")
		close(f.release)
		<-answered
	}
}
