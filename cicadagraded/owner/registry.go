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

// idleLimit is how long an owner without ownership and without work stays.
const idleLimit = 30 * tier.Second

// Registry holds the owners of this VM, one for each shard set that has
// backend servers in its data centre.
type Registry struct {
	id     Identity
	clock  *tier.Clock
	sets   func(name string) (*tier.ShardSet, bool)
	outlet Publisher
	mu     sync.Mutex
	owners map[string]*held
	group  *errgroup.Group
	ctx    context.Context
	calls  atomic.Uint64
}

// held is an owner with what the registry knows of it.
type held struct {
	owner  *Owner
	set    *tier.ShardSet
	owned  bool
	owners int
	index  int
	usedAt tier.Millis
	stop   context.CancelFunc
}

// NewRegistry returns a registry without owners. sets finds the sets in
// force.
func NewRegistry(ctx context.Context, id Identity, clock *tier.Clock, sets func(string) (*tier.ShardSet, bool), outlet Publisher) *Registry {
	group, inner := errgroup.WithContext(ctx)
	return &Registry{
		id: id, clock: clock, sets: sets, outlet: outlet,
		owners: map[string]*held{}, group: group, ctx: inner,
	}
}

// Search runs a part of a search on the owner of its set. A VM that does not
// think itself the owner runs it all the same: two VMs may disagree for a
// while, and the dispatcher of a new owner starts with a small share.
func (r *Registry) Search(ctx context.Context, set string, s Search) PartResult {
	o, ok := r.get(set)
	if !ok {
		return &NotRun{reason: tier.RefuseNoConfig}
	}
	return o.Search(ctx, s)
}

// Threshold is the threshold of admission of a set's owner here.
func (r *Registry) Threshold(set string) admitter.Threshold {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.owners[set]; ok {
		return h.owner.Threshold()
	}
	return admitter.AdmitAll()
}

// Book runs a booking on the owner of its set.
func (r *Registry) Book(ctx context.Context, set string, b Booking) PartResult {
	o, ok := r.get(set)
	if !ok {
		return &NotRun{reason: tier.RefuseNoConfig}
	}
	return o.Book(ctx, b)
}

// get returns the owner of a set and starts it if there is none.
func (r *Registry) get(name string) (*Owner, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h, ok := r.owners[name]; ok {
		h.usedAt = r.clock.Now()
		return h.owner, true
	}
	set, ok := r.sets(name)
	if !ok {
		return nil, false
	}
	return r.start(set).owner, true
}

func (r *Registry) start(set *tier.ShardSet) *held {
	ctx, cancel := context.WithCancel(r.ctx)
	o := New(r.id, r.clock, set, r.attempt, r.outlet)
	h := &held{owner: o, set: set, usedAt: r.clock.Now(), stop: cancel}
	r.owners[set.Name()] = h
	o.inbox.TryPush(&standbyMessage{})
	r.group.Go(func() error { return o.Run(ctx) })
	return h
}

// attempt returns the id of the next leaf call of this VM's life.
func (r *Registry) attempt() tier.AttemptID {
	return tier.NewAttemptID(r.id.vm, r.id.incarnation, r.calls.Add(1))
}

// Sync brings the owners in line with the sets in force and with the members:
// ownersOf lists the owners of a set in this data centre.
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
	for name, h := range r.owners {
		if !inForce[name] {
			h.owned = false
		}
		r.retire(name, h)
	}
	return nil
}

func (r *Registry) syncSet(ctx context.Context, set *tier.ShardSet, owners []tier.VM) error {
	index := -1
	for i, vm := range owners {
		if vm.Name() == r.id.vm {
			index = i
		}
	}
	h, running := r.owners[set.Name()]
	if !running && index < 0 {
		return nil
	}
	if !running {
		h = r.start(set)
	}
	lost := h.owned && index < 0
	h.owned = index >= 0
	if h.set != set {
		h.set = set
		if err := h.owner.SetChanged(ctx, set); err != nil {
			return err
		}
	}
	if lost {
		h.owners = 0
		return h.owner.StandBy(ctx)
	}
	if !h.owned || (h.owners == len(owners) && h.index == index) {
		return nil
	}
	h.owners, h.index = len(owners), index
	return h.owner.ShareChanged(ctx, len(owners), index)
}

// retire stops an owner that owns nothing and has had no work for a while.
func (r *Registry) retire(name string, h *held) {
	if h.owned {
		h.usedAt = r.clock.Now()
		return
	}
	if r.clock.Now()-h.usedAt > idleLimit {
		h.stop()
		delete(r.owners, name)
		r.outlet.WithdrawReport(name)
	}
}

// Statuses lists the status of every owner.
func (r *Registry) Statuses(ctx context.Context) []Status {
	r.mu.Lock()
	owners := make([]*held, 0, len(r.owners))
	for _, h := range r.owners {
		owners = append(owners, h)
	}
	r.mu.Unlock()
	var out []Status
	for _, h := range owners {
		if s, ok := h.owner.Status(ctx); ok {
			s.Owned = h.owned
			out = append(out, s)
		}
	}
	return out
}

// Wait waits until every owner has stopped.
func (r *Registry) Wait() error { return errors.Wrap(r.group.Wait(), "Registry.Wait") }
