package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/refresher"
	"cicadagrade.example/tier/storer"
)

// Timeouts of reads.
const (
	// storeCallTimeout bounds a call to the store. It is many times the usual 4 ms, and
	// short compared to the time within which a change must take effect.
	storeCallTimeout = 900 * tier.Millisecond
	// fetchTimeout bounds a call that fetches changes from another VM, and
	// fetchAllTimeout one that fetches its whole view.
	fetchTimeout    = 300 * tier.Millisecond
	fetchAllTimeout = 600 * tier.Millisecond
	// readAllTimeout bounds a read of the whole store. Each of its calls is bounded by
	// storeCallTimeout; a slow store takes as many times longer as the lists have pages.
	readAllTimeout = 8 * tier.Second
)

// errNoView is the error of a read from a VM that has no view itself.
var errNoView = errors.New("the VM has no view yet")

// RunRefresh keeps the view up to date until ctx ends.
func (e *Entry) RunRefresh(ctx context.Context) error {
	var reads sync.WaitGroup
	defer reads.Wait()
	ended := make(chan struct{}, 1) // a read has ended since the last step
	for ctx.Err() == nil {
		source, pause := e.nextRead()
		if source != nil {
			reads.Go(func() {
				e.carryOut(ctx, source)
				select {
				case ended <- struct{}{}:
				default:
				}
			})
			continue
		}
		timer := time.NewTimer(pause.Duration())
		select {
		case <-ctx.Done():
		case <-ended:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// nextRead returns the next source to read from, beside the reads in progress, or nil and how long to
// wait at most until the next step.
func (e *Entry) nextRead() (refresher.Source, tier.Millis) {
	e.mu.Lock()
	source := e.refresher.Next(e.clock.Now(), e.viewAge())
	e.mu.Unlock()
	switch source := source.(type) {
	case refresher.Pause:
		e.finishRefresh(source.Stale)
		e.logViewAge(e.viewAge())
		e.reading.step(e.clock.Now(), source.For)
		return nil, source.For
	case refresher.Wait:
		e.reading.step(e.clock.Now(), source.For)
		return nil, source.For
	}
	e.reading.step(e.clock.Now(), limitOf(source))
	return source, 0
}

// carryOut makes a read and tells the refresher of its end.
func (e *Entry) carryOut(ctx context.Context, source refresher.Source) {
	began := e.clock.Now()
	age, err := e.readFrom(ctx, source)
	now := e.clock.Now()
	e.reading.end(now, source, now-began, age, err)
	e.mu.Lock()
	switch {
	case errors.Is(err, errNoView):
		e.refresher.NoView(source)
	case err != nil:
		e.refresher.Failed(now, source)
	default:
		e.refresher.Succeeded(source, age)
	}
	loaded := e.refresher.Loaded()
	e.mu.Unlock()
	if loaded {
		e.loadedOnce.Do(func() { close(e.loaded) })
	}
}

// readFrom reads from a source and applies what it has. It returns the age of a view that
// another VM has sent.
func (e *Entry) readFrom(ctx context.Context, source refresher.Source) (tier.Millis, error) {
	switch source := source.(type) {
	case refresher.Store:
		return 0, e.readStore(ctx, source.Whole)
	case refresher.StoreVMs:
		return 0, e.readVMs(ctx)
	case refresher.Peer:
		return e.fetchFrom(ctx, source)
	case refresher.Seed:
		return 0, e.fetchVMs(ctx, source.Address)
	}
	return 0, errors.Errorf("Entry.readFrom: unknown source %T", source)
}

// readStore reads from the store, and logs when it stops answering.
func (e *Entry) readStore(ctx context.Context, whole bool) error {
	err := e.poll(ctx, whole)
	if err != nil && ctx.Err() == nil && !e.storeUnreachable.Swap(true) {
		e.log.Warn("store-lost", "error", err, "view-age-ms", int64(e.viewAge()))
	}
	return err
}

// poll reads the changes since the last read from the store, or the whole view if that is
// wanted, nothing has been read, or the changes can't be had: the store no longer has the history, or
// they are too many for a reply.
func (e *Entry) poll(ctx context.Context, whole bool) error {
	after := e.revision()
	if whole || after == 0 {
		return e.readAll(ctx)
	}
	start := e.clock.Now()
	changes, at, err := e.store.Changes(ctx, "", after, 0)
	var lost *platform.HistoryLostError
	var unusable *platform.ReplyError
	switch {
	case errors.As(err, &lost):
		e.log.Info("history-lost", "after", lost.After())
		return e.readAll(ctx)
	case errors.As(err, &unusable):
		// The pages of lists are bounded, changes are not.
		e.log.Warn("changes-unusable", "after", after, "error", err)
		return e.readAll(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "Entry.poll")
	}
	e.markStoreReachable()
	defer e.beginApply(storeSource)()
	if at < e.revision() {
		return nil // another VM has sent later changes in the meantime
	}
	for _, c := range changes {
		e.applyChange(c, at, false)
	}
	e.advanceView(at, start)
	return nil
}

// readAll reads the configuration and the evacuations of data centres, the leafs and what VMs
// keep in the store, at the same time. The three reads are not atomic, so later polls start at
// the revision of the earliest one.
func (e *Entry) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readAllTimeout.Duration())
	defer cancel()
	e.reading.whole.Store(true)
	start := e.clock.Now()
	var operator, leafs, state []storer.Value
	var at [3]int64
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		operator, at[0], err = e.readOperatorKeys(ctx)
		return err
	})
	g.Go(func() (err error) {
		leafs, at[1], err = e.store.ListWithRevision(ctx, platform.LeafsPrefix)
		return err
	})
	g.Go(func() (err error) {
		state, at[2], err = e.store.ListWithRevision(ctx, statePrefix)
		return err
	})
	if err := g.Wait(); err != nil {
		return errors.Wrap(err, "Entry.readAll")
	}
	for _, revision := range at {
		if revision != 0 && !platform.SameHistory(revision, at[1]) {
			return errors.Errorf("Entry.readAll: the store has returned from a copy between reads at %d and %d", at[1], revision)
		}
	}
	afterOutage := e.storeUnreachable.Load()
	e.markStoreReachable()
	list := slices.Concat(leafs, state, operator)
	revision := min(at[1], at[2])
	if at[0] != 0 {
		revision = min(revision, at[0])
	}
	defer e.beginApply(storeSource)()
	if revision < e.revision() {
		return nil // another VM has sent later changes in the meantime
	}
	e.replaceView(list, revision, afterOutage)
	e.advanceView(revision, start)
	return nil
}

