package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/storer"
)

// Times of the view.
const (
	// pollInterval is how often the store is asked for changes: leafs write
	// all the time, so that a waiting call would return at once anyhow.
	pollInterval = 500 * tier.Millisecond
	// pollJitter spreads the VMs' calls.
	pollJitter = 100 * tier.Millisecond
	// retryInterval is the pause after a call that failed.
	retryInterval = 250 * tier.Millisecond
	// callTimeout takes a connection for silent: many times the store's
	// usual 4 ms, and short beside the time in which a change has to hold.
	callTimeout = 900 * tier.Millisecond
	// storeDialTimeout is the longest wait for a connection to the store.
	storeDialTimeout = 700 * tier.Millisecond
	// staleAfter is the age of the view from which on an unknown route is no
	// proof that there is none.
	staleAfter = 2 * tier.Second
)

// view is what has been read of the store.
type view struct {
	revision int64
	listed   bool
	away     bool
}

// RunView keeps the view until ctx ends.
func (e *Entry) RunView(ctx context.Context) error {
	v := &view{}
	for ctx.Err() == nil {
		err := e.poll(ctx, v)
		pause := pollInterval + tier.Millis(rand.Int64N(int64(pollJitter)))
		if err != nil && ctx.Err() == nil {
			e.lost(v, err)
			pause = retryInterval + tier.Millis(rand.Int64N(int64(pollJitter)))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
	}
	return nil
}

// poll reads everything, or what has changed since.
func (e *Entry) poll(ctx context.Context, v *view) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	if !v.listed {
		return e.readAll(ctx, v)
	}
	changes, at, err := e.store.Changes(ctx, "", v.revision, 0)
	var gone *platform.HistoryLostError
	if errors.As(err, &gone) {
		e.log.State("history-lost", "after", gone.After())
		v.listed = false
		return e.readAll(ctx, v)
	}
	if err != nil {
		return errors.Wrap(err, "Entry.poll")
	}
	e.regained(v)
	for _, c := range changes {
		e.apply(c)
	}
	v.revision = at
	e.settleView()
	return nil
}

// readAll reads the configuration and all leafs, and goes on with the changes
// since the first of the reads.
func (e *Entry) readAll(ctx context.Context, v *view) error {
	configuration, at, err := e.store.GetAt(ctx, platform.ConfigurationKey)
	if err != nil {
		return errors.Wrap(err, "Entry.readAll")
	}
	leafs, listAt, err := e.store.ListAt(ctx, platform.LeafsPrefix)
	if err != nil {
		return errors.Wrap(err, "Entry.readAll")
	}
	members, membersAt, err := e.store.ListAt(ctx, membersPrefix)
	if err != nil {
		return errors.Wrap(err, "Entry.readAll")
	}
	wasAway := v.away
	e.regained(v)
	if configuration.Present() {
		e.applyConfiguration(configuration)
	}
	entries := make([]lister.Entry, 0, len(leafs))
	for _, l := range leafs {
		entries = append(entries, e.decodeLeaf(l))
	}
	e.mu.Lock()
	now := e.clock.Now()
	e.core.Lister().Replace(now, entries)
	e.mu.Unlock()
	e.settleView()
	e.replaceMembers(members, wasAway)
	if at == 0 {
		at = listAt
	}
	v.revision, v.listed = min(at, listAt, membersAt), true
	return nil
}

func (e *Entry) apply(c storer.Value) {
	switch {
	case c.Key() == platform.ConfigurationKey:
		if c.Present() {
			e.applyConfiguration(c)
		}
	case strings.HasPrefix(c.Key(), platform.LeafsPrefix):
		e.applyLeaf(c)
	case strings.HasPrefix(c.Key(), membersPrefix):
		e.applyMember(c)
	}
}

func (e *Entry) applyConfiguration(c storer.Value) {
	t, err := platform.DecodeConfiguration(c.Data())
	if err != nil {
		e.log.Fault("configuration-unreadable", "revision", c.Revision(), "error", err)
		return
	}
	old := e.table.Load()
	if old != nil && t.Version() <= old.Version() {
		return
	}
	e.table.Store(t)
	from := int64(0)
	if old != nil {
		from = old.Version()
	}
	e.log.State("configuration-in-force", "version", t.Version(), "previous", from,
		"routes", t.Routes(), "revision", c.Revision())
}

func (e *Entry) decodeLeaf(c storer.Value) lister.Entry {
	entry, err := platform.DecodeLeaf(c.Key(), c.Data())
	if err != nil {
		e.log.Request("leaf-entry-skipped", "key", c.Key(), "error", err)
	}
	return entry
}

func (e *Entry) applyLeaf(c storer.Value) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if !c.Present() {
		e.core.Lister().Remove(now, c.Key())
		return
	}
	entry := e.decodeLeaf(c)
	e.core.Lister().Put(now, entry)
	if entry.Readable() {
		e.core.Balancer().Heard(now, entry.Leaf())
	}
}

// settleView logs what has changed, and drops what was kept of leafs that are
// gone.
func (e *Entry) settleView() {
	e.mu.Lock()
	e.core.Lister().Tick(e.clock.Now())
	e.core.Sharer().Tick(e.clock.Now())
	e.courier.Sweep()
	changes := e.core.Lister().Changes()
	for _, c := range changes {
		if c.State() == lister.StateGone {
			e.core.Balancer().Forget(c.Leaf().ID())
		}
	}
	e.mu.Unlock()
	for _, c := range changes {
		if c.State() != lister.StateReady {
			e.courier.Drop(c.Leaf().Address())
		}
		e.log.State("leaf-"+c.State(), "leaf", c.Leaf().ID(), "service", c.Leaf().Service(),
			"address", c.Leaf().Address(), "data-centre", c.Leaf().DataCentre())
	}
}

func (e *Entry) lost(v *view, err error) {
	if v.away {
		return
	}
	v.away = true
	e.mu.Lock()
	e.core.Lister().Lost()
	e.mu.Unlock()
	e.log.Fault("store-lost", "error", err, "view-age-ms", e.viewAge())
}

func (e *Entry) regained(v *view) {
	if v.away {
		v.away = false
		e.log.State("store-regained", "away-ms", e.viewAge())
	}
	e.seen.Store(int64(e.clock.Now()))
}

// viewAge is the time since the store last answered.
func (e *Entry) viewAge() tier.Millis { return e.clock.Now() - tier.Millis(e.seen.Load()) }
