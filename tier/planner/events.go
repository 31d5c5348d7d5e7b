package planner

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
)

// Event is what a plan is told: *PartReplied, *PartRefused, *PartFailed,
// *SetChanged, *CallerGone or *Tick.
type Event interface{ event() }

// Held says which index versions of a shard the servers of one data centre
// hold, under which epoch of the shard map.
type Held struct {
	shard    string
	epoch    tier.Epoch
	versions []tier.Version
}

// NewHeld returns what is held of a shard.
func NewHeld(shard string, e tier.Epoch, versions []tier.Version) Held {
	return Held{shard: shard, epoch: e, versions: versions}
}

// PartReplied says that an owner answered a part.
type PartReplied struct {
	part      uint64
	snapshot  tier.Snapshot
	results   []merger.ShardResult
	held      []Held
	leafCalls int
}

// NewPartReplied returns the answer to a part: the snapshot that the owner
// served, the results of its shards, what its servers hold now and how many
// leaf calls it made.
func NewPartReplied(part uint64, s tier.Snapshot, results []merger.ShardResult, held []Held, leafCalls int) *PartReplied {
	return &PartReplied{part: part, snapshot: s, results: results, held: held, leafCalls: leafCalls}
}

// PartRefused says that a part was not run.
type PartRefused struct {
	part       uint64
	reason     tier.RefuseReason
	retryAfter tier.Millis
}

// NewPartRefused returns the refusal of a part; retryAfter is 0 when no time
// can be told.
func NewPartRefused(part uint64, reason tier.RefuseReason, retryAfter tier.Millis) *PartRefused {
	return &PartRefused{part: part, reason: reason, retryAfter: retryAfter}
}

// PartFailed says that a part brought nothing, though it may have run.
type PartFailed struct {
	part   uint64
	reason tier.MissReason
}

// NewPartFailed returns the failure of a part.
func NewPartFailed(part uint64, reason tier.MissReason) *PartFailed {
	return &PartFailed{part: part, reason: reason}
}

// SetChanged says that a new shard map is in force.
type SetChanged struct{ set *tier.ShardSet }

// NewSetChanged returns the change to a new map.
func NewSetChanged(set *tier.ShardSet) *SetChanged { return &SetChanged{set: set} }

// CallerGone says that nobody waits for the answer any more.
type CallerGone struct{}

// Tick starts a plan and tells it the time.
type Tick struct{}

func (*PartReplied) event() {}
func (*PartRefused) event() {}
func (*PartFailed) event()  {}
func (*SetChanged) event()  {}
func (*CallerGone) event()  {}
func (*Tick) event()        {}

// Action is what a plan wants done: *SendPart, *CancelPart or *Finish.
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

// DataCentre is where the part goes.
func (s *SendPart) DataCentre() string { return s.dataCentre }

// Shards are the ids of the wanted shards.
func (s *SendPart) Shards() []string { return s.shards }

// Snapshot is the pinned snapshot.
func (s *SendPart) Snapshot() tier.Snapshot { return s.snapshot }

// Deadline is when the owner has to be done, on the plan's clock. It lies
// before the plan's own, so that a partial reply still arrives.
func (s *SendPart) Deadline() tier.Millis { return s.deadline }

// CancelPart says that a part's reply is no longer wanted.
type CancelPart struct{ part uint64 }

// Part is the part's number in its plan.
func (c *CancelPart) Part() uint64 { return c.part }

// Finish ends the plan.
type Finish struct{ outcome tier.Outcome }

// Outcome is the end of the request.
func (f *Finish) Outcome() tier.Outcome { return f.outcome }

func (*SendPart) action()   {}
func (*CancelPart) action() {}
func (*Finish) action()     {}
