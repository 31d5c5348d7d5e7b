package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/storer"
)

// Intervals and timeouts for keeping the view up to date.
const (
	// pollInterval is how often the store, or a VM that watches it, is polled for
	// changes. Long polling would save nothing: leafs write so often that a waiting
	// call would return at once.
	pollInterval = 450 * tier.Millisecond
	// pollJitter bounds the random delay that spreads the polls of all VMs.
	pollJitter = 100 * tier.Millisecond
	// pollRetryInterval is the pause after a failed poll.
	pollRetryInterval = 200 * tier.Millisecond
	// storeCallTimeout bounds a call to the store. It is many times the usual 4 ms, and
	// short compared to the time within which a change must take effect.
	storeCallTimeout = 900 * tier.Millisecond
	// fetchTimeout bounds a call that fetches another VM's view.
	fetchTimeout = 300 * tier.Millisecond
	// maxFetchPeers is how many VMs are asked for their view if the store does not answer.
	maxFetchPeers = 3
	// staleViewAge is the age above which the view may miss a new route, so that a
	// request without a matching route gets a 503 instead of a 404.
	staleViewAge = 2 * tier.Second
	// maxPeerViewAge is the greatest age at which another VM's view is accepted.
	// Even with this VM's poll interval added, changes still take effect in time.
	maxPeerViewAge = 1600 * tier.Millisecond
	// isolationViewAge is the age of the view above which a VM fails its readiness
	// check if no other VM answers it.
	isolationViewAge = 2500 * tier.Millisecond
)

// refreshState is the state that the refresh loop keeps between rounds.
type refreshState struct {
	loaded bool // the whole view has been read once
}

// RunRefresh keeps the view up to date until ctx ends.
func (e *Entry) RunRefresh(ctx context.Context) error {
	state := &refreshState{}
	for ctx.Err() == nil {
		pause := pollInterval
		if err := e.refresh(ctx, state); err != nil && ctx.Err() == nil {
			pause = pollRetryInterval
		}
		e.finishRefresh()
		select {
		case <-ctx.Done():
		case <-time.After((pause + tier.Millis(rand.Int64N(int64(pollJitter)))).Duration()):
		}
	}
	return nil
}

// refresh updates the view from another VM that watches the store. It reads the store
// itself if this VM is a watcher, no watcher is known, nothing has been read yet, or the
// watcher fails. If the store fails too, it asks up to maxFetchPeers other VMs.
func (e *Entry) refresh(ctx context.Context, state *refreshState) error {
	if state.loaded {
		if m, ok := e.pickWatcher(); ok && e.fetchFrom(ctx, m, maxPeerViewAge) == nil {
			return nil
		}
	}
	err := e.poll(ctx, state)
	if err == nil {
		return nil
	}
	if ctx.Err() == nil && !e.storeUnreachable.Swap(true) {
		e.log.Warn("store-lost", "error", err, "view-age-ms", int64(e.viewAge()))
	}
	e.mu.Lock()
	healthy := e.scheduler.Partitioner().HealthyPeers()
	e.mu.Unlock()
	rand.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
	for _, m := range healthy[:min(len(healthy), maxFetchPeers)] {
		if e.fetchFrom(ctx, m, maxPeerViewAge) == nil {
			state.loaded = true
			return nil
		}
	}
	e.mu.Lock()
	e.scheduler.Lister().StoreUnavailable()
	e.mu.Unlock()
	return err
}

// pickWatcher picks at random a VM that watches the store, preferably in this VM's region.
// It returns false if this VM is a watcher itself or none is known.
func (e *Entry) pickWatcher() (partitioner.Member, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.scheduler.Partitioner()
	list := p.StoreWatchers()
	var sameRegion []partitioner.Member
	for _, m := range list {
		if m.VM().Name() == p.Self().VM().Name() {
			return partitioner.Member{}, false
		}
		if m.Region() == p.Self().Region() {
			sameRegion = append(sameRegion, m)
		}
	}
	if len(sameRegion) > 0 {
		list = sameRegion
	}
	if len(list) == 0 {
		return partitioner.Member{}, false
	}
	return list[rand.IntN(len(list))], true
}

// poll reads the changes since the last read from the store, or the whole view if nothing
// has been read or the store no longer has the history.
func (e *Entry) poll(ctx context.Context, state *refreshState) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	e.mu.Lock()
	after := e.relayer.Revision()
	e.mu.Unlock()
	if after == 0 {
		return e.readAll(ctx, state)
	}
	changes, at, err := e.store.Changes(ctx, "", after, 0)
	var lost *platform.HistoryLostError
	if errors.As(err, &lost) {
		e.log.Info("history-lost", "after", lost.After())
		return e.readAll(ctx, state)
	}
	if err != nil {
		return errors.Wrap(err, "Entry.poll")
	}
	e.markStoreReachable()
	for _, c := range changes {
		e.applyChange(c, at)
	}
	e.advanceView(at, 0)
	return nil
}

