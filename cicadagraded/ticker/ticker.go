// Package ticker steps a state machine whenever it is due.
package ticker

import (
	"context"
	"time"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/queue"
)

// Run calls step, waits for as long as wait says or until woken, and so on
// until ctx ends, whose error it returns.
func Run(ctx context.Context, wake *queue.Queue[struct{}], step func(), wait func() tier.Millis) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		step()
		timer.Reset(wait().Duration())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake.Chan():
		case <-timer.C:
		}
	}
}
