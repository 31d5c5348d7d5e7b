// Package ticker runs the timer loop of a state machine.
package ticker

import (
	"context"
	"time"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/queue"
)

// Run calls step at once and then whenever the time returned by wait after the last step
// has passed or wake has an element. It returns the error of ctx when ctx ends.
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
