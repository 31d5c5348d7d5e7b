// Package owner runs the parts of queries that this VM owns: one event loop
// for each shard set drives its dispatcher and the links to its backend
// servers.
package owner

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
	"cicadagrade.example/tier/dispatcher"
	"cicadagrade.example/tier/merger"
	"cicadagrade.example/tier/prober"
	"cicadagrade.example/tier/queue"
)

// Sizes of an owner's rings and the pace of its reports.
const (
	inboxSize      = 8192
	reportInterval = 100 * tier.Millis(1)
	// warmLimit is how long a new owner's first parts wait for the health of
	// its servers.
	warmLimit = 500 * tier.Millis(1)
)

// Identity says which life of which VM an owner runs on.
type Identity struct {
	vm          string
	dataCentre  string
	incarnation tier.Incarnation
}

// NewIdentity returns the identity of a VM's life.
func NewIdentity(vm, dataCentre string, i tier.Incarnation) Identity {
	return Identity{vm: vm, dataCentre: dataCentre, incarnation: i}
}

// Owner is the owner of one shard set in one data centre.
type Owner struct {
	id    Identity
	name  string
	clock *tier.Clock
	inbox *queue.Queue[message]
	// threshold is the present threshold of admission.
	threshold atomic.Pointer[admitter.Threshold]

	// The rest belongs to the loop.
	set       *tier.ShardSet
	core      *dispatcher.Dispatcher
	parts     map[uint64]*part
	byEnd     map[chan PartResult]uint64
	calls     map[uint64]*call
	lanes     map[string]*lane
	probers   map[string]*prober.Prober
	holdings  map[holdingKey][]tier.Version
	unheard   map[string]bool  // servers whose health has not been read yet
	early     []*submitMessage // parts that wait for it
	warmAt    tier.Millis      // when they wait no longer
	cancels   []pendingCancel  // the earliest first
	deferred  []message        // what the loop told itself
	lastPart  uint64
	rejected  uint64
	attempt   func() tier.AttemptID
	group     *errgroup.Group
	ctx       context.Context
	stopped   chan struct{} // closed when the loop has ended
	outlet    Publisher
	index     int // among those that split the slots; negative: stands by
	published Report
	pressed   bool        // a threshold that holds back was given out last
	pressedAt tier.Millis // when a threshold was given out last
	reportAt  tier.Millis
}

// holdingKey names what a server may hold.
type holdingKey struct {
	server string
	shard  string
	epoch  tier.Epoch
}

// part is a part of a query while it runs.
type part struct {
	number   uint64
	snapshot tier.Snapshot
	term     string
	booking  *Booking
	calls    []uint64
	end      chan PartResult
}

// Publisher is told what owners find out. Its methods are called from owners'
// loops and do not wait.
type Publisher interface {
	// PublishReport takes what the servers of a set hold. The owner is the index-th of
	// those that split its slots, or negative if it only stands by.
	PublishReport(set string, r Report, index int)
	// PublishThreshold takes a set's threshold of admission.
	PublishThreshold(set string, t admitter.Threshold)
	// WithdrawReport says that the owner of a set ended.
	WithdrawReport(set string)
	// BackendChanged takes a change of a backend server's state, with its sign.
	BackendChanged(set, server string, s tier.BackendState, reason string)
}

// New returns an owner of a set, which stands by at first. attempt returns a
// fresh id for each leaf call.
func New(id Identity, clock *tier.Clock, set *tier.ShardSet, attempt func() tier.AttemptID, outlet Publisher) *Owner {
	return &Owner{
		id:       id,
		name:     set.Name(),
		clock:    clock,
		inbox:    queue.New[message](inboxSize),
		set:      set,
		core:     dispatcher.New(set, id.dataCentre, dispatcher.WithSeed(uint64(id.incarnation))),
		parts:    map[uint64]*part{},
		byEnd:    map[chan PartResult]uint64{},
		attempt:  attempt,
		stopped:  make(chan struct{}),
		calls:    map[uint64]*call{},
		lanes:    map[string]*lane{},
		holdings: map[holdingKey][]tier.Version{},
		unheard:  map[string]bool{},
		warmAt:   clock.Now() + warmLimit,
		outlet:   outlet,
		index:    -1,
		probers:  map[string]*prober.Prober{},
	}
}

// Threshold is the present threshold of admission.
func (o *Owner) Threshold() admitter.Threshold {
	if t := o.threshold.Load(); t != nil {
		return *t
	}
	return admitter.AdmitAll()
}

// Search is one part of a search.
type Search struct {
	profile  *tier.Profile
	snapshot tier.Snapshot
	shards   []string
	term     string
	deadline tier.Millis
}

// NewSearch returns a part of a search, with an absolute deadline.
func NewSearch(p *tier.Profile, s tier.Snapshot, shards []string, term string, deadline tier.Millis) Search {
	return Search{profile: p, snapshot: s, shards: shards, term: term, deadline: deadline}
}

