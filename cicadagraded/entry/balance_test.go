package entry

import (
	"io"
	"os"
	"strings"
	"testing"

	"connectrpc.com/connect"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// A VM passes on which leafs are slow with the views that others copy, and says nothing without
// even balancing.
func TestSlowLeafsAreToldWithViews(t *testing.T) {
	raw, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := platform.DecodeSettings([]byte(strings.ReplaceAll(string(raw), "STORE", "127.0.0.1:9")))
	if err != nil {
		t.Fatal(err)
	}
	for balance, want := range map[Balance]int{LatencyBalance: 0, EvenBalance: 1} {
		clock := tier.NewClock()
		e, err := New(settings, clock, eventlog.New(io.Discard, clock), WithBalance(balance))
		if err != nil {
			t.Fatal(err)
		}
		e.scheduler.Balancer().Registered(0, lister.NewLeaf("leaf-1", "s", "127.0.0.1:9"))
		p := &peerService{entry: e}
		told := []*gatherv1.LeafDelay{{Leaf: "leaf-1", DelayMs: 600, AgeMs: 100, Slow: true}, {Leaf: "unknown", DelayMs: 600, Slow: true}, {Leaf: "leaf-1", DelayMs: -1}}
		for _, request := range []*gatherv1.FetchRequest{{Delays: told}, {}} {
			response, err := p.Fetch(t.Context(), connect.NewRequest(request))
			if err != nil {
				t.Fatal(err)
			}
			if got := response.Msg.GetDelays(); len(request.GetDelays()) == 0 && len(got) != want {
				t.Errorf("%s: told of %v, want %d leafs", balance, got, want)
			}
		}
	}
}
