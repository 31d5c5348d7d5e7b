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

// Times of the view.
const (
	// pollInterval is how often the store, or the VM that is followed, is
	// asked for changes: leafs write all the time, so that a waiting call
	// would return at once anyhow.
	pollInterval = 450 * tier.Millisecond
	// pollJitter spreads the VMs' calls.
	pollJitter = 100 * tier.Millisecond
	// retryInterval is the pause after a call that failed.
	retryInterval = 200 * tier.Millisecond
	// callTimeout takes a connection for silent: many times the store's
	// usual 4 ms, and short beside the time in which a change has to hold.
	callTimeout = 900 * tier.Millisecond
	// fetchTimeout is the same for another VM.
	fetchTimeout = 300 * tier.Millisecond
	// fetchTries is how many VMs are asked if the store does not answer.
	fetchTries = 3
	// staleAfter is the age of the view from which on an unknown route is no
	// proof that there is none.
	staleAfter = 2 * tier.Second
	// followedAge is the oldest view that a followed VM may have: with it and
	// the own interval, changes are still in force in time.
	followedAge = 1600 * tier.Millisecond
	// isolatedAfter is the age of the view from which on a VM that no other VM
	// answers asks not to be sent callers.
	isolatedAfter = 2500 * tier.Millisecond
)

// view is what the loop remembers of its sources.
type view struct {
	read bool // everything has been read once
}

// RunRefresh keeps the view until ctx ends.
func (e *Entry) RunRefresh(ctx context.Context) error {
	v := &view{}
	for ctx.Err() == nil {
		pause := pollInterval
		if err := e.refresh(ctx, v); err != nil && ctx.Err() == nil {
			pause = retryInterval
		}
		e.settleView()
		select {
		case <-ctx.Done():
		case <-time.After((pause + tier.Millis(rand.Int64N(int64(pollJitter)))).Duration()):
		}
	}
	return nil
}

// refresh brings the view up to date: from a VM that watches the store, from
// the store, or, if it does not answer, from any VM.
func (e *Entry) refresh(ctx context.Context, v *view) error {
	if v.read {
		if m, ok := e.followed(); ok && e.follow(ctx, m, followedAge) == nil {
			return nil
		}
	}
	err := e.poll(ctx, v)
	if err == nil {
		return nil
	}
	if ctx.Err() == nil && !e.away.Swap(true) {
		e.log.Warn("store-lost", "error", err, "view-age-ms", int64(e.viewAge()))
	}
	e.mu.Lock()
	sound := e.core.Partitioner().HealthyPeers()
	e.mu.Unlock()
	rand.Shuffle(len(sound), func(i, j int) { sound[i], sound[j] = sound[j], sound[i] })
	for _, m := range sound[:min(len(sound), fetchTries)] {
		if e.follow(ctx, m, followedAge) == nil {
			v.read = true
			return nil
		}
	}
	e.mu.Lock()
	e.core.Lister().StoreUnavailable()
	e.mu.Unlock()
	return err
}

// followed picks the VM to follow, unless this one watches the store itself.
func (e *Entry) followed() (partitioner.Member, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.core.Partitioner()
	list := s.StoreWatchers()
	var near []partitioner.Member
	for _, m := range list {
		if m.VM().Name() == s.Self().VM().Name() {
			return partitioner.Member{}, false
		}
		if m.Region() == s.Self().Region() {
			near = append(near, m)
		}
	}
	if len(near) > 0 {
		list = near
	}
	if len(list) == 0 {
		return partitioner.Member{}, false
	}
	return list[rand.IntN(len(list))], true
}

// poll asks the store for what has changed, or for everything.
func (e *Entry) poll(ctx context.Context, v *view) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	e.mu.Lock()
	after := e.relayer.Revision()
	e.mu.Unlock()
	if after == 0 {
		return e.readAll(ctx, v)
	}
	changes, at, err := e.store.Changes(ctx, "", after, 0)
	var gone *platform.HistoryLostError
	if errors.As(err, &gone) {
		e.log.Info("history-lost", "after", gone.After())
		return e.readAll(ctx, v)
	}
	if err != nil {
		return errors.Wrap(err, "Entry.poll")
	}
	e.regained()
	for _, c := range changes {
		e.apply(c, at)
	}
	e.reached(at, 0)
	return nil
}

// readAll reads the configuration, the leafs and the VMs, and goes on with the
// changes since the first of these reads.
func (e *Entry) readAll(ctx context.Context, v *view) error {
	configuration, at, err := e.store.GetWithRevision(ctx, platform.ConfigurationKey)
	if err != nil {
		return errors.Wrap(err, "Entry.readAll")
	}
	list, listAt, err := e.store.ListWithRevision(ctx, platform.LeafsPrefix)
	if err != nil {
		return errors.Wrap(err, "Entry.readAll")
	}
	members, _, err := e.store.ListWithRevision(ctx, membersPrefix)
	if err != nil {
		return errors.Wrap(err, "Entry.readAll")
	}
	lapsed := e.away.Load()
	e.regained()
	v.read = true
	list = append(list, members...)
	if configuration.Present() {
		list = append(list, configuration)
	}
	if at == 0 {
		at = listAt
	}
	e.replace(list, min(at, listAt), lapsed)
	e.reached(min(at, listAt), 0)
	return nil
}

