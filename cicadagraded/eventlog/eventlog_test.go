package eventlog

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"cicadagrade.example/tier"
)

// blockingWriter blocks each write until release is closed.
type blockingWriter struct{ release chan struct{} }

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

// If nothing writes the queued lines, a flood of lines must neither block the caller nor
// use more memory than the queue.
func TestFloodOfLinesDoesNotBlock(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	clock := tier.NewManualClock(0)
	l := New(w, clock.Clock())
	for range 100 * queueSize {
		clock.Advance(1)
		l.RateLimitedInfo("request-ended", "request", "x")
		l.Info("leaf-ready", "leaf", "y")
	}
	if n := len(l.queue); n > queueSize {
		t.Errorf("%d lines are queued", n)
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
	if n := strings.Count(out.String(), "msg=request-ended"); n != requestLinesBurst {
		t.Errorf("%d lines, expected %v", n, requestLinesBurst)
	}
	if !strings.Contains(out.String(), "msg=lines-dropped count=120") {
		t.Errorf("the dropped lines are not counted: %s", out.String()[max(0, out.Len()-200):])
	}
}