// readVMs reads the list of registered VMs from the store. It may be seconds old: a VM that
// has gone does not answer, and one that is missing is not asked.
func (e *Entry) readVMs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	list, _, err := e.store.ListWithRevision(ctx, vmsPrefix, platform.AllowStale())
	if err != nil {
		return errors.Wrap(err, "Entry.readVMs")
	}
	e.markStoreReachable()
	e.addMembers(list)
	return nil
}

// fetchVMs asks a seed for the VMs that it knows.
func (e *Entry) fetchVMs(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	request := &gatherv1.FetchRequest{Name: e.settings.Load().Name(), VmsOnly: true}
	response, err := e.peers.clientOf(address).Fetch(ctx, connect.NewRequest(request))
	if err != nil {
		e.peers.drop(address)
		return errors.Wrap(err, "Entry.fetchVMs")
	}
	e.addMembers(decodeItems(response.Msg.GetItems()))
	return nil
}

// fetchFrom applies the changes that another VM has read since this VM's revision, or its
// whole view, and returns the view's age.
func (e *Entry) fetchFrom(ctx context.Context, source refresher.Peer) (tier.Millis, error) {
	e.mu.Lock()
	after := e.relayer.Revision()
	if e.viewDiffers {
		after = 0
	}
	e.mu.Unlock()
	timeout := fetchTimeout
	if after == 0 {
		timeout = fetchAllTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	vm := source.Member.VM()
	start := e.clock.Now()
	request := &gatherv1.FetchRequest{
		After: after, Name: e.settings.Load().Name(), Version: proto.Int64(e.versionInForce()),
		Levels: e.levelsForRelay(), Delays: e.leafDelays(),
	}
	response, err := e.peers.clientOf(vm.Address()).Fetch(ctx, connect.NewRequest(request))
	if err != nil {
		if ctx.Err() != nil || after == 0 {
			e.peers.drop(vm.Address())
		}
		if after != 0 {
			e.mu.Lock()
			e.scheduler.Partitioner().Failed(e.clock.Now(), vm.Name(), partitioner.FetchFailed)
			e.mu.Unlock()
		}
		e.log.RateLimitedInfo("fetch-failed", "peer", vm.Name(), "error", err)
		return 0, errors.Wrap(err, "Entry.fetchFrom")
	}
	reply := response.Msg
	e.mu.Lock()
	e.scheduler.Partitioner().Reached(vm.Name())
	e.mu.Unlock()
	e.hearLeafDelays(reply.GetDelays())
	if reply.GetRevision() == 0 {
		return 0, errors.Wrapf(errNoView, "Entry.fetchFrom %q", vm.Name())
	}
	defer e.beginApply(vm.Name())()
	defer e.compareVersions(vm.Name(), reply)
	asOf := refresher.AsOf(start, tier.Millis(reply.GetAgeMs()))
	if reply.GetRevision() < e.revision() {
		// It lacks changes that this VM has, so it is older, whatever age it tells: VMs that have not
		// seen the store return from a copy count on in the history before.
		return max(e.clock.Now()-asOf, e.viewAge()), nil
	}
	list := decodeItems(reply.GetItems())
	if reply.GetWhole() {
		e.replaceView(list, reply.GetRevision(), true)
	} else {
		for _, c := range list {
			e.applyChange(c, reply.GetRevision(), true)
		}
	}
	e.advanceView(reply.GetRevision(), asOf)
	e.mu.Lock()
	e.fleetHeard = int(reply.GetFleet())
	e.hearLevels(reply.GetLevels())
	differs := e.relayer.Revision() == reply.GetRevision() && e.relayer.KeyDigest() != reply.GetKeyDigest()
	e.viewDiffers = differs
	e.mu.Unlock()
	if differs {
		e.log.Warn("view-differs", "peer", vm.Name(), "revision", reply.GetRevision())
	}
	return e.clock.Now() - asOf, nil
}

// revision is the revision up to which this VM has read.
func (e *Entry) revision() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.relayer.Revision()
}

