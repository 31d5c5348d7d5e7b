package dispatcher

import "cicadagrade.example/tier"

// Action is what a dispatcher asks of its shell: *Call, *CancelCall,
// *PartDone, *PartRefused or *PartUnknown.
type Action interface{ action() }

// Call asks for a leaf call.
type Call struct {
	attempt  uint64
	part     uint64
	shard    string
	server   string
	snapshot tier.Snapshot
	deadline tier.Millis
}

// Attempt numbers the call; no other call of this dispatcher has the number.
func (c *Call) Attempt() uint64 { return c.attempt }

// Part is the number of the part it is made for.
func (c *Call) Part() uint64 { return c.part }

// Shard is the id of the shard to search.
func (c *Call) Shard() string { return c.shard }

// Server names the backend server to call.
func (c *Call) Server() string { return c.server }

// Snapshot is the pinned snapshot.
func (c *Call) Snapshot() tier.Snapshot { return c.snapshot }

// Deadline is the absolute time at which the reply is of no more use.
func (c *Call) Deadline() tier.Millis { return c.deadline }

// CancelCall says that a call's reply is of no more use.
type CancelCall struct{ attempt uint64 }

// Attempt is the number of the call.
func (c *CancelCall) Attempt() uint64 { return c.attempt }

// Winner names the leaf call whose reply counts for a shard.
type Winner struct {
	shard   string
	attempt uint64
}

// Shard is the id of the shard.
func (w Winner) Shard() string { return w.shard }

// Attempt is the number of the call.
func (w Winner) Attempt() uint64 { return w.attempt }

// PartDone ends a part that made leaf calls, or whose every shard is missing.
type PartDone struct {
	part    uint64
	winners []Winner
	misses  []tier.Miss
	calls   int
	extra   int
}

// Part is the number of the part.
func (p *PartDone) Part() uint64 { return p.part }

// Winners lists the shards with a usable reply, in the order of the Submit.
func (p *PartDone) Winners() []Winner { return p.winners }

// Misses lists the other shards, in the order of the Submit.
func (p *PartDone) Misses() []tier.Miss { return p.misses }

// Calls is how many leaf calls the part made.
func (p *PartDone) Calls() int { return p.calls }

// ExtraCalls is how many of them were hedges or retries.
func (p *PartDone) ExtraCalls() int { return p.extra }

// PartRefused ends a part that did not run: no leaf call was made for it, or
// its only one came back as not run.
type PartRefused struct {
	part       uint64
	reason     tier.RefuseReason
	retryAfter tier.Millis
}

// Part is the number of the part.
func (p *PartRefused) Part() uint64 { return p.part }

// Reason says why.
func (p *PartRefused) Reason() tier.RefuseReason { return p.reason }

// RetryAfter is when a new try may succeed, counted from now, or 0 when no
// time can be told.
func (p *PartRefused) RetryAfter() tier.Millis { return p.retryAfter }

// PartUnknown ends a non-repeatable part that may have run.
type PartUnknown struct {
	part   uint64
	reason tier.UnknownReason
}

// Part is the number of the part.
func (p *PartUnknown) Part() uint64 { return p.part }

// Reason says why it can't be told.
func (p *PartUnknown) Reason() tier.UnknownReason { return p.reason }

func (*Call) action()        {}
func (*CancelCall) action()  {}
func (*PartDone) action()    {}
func (*PartRefused) action() {}
func (*PartUnknown) action() {}
