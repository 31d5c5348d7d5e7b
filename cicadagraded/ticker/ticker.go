// Package ticker runs the timer loop of a state machine.
package ticker

import (
	"context"
	"time"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/ring"
)

// Run calls step at once and then whenever the time returned by wait after the last step
// has passed or wake has an element. It returns the error of ctx when ctx ends.
func Run(ctx context.Context, wake *ring.Ring[struct{}], step func(), wait func() tier.Millis) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		step()
		timer.Reset(wait().Duration())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake.Out():
		case <-timer.C:
		}
	}
}
