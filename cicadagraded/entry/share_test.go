package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"connectrpc.com/connect"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/api/gather/v1/gatherv1connect"
	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// newOfflineEntry returns an entry VM that reads nothing by itself, and a client that calls it
// as another VM does.
func newOfflineEntry(t *testing.T) (*Entry, gatherv1connect.GatherServiceClient) {
	t.Helper()
	raw, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := platform.DecodeSettings([]byte(strings.ReplaceAll(string(raw), "STORE", "127.0.0.1:1")))
	if err != nil {
		t.Fatal(err)
	}
	clock := tier.NewClock()
	e, err := New(settings, clock, eventlog.New(io.Discard, clock))
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewUnstartedServer(e.PeerHandler())
	s.Config.Protocols = PeerProtocols()
	s.Start()
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		s.Close()
		e.Close()
	})
	return e, gatherv1connect.NewGatherServiceClient(&http.Client{Transport: transport}, s.URL)
}

// declines reports whether a VM declines a share, and whether it says so to a probe.
func declines(t *testing.T, c gatherv1connect.GatherServiceClient) (share, probe bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream, err := c.Gather(ctx, connect.NewRequest(&gatherv1.GatherRequest{Shards: []string{"s1"}, Attempts: 1, EndMs: 60_000}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	if !stream.Receive() {
		t.Fatal(stream.Err())
	}
	ping, err := c.Ping(t.Context(), connect.NewRequest(&gatherv1.PingRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	return stream.Msg().GetDeclined(), !ping.Msg.GetTakesShares()
}

// TestSharesAreDeclinedWithoutAViewAndWhileStopping guards against a VM that has just started
// and ends the searches of others because it knows no leaf itself, and against shares that a
// planned stop cuts off.
func TestSharesAreDeclinedWithoutAViewAndWhileStopping(t *testing.T) {
	e, c := newOfflineEntry(t)
	if share, probe := declines(t, c); !share || !probe {
		t.Errorf("without a view: share declined %v, probe declined %v", share, probe)
	}
	raw, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	e.replaceView([]storer.Value{storer.NewValue(platform.ConfigurationKey, raw, 1)}, 1, false)
	if share, probe := declines(t, c); share || probe {
		t.Errorf("with a view: share declined %v, probe declined %v", share, probe)
	}
	e.BeginShutdown()
	if share, probe := declines(t, c); !share || !probe {
		t.Errorf("while stopping: share declined %v, probe declined %v", share, probe)
	}
}

// TestFetchSendsWhatIsAsked checks the replies to VMs that have no view, an older one, and
// that only look for other VMs.
func TestFetchSendsWhatIsAsked(t *testing.T) {
	e, c := newOfflineEntry(t)
	fetch := func(r *gatherv1.FetchRequest) *gatherv1.FetchReply {
		response, err := c.Fetch(t.Context(), connect.NewRequest(r))
		if err != nil {
			t.Fatal(err)
		}
		return response.Msg
	}
	if r := fetch(&gatherv1.FetchRequest{}); r.GetRevision() != 0 || len(r.GetItems()) != 0 {
		t.Errorf("a VM without a view sends %v", r)
	}
	vm := storer.NewValue(vmsPrefix+"other", []byte(`{"address":"127.0.0.1:9","data-centre":"depot-a","region":"north","cores":1}`), 2)
	e.replaceView([]storer.Value{storer.NewValue("op/other", []byte("x"), 1), vm}, 2, false)
	if r := fetch(&gatherv1.FetchRequest{}); !r.GetWhole() || len(r.GetItems()) != 2 || r.GetKeyDigest() == 0 {
		t.Errorf("a VM without a view gets %v", r)
	}
	if r := fetch(&gatherv1.FetchRequest{After: 2}); r.GetWhole() || len(r.GetItems()) != 0 {
		t.Errorf("a VM with the newest view gets %v", r)
	}
	if r := fetch(&gatherv1.FetchRequest{VmsOnly: true}); len(r.GetItems()) != 1 || r.GetItems()[0].GetKey() != vm.Key() {
		t.Errorf("a VM that looks for others gets %v", r)
	}
}
