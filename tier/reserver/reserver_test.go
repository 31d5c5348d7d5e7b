package reserver

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"cicadagrade.example/tier"
)

// TestScripts plays the scripts in testdata and compares what comes of them with golden files. The first line of a
// script is "limits CONNECTIONS BYTES"; each other one is a time in milliseconds, a method of Reserver in lower case,
// a holder and the bytes for grow.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts found: %v", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) { goldie.New(t).Assert(t, name, []byte(play(t, f))) })
	}
}

func play(t *testing.T, file string) string {
	in, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = in.Close() }()
	var out strings.Builder
	var r *Reserver
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		line := lines.Text()
		var connections int
		var now tier.Millis
		var event string
		var id Holder
		var bytes int64
		switch {
		case strings.HasPrefix(line, "#"):
			continue
		case strings.HasPrefix(line, "limits"):
			if _, err := fmt.Sscanf(line, "limits %d %d", &connections, &bytes); err != nil {
				t.Fatal(err)
			}
			r = New(connections, bytes)
			continue
		}
		if n, err := fmt.Sscan(line, &now, &event, &id, &bytes); n < 3 {
			t.Fatalf("%q: %v", line, err)
		}
		out.WriteString(line + " ->")
		switch event {
		case "open":
			fmt.Fprintf(&out, " %+v", r.Open(now, id))
		case "grow":
			fmt.Fprintf(&out, " %+v", r.Grow(now, id, bytes))
		case "receive":
			r.Receive(now, id)
		case "serve":
			fmt.Fprintf(&out, " %v", r.Serve(id))
		case "answer":
			r.Answer(now, id)
		case "release":
			r.Release(now, id)
		case "close":
			r.Close(id)
		default:
			t.Fatalf("unknown event %q", event)
		}
		holders, held := r.Held()
		fmt.Fprintf(&out, " (%d connections, %d bytes)\n", holders, held)
	}
	return out.String()
}

// Whatever callers do, the limits hold, and what is being served is never taken.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxHolders, maxBytes = 4, 100
		r := New(maxHolders, maxBytes)
		served := map[Holder]bool{}
		now := tier.Millis(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += tier.Millis(rapid.IntRange(0, 50).Draw(t, "pause"))
			id := Holder(rapid.IntRange(1, 8).Draw(t, "holder"))
			var d Decision
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				if _, open := r.holdings[id]; !open {
					d = r.Open(now, id)
				}
			case 1:
				d = r.Grow(now, id, int64(rapid.IntRange(1, 60).Draw(t, "bytes")))
			case 2:
				served[id] = r.Serve(id)
			case 3:
				r.Answer(now, id)
				served[id] = false
			case 4:
				r.Release(now, id)
				served[id] = false
			case 5:
				r.Close(id)
				served[id] = false
			}
			for _, e := range d.Evicted() {
				if served[e] || e == id {
					t.Fatalf("%d lost its connection to %d", e, id)
				}
			}
			sum := int64(0)
			for _, h := range r.holdings {
				sum += h.bytes
			}
			if holders, bytes := r.Held(); holders > maxHolders || bytes > maxBytes || bytes != sum {
				t.Fatalf("%d connections and %d bytes are held, %d in all", holders, bytes, sum)
			}
		}
	})
}
