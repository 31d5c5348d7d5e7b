package owner

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
)

// idleTimeout is how long an owner keeps running while its VM does not own the set and no
// request uses it.
const idleTimeout = 30 * tier.Second

// Registry manages the owners that run on this VM, at most one for each shard set. It is
// safe for concurrent use.
type Registry struct {
	id        Identity
	clock     *tier.Clock
	sets      func(name string) (*tier.ShardSet, bool)
	publisher Publisher
	mu        sync.Mutex
	owners    map[string]*registryEntry
	group     *errgroup.Group
	ctx       context.Context
	lastCall  atomic.Uint64
}

// registryEntry is an owner and its state in the registry.
type registryEntry struct {
	owner      *Owner
	set        *tier.ShardSet
	owned      bool
	ownerCount int
	index      int
	lastUsed   tier.Millis
	stop       context.CancelFunc
}

// NewRegistry returns a registry without owners, which stop when ctx ends. Sets looks up
// a shard set in the configuration in force.
func NewRegistry(ctx context.Context, id Identity, clock *tier.Clock, sets func(string) (*tier.ShardSet, bool), publisher Publisher) *Registry {
	group, groupCtx := errgroup.WithContext(ctx)
	return &Registry{
		id: id, clock: clock, sets: sets, publisher: publisher,
		owners: map[string]*registryEntry{}, group: group, ctx: groupCtx,
	}
}

// Search runs a part of a search on this VM's owner of the set, and starts that owner if
// there is none. The part runs even if this VM is not an owner of the set in its own
// view: the views of two VMs may differ for a while, and an owner that starts on standby
// uses at most one slot of each backend server.
func (r *Registry) Search(ctx context.Context, set string, s Search) PartResult {
	o, ok := r.get(set)
	if !ok {
		return &NotRun{reason: tier.RefuseNoConfig}
	}
	return o.Search(ctx, s)
}

// Threshold is the admission threshold of this VM's owner of a set. Without an owner it
// admits all.
func (r *Registry) Threshold(set string) admitter.Threshold {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.owners[set]; ok {
		return e.owner.Threshold()
	}
	return admitter.AdmitAll()
}

// Book runs a booking on this VM's owner of the set, as Search does.
func (r *Registry) Book(ctx context.Context, set string, b Booking) PartResult {
	o, ok := r.get(set)
	if !ok {
		return &NotRun{reason: tier.RefuseNoConfig}
	}
	return o.Book(ctx, b)
}

// get returns the owner of a set. It starts one if there is none; it returns false if the
// set is not in force.
func (r *Registry) get(name string) (*Owner, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.owners[name]; ok {
		e.lastUsed = r.clock.Now()
		return e.owner, true
	}
	set, ok := r.sets(name)
	if !ok {
		return nil, false
	}
	return r.start(set).owner, true
}

// start starts an owner of a set, on standby. The caller holds mu.
func (r *Registry) start(set *tier.ShardSet) *registryEntry {
	ctx, cancel := context.WithCancel(r.ctx)
	o := New(r.id, r.clock, set, r.newAttemptID, r.publisher)
	e := &registryEntry{owner: o, set: set, lastUsed: r.clock.Now(), stop: cancel}
	r.owners[set.Name()] = e
	o.inbox.TryPush(&standbyMessage{})
	r.group.Go(func() error { return o.Run(ctx) })
	return e
}

// newAttemptID returns the id of a new leaf call, which is unique for this incarnation of
// the VM.
func (r *Registry) newAttemptID() tier.AttemptID {
	return tier.NewAttemptID(r.id.vm, r.id.incarnation, r.lastCall.Add(1))
}

// Sync starts, updates and stops owners to match the sets in force and the members.
// OwnersOf lists the VMs that own a set in this data centre.
func (r *Registry) Sync(ctx context.Context, sets []*tier.ShardSet, ownersOf func(set *tier.ShardSet) []tier.VM) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	inForce := map[string]bool{}
	for _, set := range sets {
		inForce[set.Name()] = true
		if err := r.syncSet(ctx, set, ownersOf(set)); err != nil {
			return errors.Wrap(err, "Registry.Sync")
		}
	}
	for name, e := range r.owners {
		if !inForce[name] {
			e.owned = false
		}
		r.retire(name, e)
	}
	return nil
}

// syncSet updates the owner of a set, and starts one if this VM is among the owners of
// the set. The caller holds mu.
func (r *Registry) syncSet(ctx context.Context, set *tier.ShardSet, owners []tier.VM) error {
	index := -1
	for i, vm := range owners {
		if vm.Name() == r.id.vm {
			index = i
		}
	}
	e, running := r.owners[set.Name()]
	if !running && index < 0 {
		return nil
	}
	if !running {
		e = r.start(set)
	}
	lostOwnership := e.owned && index < 0
	e.owned = index >= 0
	if e.set != set {
		e.set = set
		if err := e.owner.SetChanged(ctx, set); err != nil {
			return err
		}
	}
	if lostOwnership {
		e.ownerCount = 0
		return e.owner.StandBy(ctx)
	}
	if !e.owned || (e.ownerCount == len(owners) && e.index == index) {
		return nil
	}
	e.ownerCount, e.index = len(owners), index
	return e.owner.ShareChanged(ctx, len(owners), index)
}

// retire stops an owner whose VM does not own the set and that was not used for
// idleTimeout.
func (r *Registry) retire(name string, e *registryEntry) {
	if e.owned {
		e.lastUsed = r.clock.Now()
		return
	}
	if r.clock.Now()-e.lastUsed > idleTimeout {
		e.stop()
		delete(r.owners, name)
		r.publisher.WithdrawReport(name)
	}
}

// Statuses returns the status of every owner.
func (r *Registry) Statuses(ctx context.Context) []Status {
	r.mu.Lock()
	owners := make([]*registryEntry, 0, len(r.owners))
	for _, e := range r.owners {
		owners = append(owners, e)
	}
	r.mu.Unlock()
	var out []Status
	for _, e := range owners {
		if s, ok := e.owner.Status(ctx); ok {
			s.Owned = e.owned
			out = append(out, s)
		}
	}
	return out
}

// Wait waits until every owner has stopped.
func (r *Registry) Wait() error { return errors.Wrap(r.group.Wait(), "Registry.Wait") }