// Profile is the caller's profile.
func (s Search) Profile() *tier.Profile { return s.profile }

// Snapshot is the pinned snapshot.
func (s Search) Snapshot() tier.Snapshot { return s.snapshot }

// Shards are the ids of the wanted shards.
func (s Search) Shards() []string { return s.shards }

// Term is what is searched for.
func (s Search) Term() string { return s.term }

// Deadline is absolute.
func (s Search) Deadline() tier.Millis { return s.deadline }

// Booking is a request that may not be repeated.
type Booking struct {
	profile   *tier.Profile
	shard     string
	recordKey string
	body      string
	deadline  tier.Millis
}

// NewBooking returns a booking on one shard, with an absolute deadline.
func NewBooking(p *tier.Profile, shard, recordKey, body string, deadline tier.Millis) Booking {
	return Booking{profile: p, shard: shard, recordKey: recordKey, body: body, deadline: deadline}
}

// PartResult is the end of a part: *Done, *NotRun or *Unsure.
type PartResult interface{ end() }

// Done is a part that ran.
type Done struct {
	results    []merger.ShardResult
	held       []HeldVersions
	receipt    string
	calls      int
	extraCalls int
}

// Results are those of the part's shards.
func (d *Done) Results() []merger.ShardResult { return d.results }

// Holdings is what the owner's servers hold now of the part's shards.
func (d *Done) Holdings() []HeldVersions { return d.held }

// Receipt is that of a booking.
func (d *Done) Receipt() string { return d.receipt }

// LeafCalls is how many leaf calls the part made.
func (d *Done) LeafCalls() int { return d.calls }

// ExtraCalls is how many of them were hedges or retries.
func (d *Done) ExtraCalls() int { return d.extraCalls }

// NewDone returns a part that ran.
func NewDone(results []merger.ShardResult, held []HeldVersions, calls, extraCalls int) *Done {
	return &Done{results: results, held: held, calls: calls, extraCalls: extraCalls}
}

// NotRun is a part of which nothing was run.
type NotRun struct {
	reason     tier.RefuseReason
	retryAfter tier.Millis
}

// NewNotRun returns the end of a part of which nothing was run.
func NewNotRun(r tier.RefuseReason, retryAfter tier.Millis) *NotRun {
	return &NotRun{reason: r, retryAfter: retryAfter}
}

// Reason says why.
func (n *NotRun) Reason() tier.RefuseReason { return n.reason }

// RetryAfter is when a new try may succeed, or 0.
func (n *NotRun) RetryAfter() tier.Millis { return n.retryAfter }

// Unknown is a booking that may have run.
type Unknown struct{ reason tier.UnknownReason }

// Reason says why it can't be told.
func (u *Unknown) Reason() tier.UnknownReason { return u.reason }

func (*Done) end()    {}
func (*NotRun) end()  {}
func (*Unknown) end() {}

// Search runs a part of a search and returns its end. When ctx ends first
// the part is cancelled.
func (o *Owner) Search(ctx context.Context, s Search) PartResult {
	m := &submitMessage{search: &s, end: make(chan PartResult, 1)}
	if err := o.inbox.Push(ctx, m); err != nil {
		return &NotRun{reason: tier.RefuseOverload}
	}
	select {
	case e := <-m.end:
		return e
	case <-ctx.Done():
		o.inbox.TryPush(&cancelMessage{end: m.end})
	case <-o.stopped:
	}
	return &Unknown{reason: tier.UnknownDeadline}
}

// Book runs a booking, at most once, and returns its end. When ctx ends, a
// booking that was not sent yet is not sent any more; one that was sent ends
// with its reply or at its deadline.
func (o *Owner) Book(ctx context.Context, b Booking) PartResult {
	m := &submitMessage{booking: &b, end: make(chan PartResult, 1)}
	if err := o.inbox.Push(ctx, m); err != nil {
		return &NotRun{reason: tier.RefuseOverload}
	}
	select {
	case e := <-m.end:
		return e
	case <-ctx.Done():
		o.inbox.TryPush(&cancelMessage{end: m.end})
	case <-o.stopped:
	}
	select {
	case e := <-m.end:
		return e
	case <-o.stopped:
		return &Unknown{reason: tier.UnknownLostReply}
	}
}

// SetChanged tells the owner of a new description of its set.
func (o *Owner) SetChanged(ctx context.Context, s *tier.ShardSet) error {
	return errors.Wrap(o.inbox.Push(ctx, &setMessage{set: s}), "Owner.SetChanged")
}

// ShareChanged tells the owner how many VMs split the set's slots.
func (o *Owner) ShareChanged(ctx context.Context, owners, index int) error {
	return errors.Wrap(o.inbox.Push(ctx, &shareMessage{owners: owners, index: index}), "Owner.ShareChanged")
}

// StandBy tells the owner that another VM owns the set.
func (o *Owner) StandBy(ctx context.Context) error {
	return errors.Wrap(o.inbox.Push(ctx, &standbyMessage{}), "Owner.StandBy")
}
