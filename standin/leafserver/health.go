package leafserver

import (
	"slices"
	"sync"

	backendv1 "cicadagrade.example/api/backend/v1"

	"cicadagrade.example/tier"
)

// healthSnapshot is what Health reports for one point in time.
type healthSnapshot struct {
	at       tier.Millis
	state    backendv1.ServerState
	inUse    int64
	holdings []heldShard
}

// minSnapshotInterval is the shortest time between two snapshots that only record load.
const minSnapshotInterval = 5 * tier.Millis(1)

// healthHistory keeps past snapshots, so that Health can report outdated ones.
type healthHistory struct {
	mu        sync.Mutex
	snapshots []healthSnapshot
}

// due reports whether the last snapshot is old enough for another that only records load.
func (h *healthHistory) due(now tier.Millis) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.snapshots)
	return n == 0 || now-h.snapshots[n-1].at >= minSnapshotInterval
}

// add adds a snapshot and drops those too old to be reported with the given lag.
func (h *healthHistory) add(s healthSnapshot, lag tier.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.snapshots = append(h.snapshots, s)
	first := 0
	for first+1 < len(h.snapshots) && h.snapshots[first+1].at <= s.at-lag {
		first++
	}
	h.snapshots = slices.Delete(h.snapshots, 0, first)
}

// at returns the newest snapshot that is at least lag old, or else the oldest.
func (h *healthHistory) at(now, lag tier.Millis) healthSnapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := h.snapshots[0]
	for _, s := range h.snapshots {
		if s.at > now-lag {
			break
		}
		found = s
	}
	return found
}
