package planner

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
)

// Event is an input of a plan: *PartReplied, *PartRefused, *PartFailed, *SetChanged,
// *CallerGone or *Tick.
type Event interface{ event() }

// HeldVersions lists the index versions of a shard that the backend servers of one data
// centre hold, and the epoch of the shard map under which they hold them.
type HeldVersions struct {
	shard    string
	epoch    tier.Epoch
	versions []tier.Version
}

// NewHeldVersions returns the versions of a shard that are held under an epoch.
func NewHeldVersions(shard string, e tier.Epoch, versions []tier.Version) HeldVersions {
	return HeldVersions{shard: shard, epoch: e, versions: versions}
}

// PartReplied reports that an owner answered a part.
type PartReplied struct {
	part      uint64
	snapshot  tier.Snapshot
	results   []merger.ShardResult
	held      []HeldVersions
	leafCalls int
}

// NewPartReplied returns the answer to a part: the snapshot that the owner served, the
// results of its shards, the versions that its servers now hold, and the number of
// leaf calls it made.
func NewPartReplied(part uint64, s tier.Snapshot, results []merger.ShardResult, held []HeldVersions, leafCalls int) *PartReplied {
	return &PartReplied{part: part, snapshot: s, results: results, held: held, leafCalls: leafCalls}
}

// PartRefused reports that a part was refused and not run.
type PartRefused struct {
	part       uint64
	reason     tier.RefuseReason
	retryAfter tier.Millis
}

// NewPartRefused returns the refusal of a part; retryAfter is 0 if it is not known.
func NewPartRefused(part uint64, reason tier.RefuseReason, retryAfter tier.Millis) *PartRefused {
	return &PartRefused{part: part, reason: reason, retryAfter: retryAfter}
}

// PartFailed reports that a part returned no result, though it may have run.
type PartFailed struct {
	part   uint64
	reason tier.MissReason
}

// NewPartFailed returns the failure of a part.
func NewPartFailed(part uint64, reason tier.MissReason) *PartFailed {
	return &PartFailed{part: part, reason: reason}
}

// SetChanged reports that a new shard map is in force.
type SetChanged struct{ set *tier.ShardSet }

// NewSetChanged returns the event of a new shard map.
func NewSetChanged(set *tier.ShardSet) *SetChanged { return &SetChanged{set: set} }

// CallerGone reports that the caller no longer waits for the answer.
type CallerGone struct{}

// Tick starts a plan, and later tells it that time has passed.
type Tick struct{}

func (*PartReplied) event() {}
func (*PartRefused) event() {}
func (*PartFailed) event()  {}
func (*SetChanged) event()  {}
func (*CallerGone) event()  {}
func (*Tick) event()        {}

// Action is an output of a plan: *SendPart, *CancelPart or *Finish.
type Action interface{ action() }

// SendPart asks the owner of a data centre for shards of one snapshot.
type SendPart struct {
	part       uint64
	dataCentre string
	shards     []string
	snapshot   tier.Snapshot
	deadline   tier.Millis
}

// Part is the part's number in its plan.
func (s *SendPart) Part() uint64 { return s.part }

// DataCentre is the data centre to which the part is sent.
func (s *SendPart) DataCentre() string { return s.dataCentre }

// Shards lists the ids of the requested shards.
func (s *SendPart) Shards() []string { return s.shards }

// Snapshot is the pinned snapshot.
func (s *SendPart) Snapshot() tier.Snapshot { return s.snapshot }

// Deadline is the time by which the owner has to answer, on the plan's clock. It lies
// before the plan's own deadline, so that a partial reply still arrives in time.
func (s *SendPart) Deadline() tier.Millis { return s.deadline }

// CancelPart says that a part's reply is no longer needed.
type CancelPart struct{ part uint64 }

// Part is the part's number in its plan.
func (c *CancelPart) Part() uint64 { return c.part }

// Finish ends the plan.
type Finish struct{ outcome tier.Outcome }

// Outcome is the outcome of the search.
func (f *Finish) Outcome() tier.Outcome { return f.outcome }

func (*SendPart) action()   {}
func (*CancelPart) action() {}
func (*Finish) action()     {}
