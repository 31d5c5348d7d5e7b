package main

import (
	"context"
	"fmt"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// storeWarnAfter is how long the store fails before status warns of it.
const storeWarnAfter = 3 * tier.Second

// storeHealth watches how the calls of the store end, for logs and status.
type storeHealth struct {
	clock  *tier.Clock
	logger *log.Logger

	mu      sync.Mutex
	failing bool
	since   tier.Millis
}

// observe notes the end of a call. A conflict is an answer like any other, and
// a call that this VM gave up itself says nothing.
func (h *storeHealth) observe(call string, err error) {
	var conflict *storer.ConflictError
	if errors.Is(err, context.Canceled) {
		return
	}
	failed := err != nil && !errors.As(err, &conflict)
	h.mu.Lock()
	defer h.mu.Unlock()
	if failed == h.failing {
		return
	}
	now := h.clock.Now()
	if failed {
		h.logger.Warn("store", "state", "failing", "call", call, "error", err)
	} else {
		h.logger.Info("store", "state", "well", "failed-ms", now-h.since)
	}
	h.failing, h.since = failed, now
}

// warnings says so when the store has failed for a while.
func (h *storeHealth) warnings() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	failed := h.clock.Now() - h.since
	if !h.failing || failed < storeWarnAfter {
		return nil
	}
	return []string{fmt.Sprintf("store: no call has succeeded for %d s; the configuration stays as it is, bookings with callers' own keys are not run", failed/tier.Second)}
}