// readAll reads the configuration, the leafs and the VMs from the store. The three reads
// are not atomic, so later polls start at the revision of the earliest one.
func (e *Entry) readAll(ctx context.Context, state *refreshState) error {
	configuration, at, err := e.store.GetWithRevision(ctx, platform.ConfigurationKey)
	if err != nil {
		return errors.Wrap(err, "Entry.readAll")
	}
	list, listAt, err := e.store.ListWithRevision(ctx, platform.LeafsPrefix)
	if err != nil {
		return errors.Wrap(err, "Entry.readAll")
	}
	members, _, err := e.store.ListWithRevision(ctx, vmsPrefix)
	if err != nil {
		return errors.Wrap(err, "Entry.readAll")
	}
	afterOutage := e.storeUnreachable.Load()
	e.markStoreReachable()
	state.loaded = true
	list = append(list, members...)
	if configuration.Present() {
		list = append(list, configuration)
	}
	if at == 0 {
		at = listAt
	}
	e.replaceView(list, min(at, listAt), afterOutage)
	e.advanceView(min(at, listAt), 0)
	return nil
}

// fetchFrom applies the changes that another VM has read since this VM's revision, unless
// the other VM's view is older than maxAge.
func (e *Entry) fetchFrom(ctx context.Context, m partitioner.Member, maxAge tier.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	e.mu.Lock()
	after := e.relayer.Revision()
	e.mu.Unlock()
	response, err := e.peers.clientOf(m.VM().Address()).Fetch(ctx, connect.NewRequest(&gatherv1.FetchRequest{After: after}))
	if err != nil {
		if ctx.Err() != nil {
			e.peers.drop(m.VM().Address())
		}
		e.mu.Lock()
		e.scheduler.Partitioner().Failed(e.clock.Now(), m.VM().Name())
		e.mu.Unlock()
		e.log.RateLimitedInfo("fetch-failed", "peer", m.VM().Name(), "error", err)
		return errors.Wrap(err, "Entry.fetchFrom")
	}
	reply := response.Msg
	age := tier.Millis(reply.GetAgeMs())
	if age > maxAge {
		return errors.Errorf("Entry.fetchFrom: the view of %s is %d ms old", m.VM().Name(), age)
	}
	if reply.GetRevision() >= after {
		list := make([]storer.Value, 0, len(reply.GetItems()))
		for _, i := range reply.GetItems() {
			list = append(list, storer.NewValue(i.GetKey(), i.GetValue(), i.GetRevision()))
		}
		if reply.GetWhole() {
			e.replaceView(list, reply.GetRevision(), true)
		} else {
			for _, c := range list {
				e.applyChange(c, reply.GetRevision())
			}
		}
	}
	e.advanceView(reply.GetRevision(), age)
	return nil
}

// Fetch returns the changes that this VM has read since the revision that the caller has.
func (p *peerService) Fetch(_ context.Context, c *connect.Request[gatherv1.FetchRequest]) (*connect.Response[gatherv1.FetchReply], error) {
	e := p.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := &gatherv1.FetchReply{Revision: e.relayer.Revision(), AgeMs: int64(e.viewAge())}
	if reply.Revision == 0 || c.Msg.GetAfter() > reply.Revision {
		return connect.NewResponse(reply), nil
	}
	list, whole := e.relayer.ChangesSince(c.Msg.GetAfter())
	reply.Whole = whole
	for _, v := range list {
		reply.Items = append(reply.Items, &gatherv1.Item{Key: v.Key(), Value: v.Data(), Revision: v.Revision()})
	}
	return connect.NewResponse(reply), nil
}

// replaceView replaces the whole view by a list read at a revision. afterOutage says that
// entries may be missing because they could not be renewed while the store was unreachable.
func (e *Entry) replaceView(list []storer.Value, revision int64, afterOutage bool) {
	var entries []lister.Entry
	var members []storer.Value
	for _, c := range list {
		switch {
		case c.Key() == platform.ConfigurationKey:
			e.applyConfiguration(c)
		case strings.HasPrefix(c.Key(), platform.LeafsPrefix):
			entries = append(entries, e.decodeLeaf(c))
		case strings.HasPrefix(c.Key(), vmsPrefix):
			members = append(members, c)
		}
	}
	e.mu.Lock()
	e.relayer.Replace(list, revision)
	e.scheduler.Lister().Replace(e.clock.Now(), entries)
	e.mu.Unlock()
	e.replaceMembers(members, afterOutage)
}

// applyChange applies one changed key, read at a revision, to the view.
func (e *Entry) applyChange(c storer.Value, revision int64) {
	affectsUse := true
	switch {
	case c.Key() == platform.ConfigurationKey:
		if c.Present() {
			e.applyConfiguration(c)
		}
	case strings.HasPrefix(c.Key(), platform.LeafsPrefix):
		affectsUse = e.applyLeaf(c)
	case strings.HasPrefix(c.Key(), vmsPrefix):
		e.applyMember(c)
	default:
		return
	}
	e.mu.Lock()
	e.relayer.Put(c, revision, affectsUse)
	e.mu.Unlock()
}

