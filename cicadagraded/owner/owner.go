// Package owner runs the parts of searches and the bookings of the shard sets that this
// VM owns. Each owner has one event loop, which drives the dispatcher of its shard set
// and the connections to the backend servers in its data centre.
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

const (
	inboxSize      = 8192 // messages
	reportInterval = 100 * tier.Millis(1)
	// firstProbeWait bounds how long the first parts of a new owner wait until each
	// backend server has been probed once.
	firstProbeWait = 500 * tier.Millis(1)
)

// Identity identifies the VM that an owner runs on: its name, data centre and
// incarnation.
type Identity struct {
	vm          string
	dataCentre  string
	incarnation tier.Incarnation
}

// NewIdentity returns the identity of an incarnation of a VM.
func NewIdentity(vm, dataCentre string, i tier.Incarnation) Identity {
	return Identity{vm: vm, dataCentre: dataCentre, incarnation: i}
}

// Owner runs searches and bookings on the backend servers of one shard set in one data
// centre.
type Owner struct {
	id    Identity
	name  string
	clock *tier.Clock
	inbox *queue.Queue[message]
	// threshold is the current admission threshold.
	threshold atomic.Pointer[admitter.Threshold]

	// The fields below belong to the event loop. Other goroutines use only ctx and
	// stopped.
	set                    *tier.ShardSet
	dispatcher             *dispatcher.Dispatcher
	parts                  map[uint64]*part
	partByResult           map[chan PartResult]uint64
	calls                  map[uint64]*call
	pools                  map[string]*workerPool
	probers                map[string]*prober.Prober
	holdings               map[holdingKey][]tier.Version
	unprobed               map[string]bool  // backend servers without a finished probe
	waitingParts           []*submitMessage // parts that wait for these probes
	firstProbeDeadline     tier.Millis      // when the parts stop waiting
	pendingCancels         []pendingCancel  // by time, earliest first
	deferred               []message        // messages of the loop to itself
	lastPart               uint64
	rejectedReplies        uint64
	newAttemptID           func() tier.AttemptID
	group                  *errgroup.Group
	ctx                    context.Context
	stopped                chan struct{} // closed when the event loop has ended
	publisher              Publisher
	ownerIndex             int // among the VMs that share the slots; negative while on standby
	lastReport             Report
	lastThresholdRestricts bool        // the threshold published last does not admit all
	lastThresholdAt        tier.Millis // when a threshold was last published
	reportAt               tier.Millis
}

// holdingKey identifies a shard, under an epoch of the shard map, on a backend server.
type holdingKey struct {
	server string
	shard  string
	epoch  tier.Epoch
}

// part is a submitted part of a search, or a booking, that has not ended.
type part struct {
	number   uint64
	snapshot tier.Snapshot
	term     string
	booking  *Booking
	calls    []uint64
	result   chan PartResult
}

// Publisher publishes what owners learn about their shard sets. Its methods are called from
// the owners' event loops and must not block.
type Publisher interface {
	// PublishReport publishes which index versions the backend servers of a set hold. Index is
	// that of the owner among the VMs that share the slots of the set, or negative if
	// the owner is on standby.
	PublishReport(set string, r Report, index int)
	// PublishThreshold publishes the admission threshold of a set.
	PublishThreshold(set string, t admitter.Threshold)
	// WithdrawReport withdraws the report and the threshold of a set whose owner has ended.
	WithdrawReport(set string)
	// BackendChanged reports a new state of a backend server. Reason names the observation
	// behind the change.
	BackendChanged(set, server string, s tier.BackendState, reason string)
}

// New returns an owner of a shard set, on standby. NewAttemptID returns a new id for each
// leaf call.
func New(id Identity, clock *tier.Clock, set *tier.ShardSet, newAttemptID func() tier.AttemptID, publisher Publisher) *Owner {
	return &Owner{
		id:                 id,
		name:               set.Name(),
		clock:              clock,
		inbox:              queue.New[message](inboxSize),
		set:                set,
		dispatcher:         dispatcher.New(set, id.dataCentre, dispatcher.WithSeed(uint64(id.incarnation))),
		parts:              map[uint64]*part{},
		partByResult:       map[chan PartResult]uint64{},
		newAttemptID:       newAttemptID,
		stopped:            make(chan struct{}),
		calls:              map[uint64]*call{},
		pools:              map[string]*workerPool{},
		holdings:           map[holdingKey][]tier.Version{},
		unprobed:           map[string]bool{},
		firstProbeDeadline: clock.Now() + firstProbeWait,
		publisher:          publisher,
		ownerIndex:         -1,
		probers:            map[string]*prober.Prober{},
	}
}

// Threshold is the current admission threshold.
func (o *Owner) Threshold() admitter.Threshold {
	if t := o.threshold.Load(); t != nil {
		return *t
	}
	return admitter.AdmitAll()
}

// Search is a part of a search: the shards to query in one data centre.
type Search struct {
	profile  *tier.Profile
	snapshot tier.Snapshot
	shards   []string
	term     string
	deadline tier.Millis
}

// NewSearch returns a part of a search. The deadline is a time of the VM's clock.
func NewSearch(p *tier.Profile, s tier.Snapshot, shards []string, term string, deadline tier.Millis) Search {
	return Search{profile: p, snapshot: s, shards: shards, term: term, deadline: deadline}
}

