package entry

import (
	"context"
	"time"

	"cicadagrade.example/tier"
)

// every calls a function at an interval until ctx ends. Calls that would overlap are left out.
func every(ctx context.Context, interval tier.Millis, do func()) error {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			do()
		}
	}
}
