package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// benchShards is the number of shards of a typical index.
const benchShards = 20

// BenchmarkSweep measures a whole query over all 20 shards of an index. The caller, the
// entry VM and the leafs are in one process and reuse connections over loopback.
func BenchmarkSweep(b *testing.B) {
	raw, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		b.Fatal(err)
	}
	settings, err := platform.DecodeSettings([]byte(strings.ReplaceAll(string(raw), "STORE", "127.0.0.1:9")))
	if err != nil {
		b.Fatal(err)
	}
	clock := tier.NewClock()
	e, err := New(settings, clock, eventlog.New(io.Discard, clock))
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	for i := range benchShards {
		worker := responder.NewSimulatedLeaf(fmt.Sprint("w", i), fmt.Sprint("s", i), 0, func(responder.Request) {}, func(responder.Request) {})
		leaf := httptest.NewServer(worker)
		defer leaf.Close()
		entry, err := worker.Registration(leaf.Listener.Addr().String(), "depot-a", false, 1)
		if err != nil {
			b.Fatal(err)
		}
		e.applyChange(storer.NewValue(platform.LeafsPrefix+worker.ID(), entry, int64(i+1)), int64(i+1), false)
	}
	table, err := os.ReadFile("testdata/twenty-shards.json")
	if err != nil {
		b.Fatal(err)
	}
	e.applyChange(storer.NewValue(platform.ConfigurationKey, table, benchShards+1), benchShards+1, false)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	callers := NewCallerServer(e)
	e.background.Go(func() { _ = callers.Serve(l) })
	defer callers.Close()
	defer func() { _ = l.Close() }()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s/%d", l.Addr(), i), nil)
		if err != nil {
			b.Fatal(err)
		}
		q.Host = "search.example"
		responder.SetCallerHeaders(q.Header, fmt.Sprint("a", i), callerTimeoutMs)
		reply, err := http.DefaultClient.Do(q)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, reply.Body); err != nil || reply.StatusCode != http.StatusOK {
			b.Fatalf("%d, %v", reply.StatusCode, err)
		}
		_ = reply.Body.Close()
	}
}