// applyConfiguration replaces the routing table by that of a configuration, unless it can't
// be decoded or its version is not newer.
func (e *Entry) applyConfiguration(c storer.Value) {
	t, err := platform.DecodeConfiguration(c.Data())
	if err != nil {
		e.log.Warn("configuration-unreadable", "revision", c.Revision(), "error", err)
		return
	}
	old := e.table.Load()
	if old != nil && t.Version() <= old.Version() {
		return
	}
	e.table.Store(t)
	e.mu.Lock()
	e.scheduler.Budgeter().ForgetUnused(e.clock.Now(), t.Uses)
	e.mu.Unlock()
	previous := int64(0)
	if old != nil {
		previous = old.Version()
	}
	e.log.Info("configuration-in-force", "version", t.Version(), "previous", previous,
		"routes", t.RouteCount(), "revision", c.Revision())
}

// decodeLeaf decodes a leaf's registration. If that fails, it logs the error and returns an
// unreadable entry.
func (e *Entry) decodeLeaf(c storer.Value) lister.Entry {
	entry, err := platform.DecodeLeaf(c.Key(), c.Data())
	if err != nil {
		e.log.RateLimitedInfo("leaf-entry-skipped", "key", c.Key(), "error", err)
	}
	return entry
}

// applyLeaf applies the change of a leaf's registration and reports whether it affects
// which leafs can be called, and how.
func (e *Entry) applyLeaf(c storer.Value) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if !c.Present() {
		e.scheduler.Lister().Remove(now, c.Key())
		return true
	}
	entry := e.decodeLeaf(c)
	changed := e.scheduler.Lister().Put(now, entry)
	if entry.Readable() {
		e.scheduler.Balancer().Registered(now, entry.Leaf())
	}
	return changed
}

// finishRefresh expires old entries, drops the state of removed leafs, closes idle
// connections that expired or whose leaf is not ready, updates whether this VM is isolated,
// and logs the changes of leafs.
func (e *Entry) finishRefresh() {
	e.mu.Lock()
	e.scheduler.Lister().Tick(e.clock.Now())
	e.scheduler.Partitioner().Tick(e.clock.Now())
	changes := e.scheduler.Lister().TakeChanges()
	for _, c := range changes {
		if c.State() == lister.StateGone {
			e.scheduler.Balancer().Forget(c.Leaf().ID())
		}
	}
	isolated := e.viewAge() > isolationViewAge && e.scheduler.Partitioner().MemberCount() > 1 && len(e.scheduler.Partitioner().HealthyPeers()) == 0
	e.mu.Unlock()
	e.leafClient.CloseExpired()
	if e.isolated.Swap(isolated) != isolated {
		e.log.Info("isolation", "isolated", isolated, "view-age-ms", int64(e.viewAge()))
	}
	for _, c := range changes {
		if c.State() != lister.StateReady {
			e.leafClient.CloseIdle(c.Leaf().Address())
		}
	}
	e.logLeafChanges(changes)
}

// maxLeafLines is how many leafs of one state get their own log line in one refresh.
const maxLeafLines = 8

// logLeafChanges logs the new states of leafs. Many leafs with the same state, as after a
// resharding of an index, share a line.
func (e *Entry) logLeafChanges(changes []lister.Change) {
	byState := map[string][]lister.Leaf{}
	for _, c := range changes {
		byState[c.State()] = append(byState[c.State()], c.Leaf())
	}
	for state, leafs := range byState {
		if len(leafs) > maxLeafLines {
			var ids strings.Builder
			for _, f := range leafs {
				ids.WriteString(f.ID() + "@" + f.Service() + " ")
			}
			e.log.Info("leafs-"+state, "count", len(leafs), "leafs", strings.TrimSpace(ids.String()))
			continue
		}
		for _, f := range leafs {
			e.log.Info("leaf-"+state, "leaf", f.ID(), "service", f.Service(),
				"address", f.Address(), "data-centre", f.DataCentre())
		}
	}
}

// markStoreReachable records that the store has answered, and logs the end of an outage.
func (e *Entry) markStoreReachable() {
	if e.storeUnreachable.Swap(false) {
		e.log.Info("store-regained", "view-age-ms", int64(e.viewAge()))
	}
}

// advanceView records that the view holds all changes up to a revision, as the store had
// them age ago.
func (e *Entry) advanceView(revision int64, age tier.Millis) {
	e.mu.Lock()
	e.relayer.AdvanceTo(revision)
	e.mu.Unlock()
	if at := int64(e.clock.Now() - age); at > e.storeAnsweredAt.Load() {
		e.storeAnsweredAt.Store(at)
	}
}

// viewAge is the time since the store last answered this VM, or the VM from which this one
// fetched its view.
func (e *Entry) viewAge() tier.Millis { return e.clock.Now() - tier.Millis(e.storeAnsweredAt.Load()) }
