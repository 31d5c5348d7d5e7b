package main

import (
	"bytes"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

func TestStoreHealthWarnsAndRecovers(t *testing.T) {
	var out bytes.Buffer
	clock := tier.NewManualClock(0)
	h := &storeHealth{clock: clock.Clock(), logger: log.New(&out)}
	unavailable := storer.NewUnavailableError("get", errors.New("connection refused"))
	conflict := storer.NewConflictError(storer.NewValue("key", nil, 7))
	for _, c := range []struct {
		err      error
		after    tier.Millis
		warnings int
	}{
		{nil, storeWarningDelay, 0},
		{unavailable, storeWarningDelay - 1, 0},
		{unavailable, 1, 1},
		{conflict, storeWarningDelay, 0},
	} {
		h.observe("get", c.err)
		clock.Advance(c.after)
		if got := len(h.warnings()); got != c.warnings {
			t.Errorf("after %v and %d ms: %d warnings, want %d", c.err, c.after, got, c.warnings)
		}
	}
	if n := bytes.Count(out.Bytes(), []byte("\n")); n != 2 {
		t.Errorf("%d log lines, want one for each change:\n%s", n, out.String())
	}
}