// follow takes what another VM has read since, if that is fresh enough.
func (e *Entry) follow(ctx context.Context, m partitioner.Member, oldest tier.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	e.mu.Lock()
	after := e.relayer.Revision()
	e.mu.Unlock()
	p, err := e.peers.at(m.VM().Address()).Fetch(ctx, connect.NewRequest(&gatherv1.FetchRequest{After: after}))
	if err != nil {
		if ctx.Err() != nil {
			e.peers.drop(m.VM().Address())
		}
		e.mu.Lock()
		e.core.Partitioner().Failed(e.clock.Now(), m.VM().Name())
		e.mu.Unlock()
		e.log.RateLimitedInfo("fetch-failed", "peer", m.VM().Name(), "error", err)
		return errors.Wrap(err, "Entry.follow")
	}
	reply := p.Msg
	age := tier.Millis(reply.GetAgeMs())
	if age > oldest {
		return errors.Errorf("Entry.follow: the view of %s is %d ms old", m.VM().Name(), age)
	}
	if reply.GetRevision() >= after {
		list := make([]storer.Value, 0, len(reply.GetItems()))
		for _, i := range reply.GetItems() {
			list = append(list, storer.NewValue(i.GetKey(), i.GetValue(), i.GetRevision()))
		}
		if reply.GetWhole() {
			e.replace(list, reply.GetRevision(), true)
		} else {
			for _, c := range list {
				e.apply(c, reply.GetRevision())
			}
		}
	}
	e.reached(reply.GetRevision(), age)
	return nil
}

// Fetch tells another VM what this one has read.
func (g *gatherer) Fetch(_ context.Context, c *connect.Request[gatherv1.FetchRequest]) (*connect.Response[gatherv1.FetchReply], error) {
	e := g.entry
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

// replace takes everything as of a revision. lapsed says that entries may be
// missing only because the store was away.
func (e *Entry) replace(list []storer.Value, revision int64, lapsed bool) {
	var entries []lister.Entry
	var members []storer.Value
	for _, c := range list {
		switch {
		case c.Key() == platform.ConfigurationKey:
			e.applyConfiguration(c)
		case strings.HasPrefix(c.Key(), platform.LeafsPrefix):
			entries = append(entries, e.decodeLeaf(c))
		case strings.HasPrefix(c.Key(), membersPrefix):
			members = append(members, c)
		}
	}
	e.mu.Lock()
	e.relayer.Replace(list, revision)
	e.core.Lister().Replace(e.clock.Now(), entries)
	e.mu.Unlock()
	e.replaceMembers(members, lapsed)
}

// apply takes one change, read at a revision.
func (e *Entry) apply(c storer.Value, revision int64) {
	notable := true
	switch {
	case c.Key() == platform.ConfigurationKey:
		if c.Present() {
			e.applyConfiguration(c)
		}
	case strings.HasPrefix(c.Key(), platform.LeafsPrefix):
		notable = e.applyLeaf(c)
	case strings.HasPrefix(c.Key(), membersPrefix):
		e.applyMember(c)
	default:
		return
	}
	e.mu.Lock()
	e.relayer.Put(c, revision, notable)
	e.mu.Unlock()
}

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
	e.core.Budgeter().ForgetUnused(e.clock.Now(), t.Uses)
	e.mu.Unlock()
	from := int64(0)
	if old != nil {
		from = old.Version()
	}
	e.log.Info("configuration-in-force", "version", t.Version(), "previous", from,
		"routes", t.Routes(), "revision", c.Revision())
}

func (e *Entry) decodeLeaf(c storer.Value) lister.Entry {
	entry, err := platform.DecodeLeaf(c.Key(), c.Data())
	if err != nil {
		e.log.RateLimitedInfo("leaf-entry-skipped", "key", c.Key(), "error", err)
	}
	return entry
}

// applyLeaf reports whether the change matters to what may be used.
func (e *Entry) applyLeaf(c storer.Value) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if !c.Present() {
		e.core.Lister().Remove(now, c.Key())
		return true
	}
	entry := e.decodeLeaf(c)
	changed := e.core.Lister().Put(now, entry)
	if entry.Readable() {
		e.core.Balancer().Registered(now, entry.Leaf())
	}
	return changed
}

// settleView logs what has changed, and drops what was kept of leafs that are
// gone.
func (e *Entry) settleView() {
	e.mu.Lock()
	e.core.Lister().Tick(e.clock.Now())
	e.core.Partitioner().Tick(e.clock.Now())
	changes := e.core.Lister().TakeChanges()
	for _, c := range changes {
		if c.State() == lister.StateGone {
			e.core.Balancer().Forget(c.Leaf().ID())
		}
	}
	isolated := e.viewAge() > isolatedAfter && e.core.Partitioner().MemberCount() > 1 && len(e.core.Partitioner().HealthyPeers()) == 0
	e.mu.Unlock()
	e.courier.CloseExpired()
	if e.isolated.Swap(isolated) != isolated {
		e.log.Info("isolation", "isolated", isolated, "view-age-ms", int64(e.viewAge()))
	}
	for _, c := range changes {
		if c.State() != lister.StateReady {
			e.courier.CloseIdle(c.Leaf().Address())
		}
	}
	e.logLeafs(changes)
}

// maxLeafLines is how many leafs of one state have a log line each at a time.
const maxLeafLines = 8

// logLeafs says what has become of leafs. Many at once, as when an index is cut
// anew, share a line.
func (e *Entry) logLeafs(changes []lister.Change) {
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

// regained says that the store has answered.
func (e *Entry) regained() {
	if e.away.Swap(false) {
		e.log.Info("store-regained", "view-age-ms", int64(e.viewAge()))
	}
}

// reached says that the view holds everything up to a revision, as of an age.
func (e *Entry) reached(revision int64, age tier.Millis) {
	e.mu.Lock()
	e.relayer.AdvanceTo(revision)
	e.mu.Unlock()
	if at := int64(e.clock.Now() - age); at > e.seen.Load() {
		e.seen.Store(at)
	}
}

// viewAge is the time since the store last answered this VM, or the one that
// it follows.
func (e *Entry) viewAge() tier.Millis { return e.clock.Now() - tier.Millis(e.seen.Load()) }
