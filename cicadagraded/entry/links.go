package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

const (
	// surveyCheckInterval is the interval of the checks whether a survey of the leafs is due.
	surveyCheckInterval = 50 * tier.Millisecond
	// surveyTimeout bounds the opening of the connections of a survey. It allows for several
	// round trips between regions.
	surveyTimeout = 250 * tier.Millisecond
)

// RunLinkSurveys finds out, when calls to leafs get no replies, whether this VM has lost its
// links to them, and when they are back, until ctx ends.
func (e *Entry) RunLinkSurveys(ctx context.Context) error {
	return every(ctx, surveyCheckInterval, func() { e.surveyLinks(ctx) })
}

// surveyLinks opens connections to some leafs, if that is due.
func (e *Entry) surveyLinks(ctx context.Context) {
	e.mu.Lock()
	sample := e.scheduler.Balancer().Survey(e.clock.Now(), e.scheduler.Lister().Usable)
	e.mu.Unlock()
	if sample == nil {
		return
	}
	accepted := e.countAccepting(ctx, sample)
	if ctx.Err() != nil {
		return
	}
	e.mu.Lock()
	now := e.clock.Now()
	change, changed := e.scheduler.Balancer().Surveyed(now, accepted, len(sample))
	if changed {
		e.scheduler.LinksChanged(now)
	}
	woken := e.scheduler.TakeWoken()
	e.mu.Unlock()
	if !changed {
		e.log.RateLimitedInfo("leaf-links-surveyed", "accepted", accepted, "of", len(sample))
		return
	}
	e.linksLost.Store(change.Lost())
	e.leafClient.CloseAllIdle() // they may be dead without having been closed
	wakeAll(woken)
	switch {
	case change.Lost():
		e.log.Warn("leaf-links-lost", "surveyed", len(sample), "silent-ms", int64(change.After()))
	default:
		e.log.Info("leaf-links-restored", "accepted", accepted, "of", len(sample), "lost-ms", int64(change.After()))
	}
}

// reachesLeafs reports whether this VM has opened a connection to any leaf since a time, or opens
// one now.
func (e *Entry) reachesLeafs(since time.Time) bool {
	e.reachMu.Lock() // one survey serves all that wait for it
	defer e.reachMu.Unlock()
	if e.linksLost.Load() || e.unreachedAt.After(since) {
		return false
	}
	if e.leafClient.ConnectedSince(since) {
		return true
	}
	at := time.Now()
	e.mu.Lock()
	sample := e.scheduler.Balancer().Sample(e.scheduler.Lister().Usable())
	e.mu.Unlock()
	if e.countAccepting(context.Background(), sample) > 0 {
		return true
	}
	e.unreachedAt = at
	return false
}

// countAccepting counts those of some leafs that accept a connection within surveyTimeout.
func (e *Entry) countAccepting(ctx context.Context, leafs []lister.Leaf) int {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout.Duration())
	defer cancel()
	var accepted atomic.Int64
	var group sync.WaitGroup
	for _, leaf := range leafs {
		group.Go(func() {
			if e.leafClient.Accepts(ctx, leaf.Address()) {
				accepted.Add(1)
			}
		})
	}
	group.Wait()
	return int(accepted.Load())
}
