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

// storeWarningDelay is how long the store has to fail before the status shows a warning.
const storeWarningDelay = 3 * tier.Second

// storeHealth tracks whether calls to the store succeed, for the log and the status.
type storeHealth struct {
	clock  *tier.Clock
	logger *log.Logger

	mu      sync.Mutex
	failing bool
	since   tier.Millis
}

// observe records the result of a store call. A conflict counts as success because the store
// has answered, and a call that this VM cancelled is ignored.
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

// warnings returns a warning if the store has been failing for at least storeWarningDelay.
func (h *storeHealth) warnings() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	elapsed := h.clock.Now() - h.since
	if !h.failing || elapsed < storeWarningDelay {
		return nil
	}
	return []string{fmt.Sprintf("store: no call has succeeded for %d s; the configuration stays as it is, bookings with callers' own keys are not run", elapsed/tier.Second)}
}
