package entry

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// BenchmarkApply measures applying one changed registration of a leaf that is new or
// draining. When an index is resharded, hundreds of leafs register within a second, and
// VMs may have only a fifth of a core.
func BenchmarkApply(b *testing.B) {
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
	i := 0
	for b.Loop() {
		i++
		leaf := responder.NewSimulatedLeaf(fmt.Sprint("i-", i%1200), fmt.Sprint("s", i%400), 0, nil, nil)
		value, err := leaf.Registration(fmt.Sprintf("10.0.%d.%d:80", i%1200/250, i%250), "depot-a", i%2 == 0, int64(i))
		if err != nil {
			b.Fatal(err)
		}
		e.applyChange(storer.NewValue(platform.LeafsPrefix+leaf.ID(), value, int64(i)), int64(i), false)
	}
}
