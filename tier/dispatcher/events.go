package dispatcher

import "cicadagrade.example/tier"

// Event is what a dispatcher is told: *Submit, *Replied, *Cancelled,
// *BackendChanged, *HoldingChanged, *SetChanged, *ShareChanged, *Standby or
// *Tick.
type Event interface{ event() }

// Submit asks for a part of a query. It ends in exactly one *PartDone,
// *PartRefused or *PartUnknown.
type Submit struct {
	part       uint64
	profile    *tier.Profile
	deadline   tier.Millis
	shards     []string
	snapshot   tier.Snapshot
	repeatable bool
}

// SubmitOption sets one field of a Submit.
type SubmitOption func(*Submit)

// WithSnapshot pins the snapshot that every leaf call names.
func WithSnapshot(s tier.Snapshot) SubmitOption { return func(e *Submit) { e.snapshot = s } }

// NonIdempotent says that the part may run at most once: it gets one leaf
// call, without hedge or retry.
func NonIdempotent() SubmitOption { return func(e *Submit) { e.repeatable = false } }

// NewSubmit returns a repeatable part without a pinned snapshot. The part's
// number is the shell's, unused by any part that has not ended. The deadline
// is absolute. The profile gives rank, imposed wait, queue limit and whether
// to hedge.
func NewSubmit(part uint64, p *tier.Profile, deadline tier.Millis, shards []string, opts ...SubmitOption) *Submit {
	e := &Submit{part: part, profile: p, deadline: deadline, shards: shards, repeatable: true}
	for _, o := range opts {
		o(e)
	}
	return e
}

// CallEnded ends a leaf call. The shell sends exactly one for each *Call, also
// after a *CancelCall, since the call holds its slot until then.
type CallEnded struct {
	attempt uint64
	result  Result
}

// NewCallEnded returns the end of a leaf call.
func NewCallEnded(attempt uint64, r Result) *CallEnded {
	return &CallEnded{attempt: attempt, result: r}
}

// Result is the end of a leaf call: *ReplyOK, *ReplyNotRun, *ReplyFailed or
// *ReplyBad.
type Result interface{ result() }

// ReplyOK is a reply that passed correlation.
type ReplyOK struct{}

// NotRunReason says why a server did not run a call.
type NotRunReason int

// The reasons.
const (
	NotRunShed          NotRunReason = iota // the server sheds load
	NotRunLeaving                           // the server is leaving
	NotRunWrongSnapshot                     // it does not hold the shard at the snapshot
)

// ReplyNotRun is a reply that says the server did not run the call.
type ReplyNotRun struct{ reason NotRunReason }

// NewReplyNotRun returns a reply that says the call was not run.
func NewReplyNotRun(r NotRunReason) *ReplyNotRun { return &ReplyNotRun{reason: r} }

// ReplyFailed is a call without a usable reply; the server may have run it.
type ReplyFailed struct{}

// ReplyRejected is a reply that correlation rejected; the server may have run it.
type ReplyRejected struct{}

func (*ReplyOK) result()       {}
func (*ReplyNotRun) result()   {}
func (*ReplyFailed) result()   {}
func (*ReplyRejected) result() {}

// Cancelled says that nobody waits for a part any more.
type Cancelled struct{ part uint64 }

// NewCancelled returns the cancellation of a part.
func NewCancelled(part uint64) *Cancelled { return &Cancelled{part: part} }

// BackendChanged tells the state of a backend server.
type BackendChanged struct {
	server string
	state  tier.BackendState
}

// NewBackendChanged returns a change of a server's state.
func NewBackendChanged(server string, s tier.BackendState) *BackendChanged {
	return &BackendChanged{server: server, state: s}
}

// HoldingChanged tells which index versions of a shard a server holds under
// one epoch; no versions means that it holds none under it.
type HoldingChanged struct {
	server   string
	shard    string
	epoch    tier.Epoch
	versions []tier.Version
}

// NewHoldingChanged returns what a server holds of a shard under an epoch.
func NewHoldingChanged(server, shard string, e tier.Epoch, versions []tier.Version) *HoldingChanged {
	return &HoldingChanged{server: server, shard: shard, epoch: e, versions: versions}
}

// SetChanged replaces the shard set's description. Servers that are new to it
// have an unknown state and unknown holdings until they are told.
type SetChanged struct{ set *tier.ShardSet }

// NewSetChanged returns a change of the set.
func NewSetChanged(set *tier.ShardSet) *SetChanged { return &SetChanged{set: set} }

// ShareChanged tells how many owners split the slots and which this one is.
type ShareChanged struct{ owners, index int }

// NewShareChanged returns a change of share; index counts from 0.
func NewShareChanged(owners, index int) *ShareChanged {
	return &ShareChanged{owners: owners, index: index}
}

// Standby says that another VM owns the set: parts that still come here, such
// as those of VMs that do not know yet, run on one slot of each server. A
// ShareChanged ends it.
type Standby struct{}

// Tick says that the time of Next has come.
type Tick struct{}

func (*Submit) event()         {}
func (*CallEnded) event()      {}
func (*Cancelled) event()      {}
func (*BackendChanged) event() {}
func (*HoldingChanged) event() {}
func (*SetChanged) event()     {}
func (*ShareChanged) event()   {}
func (*Standby) event()        {}
func (*Tick) event()           {}
