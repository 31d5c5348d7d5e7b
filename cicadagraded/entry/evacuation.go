package entry

import (
	"context"
	"math/rand/v2"
	"strings"

	"github.com/pkg/errors"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/searcher"
	"cicadagrade.example/tier/storer"
)

// evacuationInterval is how often the leafs of a data centre that is evacuated, or returns, are
// looked at. It is short compared to the time in which they follow one another.
const evacuationInterval = 50 * tier.Millisecond

// isEvacuation reports whether a key of the store asks for the evacuation of a data centre, in a
// deployment that has evacuations.
func (e *Entry) isEvacuation(key string) bool {
	return strings.HasPrefix(key, platform.EvacuationsPrefix) && e.settings.Load().EvacuationBound() > 0
}

// readOperatorKeys reads what operators write to the store: the configuration and, in a
// deployment that has them, the evacuations, with one call.
func (e *Entry) readOperatorKeys(ctx context.Context) ([]storer.Value, int64, error) {
	if e.settings.Load().EvacuationBound() == 0 {
		configuration, at, err := e.store.GetWithRevision(ctx, platform.ConfigurationKey)
		if err != nil || !configuration.Present() {
			return nil, at, errors.Wrap(err, "Entry.readOperatorKeys")
		}
		return []storer.Value{configuration}, at, nil
	}
	list, at, err := e.store.ListWithRevision(ctx, platform.OperatorPrefix)
	if err != nil {
		return nil, 0, errors.Wrap(err, "Entry.readOperatorKeys")
	}
	known := list[:0]
	for _, c := range list {
		if c.Key() == platform.ConfigurationKey || e.isEvacuation(c.Key()) {
			known = append(known, c)
		}
	}
	return known, at, nil
}

// applyEvacuation applies the change of an evacuation, read at a revision. copied says that it was
// read from another VM, which names each key once, as it was at the revision. It reports false for
// a change that is older than what is known.
func (e *Entry) applyEvacuation(c storer.Value, revision int64, copied bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, leafs := e.clock.Now(), e.scheduler.Lister()
	dataCentre := strings.TrimPrefix(c.Key(), platform.EvacuationsPrefix)
	switch {
	case c.Present():
		if leafs.Evacuate(now, dataCentre, c.Revision()) {
			e.logEvacuation(dataCentre)
		}
	default:
		absentAt := int64(0)
		if copied {
			absentAt = revision
		}
		if leafs.EndEvacuation(now, dataCentre, absentAt) {
			e.logEvacuationEnd(dataCentre, revision)
		}
	}
	return leafs.EvacuationRevision(dataCentre) == c.Revision()
}

// replaceEvacuations replaces the evacuations by those of a list that was read at a revision. It
// returns the keys of those that are in force then: later ones that this VM has known before stay.
// The caller holds the lock.
func (e *Entry) replaceEvacuations(list []storer.Value, revision int64) []storer.Value {
	now, leafs := e.clock.Now(), e.scheduler.Lister()
	revisions := make(map[string]int64, len(list))
	for _, c := range list {
		revisions[strings.TrimPrefix(c.Key(), platform.EvacuationsPrefix)] = c.Revision()
	}
	begun, ended := leafs.ReplaceEvacuations(now, revisions, revision)
	for _, dataCentre := range begun {
		e.logEvacuation(dataCentre)
	}
	for _, dataCentre := range ended {
		e.logEvacuationEnd(dataCentre, revision)
	}
	inForce := map[string]storer.Value{}
	for _, c := range append(e.relayer.WithPrefix(platform.EvacuationsPrefix), list...) {
		if leafs.EvacuationRevision(strings.TrimPrefix(c.Key(), platform.EvacuationsPrefix)) == c.Revision() {
			inForce[c.Key()] = c
		}
	}
	kept := make([]storer.Value, 0, len(inForce))
	for _, c := range inForce {
		kept = append(kept, c)
	}
	return kept
}

// logEvacuation logs that the evacuation of a data centre comes into force. One that the settings
// do not list has no effect on the leafs of others.
func (e *Entry) logEvacuation(dataCentre string) {
	known := e.settings.Load().Region(dataCentre) != ""
	e.log.Info("evacuation-in-force", "data-centre", dataCentre, "known", known,
		"revision", e.scheduler.Lister().EvacuationRevision(dataCentre), "view-age-ms", int64(e.viewAge()))
}

func (e *Entry) logEvacuationEnd(dataCentre string, revision int64) {
	e.log.Info("evacuation-ended", "data-centre", dataCentre, "revision", revision, "view-age-ms", int64(e.viewAge()))
}

// RunEvacuations takes the leafs of evacuated data centres out of use, one after the other, and
// back into use when the evacuation ends, until ctx ends.
func (e *Entry) RunEvacuations(ctx context.Context) error {
	if e.settings.Load().EvacuationBound() == 0 {
		<-ctx.Done()
		return nil
	}
	return every(ctx, evacuationInterval, func() {
		e.mu.Lock()
		if !e.scheduler.Lister().Evacuating() {
			e.mu.Unlock()
			return
		}
		changes := e.tickLeafs()
		e.mu.Unlock()
		e.reportLeafs(changes)
	})
}

// retryAfter is when a caller may repeat a request that was not run. The second result is false if
// waiting does not help.
func retryAfter(outcome searcher.Outcome) (tier.Millis, bool) {
	wait := refusalRetryAfter
	switch {
	case outcome.Permanent():
		return 0, false
	case outcome.Unplaced():
		wait = shardOutageRetryAfter
	}
	spread := max(wait, retrySpread(outcome))
	return max(wait, outcome.RetryAfter()) + tier.Millis(rand.Int64N(int64(spread))), true
}
