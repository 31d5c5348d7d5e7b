package dispatcher

import "cicadagrade.example/tier"

// Event is an input of a Dispatcher: *Submit, *CallEnded, *Cancelled,
// *BackendChanged, *HoldingChanged, *SetChanged, *ShareChanged, *Standby or
// *Tick.
type Event interface{ event() }

// Submit asks to run a part of a query: the shards of this set that the query needs.
// It leads to exactly one *PartDone, *PartRefused or *PartUnknown.
type Submit struct {
	part       uint64
	profile    *tier.Profile
	deadline   tier.Millis
	shards     []string
	snapshot   tier.Snapshot
	idempotent bool
}

// SubmitOption sets one field of a Submit.
type SubmitOption func(*Submit)

// WithSnapshot sets the snapshot at which every leaf call of the part reads.
func WithSnapshot(s tier.Snapshot) SubmitOption { return func(e *Submit) { e.snapshot = s } }

// NonIdempotent marks a part that may run at most once: it gets a single leaf call,
// which is neither hedged nor retried.
func NonIdempotent() SubmitOption { return func(e *Submit) { e.idempotent = false } }

// NewSubmit returns the request to run an idempotent part without a pinned snapshot.
// The owner VM chooses the part's number, which no other unfinished part may have. The
// deadline is absolute. The profile gives the rank, the imposed wait, the queue
// limit and whether to hedge.
func NewSubmit(part uint64, p *tier.Profile, deadline tier.Millis, shards []string, opts ...SubmitOption) *Submit {
	e := &Submit{part: part, profile: p, deadline: deadline, shards: shards, idempotent: true}
	for _, o := range opts {
		o(e)
	}
	return e
}

// CallEnded reports the end of a leaf call. Exactly one must follow each *Call, also
// after a *CancelCall, since the call occupies its slot until then.
type CallEnded struct {
	attempt uint64
	result  Result
}

// NewCallEnded returns the end of the leaf call with an attempt number.
func NewCallEnded(attempt uint64, r Result) *CallEnded {
	return &CallEnded{attempt: attempt, result: r}
}

// Result is the result of a leaf call: *ReplyOK, *ReplyNotRun, *ReplyFailed or
// *ReplyRejected.
type Result interface{ result() }

// ReplyOK is a reply that passed the checks of package correlator.
type ReplyOK struct{}

// NotRunReason says why a server did not execute a call.
type NotRunReason int

// The reasons for not executing a call.
const (
	NotRunShed          NotRunReason = iota // the server is shedding load
	NotRunLeaving                           // the server is draining
	NotRunWrongSnapshot                     // the server lacks the shard at the snapshot
)

// ReplyNotRun is a reply which states that the server did not execute the call.
type ReplyNotRun struct{ reason NotRunReason }

// NewReplyNotRun returns the reply of a server that did not execute a call.
func NewReplyNotRun(r NotRunReason) *ReplyNotRun { return &ReplyNotRun{reason: r} }

// ReplyFailed is a call that failed without a usable reply. The server may have
// executed it.
type ReplyFailed struct{}

// ReplyRejected is a reply that package correlator rejected. The server may have
// executed the call.
type ReplyRejected struct{}

func (*ReplyOK) result()       {}
func (*ReplyNotRun) result()   {}
func (*ReplyFailed) result()   {}
func (*ReplyRejected) result() {}

// Cancelled reports that no client waits for a part any more.
type Cancelled struct{ part uint64 }

// NewCancelled returns the cancellation of a part.
func NewCancelled(part uint64) *Cancelled { return &Cancelled{part: part} }

// BackendChanged reports the state of a backend server.
type BackendChanged struct {
	server string
	state  tier.BackendState
}

// NewBackendChanged returns a change of a server's state.
func NewBackendChanged(server string, s tier.BackendState) *BackendChanged {
	return &BackendChanged{server: server, state: s}
}

// HoldingChanged reports which index versions of a shard a server holds in one epoch.
// An empty list means that it holds none in that epoch.
type HoldingChanged struct {
	server   string
	shard    string
	epoch    tier.Epoch
	versions []tier.Version
}

// NewHoldingChanged returns the versions of a shard that a server holds in an epoch.
func NewHoldingChanged(server, shard string, e tier.Epoch, versions []tier.Version) *HoldingChanged {
	return &HoldingChanged{server: server, shard: shard, epoch: e, versions: versions}
}

// SetChanged replaces the configuration of the shard set. The state and the holdings
// of servers that are new to it are unknown until they are reported.
type SetChanged struct{ set *tier.ShardSet }

// NewSetChanged returns a change to a new configuration of the set.
func NewSetChanged(set *tier.ShardSet) *SetChanged { return &SetChanged{set: set} }

// ShareChanged reports how many owners split the slots and the index of this owner.
type ShareChanged struct{ owners, index int }

// NewShareChanged returns a change of the share; index counts from 0.
func NewShareChanged(owners, index int) *ShareChanged {
	return &ShareChanged{owners: owners, index: index}
}

// Standby reports that another VM owns the set. Parts that still arrive, such as those
// from VMs with an outdated view of the owners, run on one slot of each server. A
// ShareChanged ends the standby.
type Standby struct{}

// Tick reports that the time returned by NextTick has come.
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