// storeSource names the store as the source of a view.
const storeSource = "store"

// beginApply waits until no other read changes the view, and returns a function that ends the change.
func (e *Entry) beginApply(source string) (end func()) {
	e.applyMu.Lock()
	e.applying = source
	return e.applyMu.Unlock
}

// decodeItems converts the items of another VM's reply.
func decodeItems(items []*gatherv1.Item) []storer.Value {
	list := make([]storer.Value, 0, len(items))
	for _, i := range items {
		list = append(list, storer.NewValue(i.GetKey(), i.GetValue(), i.GetRevision()))
	}
	return list
}

// Fetch returns the changes that this VM has read since the revision that the caller has.
func (p *peerService) Fetch(_ context.Context, c *connect.Request[gatherv1.FetchRequest]) (*connect.Response[gatherv1.FetchReply], error) {
	e := p.entry
	delays := e.leafDelays()
	e.hearLeafDelays(c.Msg.GetDelays())
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := &gatherv1.FetchReply{
		Delays: delays, Revision: e.relayer.Revision(), AgeMs: int64(e.viewAge()), Version: e.versionInForce(),
		Fleet: uint32(e.fleetSize()), KeyDigest: e.relayer.KeyDigest(),
	}
	if c.Msg.GetVmsOnly() {
		reply.Items = encodeItems(e.relayer.WithPrefix(vmsPrefix))
		return connect.NewResponse(reply), nil
	}
	if name := c.Msg.GetName(); name != "" && !e.scheduler.Partitioner().Has(name) {
		e.followers.Seen(e.clock.Now(), name)
	}
	e.hearLevels(c.Msg.GetLevels())
	reply.Levels = e.hotLevels()
	if reply.Revision != 0 && c.Msg.GetAfter() <= reply.Revision {
		list, whole := e.relayer.ChangesSince(c.Msg.GetAfter())
		reply.Whole = whole
		reply.Items = encodeItems(list)
	}
	e.addNewerConfiguration(c.Msg, reply)
	return connect.NewResponse(reply), nil
}

func encodeItems(list []storer.Value) []*gatherv1.Item {
	items := make([]*gatherv1.Item, 0, len(list))
	for _, v := range list {
		items = append(items, &gatherv1.Item{Key: v.Key(), Value: v.Data(), Revision: v.Revision()})
	}
	return items
}

// fleetSize estimates the number of VMs of the deployment: the registered ones, each with as
// many followers as this VM has. A VM that is not registered has it from the one that it
// follows.
func (e *Entry) fleetSize() int {
	p := e.scheduler.Partitioner()
	if !e.registered.Load() {
		return max(e.fleetHeard, p.MemberCount())
	}
	return p.MemberCount() * (1 + e.followers.Count(e.clock.Now()))
}

// isVMKey reports whether a key of the store is that of a VM's registration.
func isVMKey(key string) bool { return strings.HasPrefix(key, vmsPrefix) }
