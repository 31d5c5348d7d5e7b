package dispatcher

import "cicadagrade.example/tier"

// Action is an output of a Dispatcher that the owner VM has to carry out: *Call,
// *CancelCall, *PartDone, *PartRefused or *PartUnknown.
type Action interface{ action() }

// Call starts a leaf call.
type Call struct {
	attempt  uint64
	part     uint64
	shard    string
	server   string
	snapshot tier.Snapshot
	deadline tier.Millis
}

// Attempt is the number of the call, unique within this Dispatcher.
func (c *Call) Attempt() uint64 { return c.attempt }

// Part is the number of the part that the call belongs to.
func (c *Call) Part() uint64 { return c.part }

// Shard is the id of the shard to search.
func (c *Call) Shard() string { return c.shard }

// Server names the backend server to call.
func (c *Call) Server() string { return c.server }

// Snapshot is the pinned snapshot.
func (c *Call) Snapshot() tier.Snapshot { return c.snapshot }

// Deadline is the absolute time after which the reply is no longer used.
func (c *Call) Deadline() tier.Millis { return c.deadline }

// CancelCall cancels a leaf call whose reply is no longer used.
type CancelCall struct{ attempt uint64 }

// Attempt is the number of the call.
func (c *CancelCall) Attempt() uint64 { return c.attempt }

// Winner is the leaf call whose reply is used for a shard.
type Winner struct {
	shard   string
	attempt uint64
}

// Shard is the id of the shard.
func (w Winner) Shard() string { return w.shard }

// Attempt is the number of the call.
func (w Winner) Attempt() uint64 { return w.attempt }

// PartDone ends a part that made leaf calls, or whose shards are all missing.
type PartDone struct {
	part       uint64
	winners    []Winner
	misses     []tier.Miss
	calls      int
	extraCalls int
}

// Part is the number of the part.
func (p *PartDone) Part() uint64 { return p.part }

// Winners lists the shards with a usable reply, in the order of the Submit.
func (p *PartDone) Winners() []Winner { return p.winners }

// Misses lists the shards without a usable reply, in the order of the Submit.
func (p *PartDone) Misses() []tier.Miss { return p.misses }

// Calls is how many leaf calls the part made.
func (p *PartDone) Calls() int { return p.calls }

// ExtraCalls is how many of the leaf calls were hedges or retries.
func (p *PartDone) ExtraCalls() int { return p.extraCalls }

// PartRefused ends a part that did not run: either no leaf call was made for it, or
// the server did not execute its only call.
type PartRefused struct {
	part       uint64
	reason     tier.RefuseReason
	retryAfter tier.Millis
}

// Part is the number of the part.
func (p *PartRefused) Part() uint64 { return p.part }

// Reason says why the part was refused.
func (p *PartRefused) Reason() tier.RefuseReason { return p.reason }

// RetryAfter is the time from now after which a retry may succeed, or 0 if that is
// unknown.
func (p *PartRefused) RetryAfter() tier.Millis { return p.retryAfter }

// PartUnknown ends a non-idempotent part of which it is unknown whether it ran.
type PartUnknown struct {
	part   uint64
	reason tier.UnknownReason
}

// Part is the number of the part.
func (p *PartUnknown) Part() uint64 { return p.part }

// Reason says why the outcome is unknown.
func (p *PartUnknown) Reason() tier.UnknownReason { return p.reason }

func (*Call) action()        {}
func (*CancelCall) action()  {}
func (*PartDone) action()    {}
func (*PartRefused) action() {}
func (*PartUnknown) action() {}
