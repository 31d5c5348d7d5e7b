package leafserver

import (
	"slices"
	"sync"

	backendv1 "cicadagrade.example/api/backend/v1"

	"cicadagrade.example/tier"
)

// moment is what a health page shows of one point in time.
type moment struct {
	at       tier.Millis
	state    backendv1.ServerState
	inUse    int64
	holdings []held
}

// momentStep is the shortest time between two kept moments of equal state.
const momentStep = 5 * tier.Millis(1)

// timeline keeps past moments, so that the health page can lag.
type timeline struct {
	mu      sync.Mutex
	moments []moment
}

// due reports whether load at now should be noted.
func (t *timeline) due(now tier.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.moments)
	return n == 0 || now-t.moments[n-1].at >= momentStep
}

// add notes a moment and forgets those that no lag reaches back to.
func (t *timeline) add(m moment, lag tier.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moments = append(t.moments, m)
	first := 0
	for first+1 < len(t.moments) && t.moments[first+1].at <= m.at-lag {
		first++
	}
	t.moments = slices.Delete(t.moments, 0, first)
}

// at returns the newest moment that is at least lag old, or the oldest.
func (t *timeline) at(now, lag tier.Millis) moment {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.moments[0]
	for _, m := range t.moments {
		if m.at > now-lag {
			break
		}
		out = m
	}
	return out
}