// Profile is the caller's profile.
func (s Search) Profile() *tier.Profile { return s.profile }

// Snapshot is the snapshot that the search is pinned to.
func (s Search) Snapshot() tier.Snapshot { return s.snapshot }

// Shards are the ids of the shards to query.
func (s Search) Shards() []string { return s.shards }

// Term is the search term.
func (s Search) Term() string { return s.term }

// Deadline is the time on the VM's clock by which the part has to end.
func (s Search) Deadline() tier.Millis { return s.deadline }

// Booking is a non-idempotent request: it must run at most once.
type Booking struct {
	profile   *tier.Profile
	shard     string
	recordKey string
	body      string
	deadline  tier.Millis
}

// NewBooking returns a booking on one shard. The deadline is a time of the VM's clock.
func NewBooking(p *tier.Profile, shard, recordKey, body string, deadline tier.Millis) Booking {
	return Booking{profile: p, shard: shard, recordKey: recordKey, body: body, deadline: deadline}
}

// PartResult is the result of a part: *Done, *NotRun or *Unknown.
type PartResult interface{ partResult() }

// Done is the result of a part that ran.
type Done struct {
	results    []merger.ShardResult
	holdings   []HeldVersions
	receipt    string
	leafCalls  int
	extraCalls int
}

// Results are the results of the shards of a search.
func (d *Done) Results() []merger.ShardResult { return d.results }

// Holdings lists the index versions that the backend servers hold of the shards without
// records.
func (d *Done) Holdings() []HeldVersions { return d.holdings }

// Receipt is the receipt of a booking.
func (d *Done) Receipt() string { return d.receipt }

// LeafCalls is the number of leaf calls that were made.
func (d *Done) LeafCalls() int { return d.leafCalls }

// ExtraCalls is the number of leaf calls that were hedges or retries.
func (d *Done) ExtraCalls() int { return d.extraCalls }

// NewDone returns the result of a part of a search that ran.
func NewDone(results []merger.ShardResult, holdings []HeldVersions, leafCalls, extraCalls int) *Done {
	return &Done{results: results, holdings: holdings, leafCalls: leafCalls, extraCalls: extraCalls}
}

// NotRun is the result of a part that no backend server ran.
type NotRun struct {
	reason     tier.RefuseReason
	retryAfter tier.Millis
}

// NewNotRun returns the result of a part that no backend server ran.
func NewNotRun(r tier.RefuseReason, retryAfter tier.Millis) *NotRun {
	return &NotRun{reason: r, retryAfter: retryAfter}
}

// Reason is the reason why the part was refused.
func (n *NotRun) Reason() tier.RefuseReason { return n.reason }

// RetryAfter is the time after which a retry may succeed, or 0 if it is not known.
func (n *NotRun) RetryAfter() tier.Millis { return n.retryAfter }

// Unknown is the result of a part that may have run, in full or in part.
type Unknown struct{ reason tier.UnknownReason }

// Reason is the reason why the result is unknown.
func (u *Unknown) Reason() tier.UnknownReason { return u.reason }

func (*Done) partResult()    {}
func (*NotRun) partResult()  {}
func (*Unknown) partResult() {}

// Search runs a part of a search and returns its result. If ctx ends first, the part is
// cancelled.
func (o *Owner) Search(ctx context.Context, s Search) PartResult {
	m := &submitMessage{search: &s, result: make(chan PartResult, 1)}
	if err := o.inbox.Push(ctx, m); err != nil {
		return &NotRun{reason: tier.RefuseOverload}
	}
	select {
	case e := <-m.result:
		return e
	case <-ctx.Done():
		o.inbox.TryPush(&cancelMessage{result: m.result})
	case <-o.stopped:
	}
	return &Unknown{reason: tier.UnknownDeadline}
}

// Book runs a booking at most once and returns its result. If ctx ends before the booking
// was sent to a backend server, it is not sent. If it was sent, it ends with the reply or
// at its deadline.
func (o *Owner) Book(ctx context.Context, b Booking) PartResult {
	m := &submitMessage{booking: &b, result: make(chan PartResult, 1)}
	if err := o.inbox.Push(ctx, m); err != nil {
		return &NotRun{reason: tier.RefuseOverload}
	}
	select {
	case e := <-m.result:
		return e
	case <-ctx.Done():
		o.inbox.TryPush(&cancelMessage{result: m.result})
	case <-o.stopped:
	}
	select {
	case e := <-m.result:
		return e
	case <-o.stopped:
		return &Unknown{reason: tier.UnknownLostReply}
	}
}

// SetChanged replaces the configuration of the owner's shard set.
func (o *Owner) SetChanged(ctx context.Context, s *tier.ShardSet) error {
	return errors.Wrap(o.inbox.Push(ctx, &setMessage{set: s}), "Owner.SetChanged")
}

// ShareChanged makes the owner use its share of the slots of the backend servers, as the
// VM with that index among owners VMs.
func (o *Owner) ShareChanged(ctx context.Context, owners, index int) error {
	return errors.Wrap(o.inbox.Push(ctx, &slotShareMessage{owners: owners, index: index}), "Owner.ShareChanged")
}

// StandBy puts the owner on standby: this VM does not own the shard set any more.
func (o *Owner) StandBy(ctx context.Context) error {
	return errors.Wrap(o.inbox.Push(ctx, &standbyMessage{}), "Owner.StandBy")
}
