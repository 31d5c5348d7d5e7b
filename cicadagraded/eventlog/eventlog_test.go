package eventlog

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"cicadagrade.example/tier"
)

// stuck blocks whoever writes to it, until it is let go.
type stuck struct{ release chan struct{} }

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// A flood of lines neither blocks who logs, though nobody takes them, nor takes
// more memory than the ring.
func TestAFloodBlocksNobody(t *testing.T) {
	w := &stuck{release: make(chan struct{})}
	clock := tier.NewManualClock(0)
	l := New(w, clock.Clock())
	for range 100 * ringLines {
		clock.Advance(1)
		l.RateLimitedInfo("request-ended", "request", "x")
		l.Info("leaf-ready", "leaf", "y")
	}
	if n := len(l.lines); n > ringLines {
		t.Errorf("%d lines wait", n)
	}
	close(w.release)
}

func TestDroppedLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	clock := tier.NewManualClock(0)
	l := New(&out, clock.Clock())
	for range 200 {
		l.RateLimitedInfo("request-ended", "request", "x")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := l.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "msg=request-ended"); n != ordinaryBurst {
		t.Errorf("%d lines, expected %v", n, ordinaryBurst)
	}
	if !strings.Contains(out.String(), "msg=lines-dropped count=120") {
		t.Errorf("the dropped lines are not counted: %s", out.String()[max(0, out.Len()-200):])
	}
}
