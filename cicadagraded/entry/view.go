package entry

import (
	"slices"
	"strings"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/authenticator"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/storer"
)

// Ages of the view.
const (
	// staleViewAge is the age above which the view may miss a new route, so that a
	// request without a matching route gets a 503 instead of a 404.
	staleViewAge = 2 * tier.Second
	// isolationViewAge is the age of the view above which a VM fails its readiness
	// check if no other VM answers it.
	isolationViewAge = 2500 * tier.Millisecond
)

// replaceView replaces the whole view by a list read at a revision. afterOutage says that
// entries may be missing because they could not be renewed while the store was unreachable.
func (e *Entry) replaceView(list []storer.Value, revision int64, afterOutage bool) {
	if e.followReturn(revision) {
		afterOutage = true
	}
	var entries []lister.Entry
	var members []storer.Value
	var evacuations []storer.Value
	kept := make([]storer.Value, 0, len(list))
	hasConfiguration := false
	for _, c := range list {
		c = e.redactKeys(c)
		switch {
		case c.Key() == platform.ConfigurationKey:
			hasConfiguration = true
			if e.applyConfiguration(c) {
				c = e.configurationInForce(c.Revision())
			}
		case strings.HasPrefix(c.Key(), platform.LeafsPrefix):
			entry := e.decodeLeaf(c)
			entries = append(entries, entry)
			if !entry.Readable() {
				continue
			}
		case isVMKey(c.Key()):
			members = append(members, c)
		case strings.HasPrefix(c.Key(), crashesPrefix):
			e.applyCrash(c)
		case e.isEvacuation(c.Key()):
			evacuations = append(evacuations, c)
			continue
		}
		kept = append(kept, c)
	}
	if c := e.configurationInForce(revision); !hasConfiguration && c.Present() {
		kept = append(kept, c)
	}
	e.mu.Lock()
	kept = append(kept, e.replaceEvacuations(evacuations, revision)...)
	e.relayer.Replace(kept, revision)
	registered := slices.DeleteFunc(slices.Clone(entries), func(l lister.Entry) bool { return !e.scheduler.Lister().IsNewer(l) })
	e.scheduler.Lister().Replace(e.clock.Now(), entries)
	e.registerLeafs(registered)
	e.mu.Unlock()
	e.replaceMembers(members, afterOutage)
}

