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
	ctx := e.ConnectionContext(context.Background(), nil)
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