// applyChange applies one changed key, read at a revision, to the view. copied says that it
// was read from another VM.
func (e *Entry) applyChange(c storer.Value, revision int64, copied bool) {
	affectsUse := true
	c = e.redactKeys(c)
	switch {
	case c.Key() == platform.ConfigurationKey:
		if c.Present() && e.applyConfiguration(c) {
			c = e.configurationInForce(c.Revision())
		}
	case strings.HasPrefix(c.Key(), platform.LeafsPrefix):
		affectsUse = e.applyLeaf(c)
	case isVMKey(c.Key()):
		e.applyMember(c)
	case strings.HasPrefix(c.Key(), crashesPrefix):
		e.applyCrash(c)
	case e.isEvacuation(c.Key()):
		if !e.applyEvacuation(c, revision, copied) {
			return
		}
	default:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if copied {
		e.relayer.Copy(c, revision)
		return
	}
	e.relayer.Put(c, revision, affectsUse)
}

// followReturn handles a view that begins another history of the store, and reports whether this one
// does: the store has returned from a copy, which may lack what leafs and VMs have written since, and
// have what was removed.
func (e *Entry) followReturn(revision int64) bool {
	e.mu.Lock()
	have := e.relayer.Revision()
	if have == 0 || platform.SameHistory(have, revision) {
		e.mu.Unlock()
		return false
	}
	e.scheduler.Lister().StoreReturned()
	e.mu.Unlock()
	e.log.Warn("store-returned-from-copy", "revision", revision, "previous", have, "source", e.applying)
	return true
}

// configurationInForce is the configuration that other VMs get from this one, with a revision: that in
// force, though a store that has returned from a copy may have an older one. It is absent if this VM
// has none.
func (e *Entry) configurationInForce(revision int64) storer.Value {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.relayer.Value(platform.ConfigurationKey); c.Present() {
		return storer.NewValue(c.Key(), c.Data(), revision)
	}
	return storer.NewValue(platform.ConfigurationKey, nil, 0)
}

// applyConfiguration replaces the routing table by that of a configuration, unless it can't
// be decoded or its version is not newer. It reports whether it is older than the one in force.
func (e *Entry) applyConfiguration(c storer.Value) bool {
	t, err := platform.DecodeConfiguration(c.Data())
	if err != nil {
		e.log.Warn("configuration-unreadable", "revision", c.Revision(), "error", err)
		return false
	}
	old := e.table.Load()
	if old != nil && t.Version() <= old.Version() {
		return t.Version() < old.Version()
	}
	keys := authenticator.New(e.keySecret, t.Organisations())
	e.table.Store(t, keys)
	e.mu.Lock()
	e.scheduler.Budgeter().ForgetUnused(e.clock.Now(), t.Uses)
	e.scheduler.SetShards(t.IsShard)
	e.mu.Unlock()
	previous := int64(0)
	if old != nil {
		previous = old.Version()
	}
	e.log.Info("configuration-in-force", "version", t.Version(), "previous", previous,
		"routes", t.RouteCount(), "revision", c.Revision(), "source", e.applying, "view-age-ms", int64(e.viewAge()))
	e.logOrganisations(t, keys)
	return false
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
	if entry.Readable() && e.scheduler.Balancer().Registered(now, entry.Leaf()) {
		return true // VMs that copy this view need to know that the leaf is cold again
	}
	return changed
}

// finishRefresh expires old entries, drops the state of removed leafs, closes idle
// connections that expired or whose leaf is not ready, updates whether this VM is isolated,
// and logs the changes of leafs. stale says that the view could not be refreshed.
func (e *Entry) finishRefresh(stale bool) {
	e.mu.Lock()
	if stale {
		e.scheduler.Lister().StoreUnavailable()
	}
	e.scheduler.Budgeter().SetVMs(max(minBudgetVMs, e.fleetSize()))
	e.scheduler.SetFleetSize(e.fleetSize())
	e.refresher.SetFleetSize(e.fleetSize())
	e.scheduler.SetContact(e.clock.Now(), e.registered.Load(), e.viewAge() > isolationViewAge)
	changes := e.tickLeafs()
	e.scheduler.Quarantiner().Tick(e.clock.Now())
	e.scheduler.Partitioner().Tick(e.clock.Now())
	isolated := e.viewAge() > isolationViewAge && e.scheduler.Partitioner().MemberCount() > 1 && len(e.scheduler.Partitioner().ReachablePeers()) == 0
	e.mu.Unlock()
	e.leafClient.CloseExpired()
	if e.isolated.Swap(isolated) != isolated {
		e.log.Info("isolation", "isolated", isolated, "view-age-ms", int64(e.viewAge()))
	}
	e.reportLeafs(changes)
}

// tickLeafs continues what takes time in the list of leafs, and drops the state of removed ones.
// It returns the changes since the last call, for reportLeafs. The caller holds the lock.
func (e *Entry) tickLeafs() []lister.Change {
	e.scheduler.Lister().Tick(e.clock.Now())
	changes := e.scheduler.Lister().TakeChanges()
	last := make(map[string]string, len(changes)) // states by id: a leaf that was gone may have registered again
	for _, c := range changes {
		last[c.Leaf().ID()] = c.State()
	}
	for _, c := range changes {
		switch c.State() {
		case lister.StateGone:
			if last[c.Leaf().ID()] == lister.StateGone {
				e.scheduler.Balancer().Forget(c.Leaf().ID())
			}
		case lister.StateReturned:
			// The leafs of an evacuated data centre are cold when it returns.
			if t := e.table.Load(); t != nil && t.Service(c.Leaf().Service()).ColdPerSecond() > 0 {
				e.scheduler.Balancer().TurnedCold(e.clock.Now(), c.Leaf(), t.Service(c.Leaf().Service()).ColdFor())
			}
		}
	}
	return changes
}

// reportLeafs logs the changes of leafs and closes the idle connections to those that are not
// ready.
func (e *Entry) reportLeafs(changes []lister.Change) {
	for _, c := range changes {
		if c.State() != lister.StateReady && c.State() != lister.StateReturned {
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

// advanceView records that the view holds all changes up to a revision, as the store had them at
// a time. A view of an earlier revision says nothing about the age of this one. The caller has begun to
// apply it.
func (e *Entry) advanceView(revision int64, asOf tier.Millis) {
	e.mu.Lock()
	older := revision < e.relayer.Revision()
	e.relayer.AdvanceTo(revision)
	e.mu.Unlock()
	if older {
		return
	}
	if int64(asOf) >= e.storeAnsweredAt.Load() {
		e.storeAnsweredAt.Store(int64(asOf))
		e.viewOrigin.Store(&viewOrigin{source: e.applying, revision: revision})
	}
}

// viewOrigin is where the content and the age of the view are from.
type viewOrigin struct {
	source   string // a VM's name, or storeSource
	revision int64
}

// viewAge is the time since the store last answered this VM, or the VM from which this one
// fetched its view.
func (e *Entry) viewAge() tier.Millis { return e.clock.Now() - tier.Millis(e.storeAnsweredAt.Load()) }
