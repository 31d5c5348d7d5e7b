package committer

import (
	"fmt"

	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

// Event is what a Change reacts to.
type Event interface{ event() }

// Start starts the change.
type Start struct{}

// Read brings the answer to Get.
type Read struct{ value storer.Value }

// NewRead returns the event.
func NewRead(v storer.Value) *Read { return &Read{value: v} }

// Written says that a Put took effect.
type Written struct{}

// Conflicted says that a Put found its key at another revision.
type Conflicted struct{ current storer.Value }

// NewConflicted returns the event.
func NewConflicted(current storer.Value) *Conflicted { return &Conflicted{current: current} }

// Failed says that an action got no answer.
type Failed struct {
	action Action
	unsure bool
	cause  error
}

// NewFailed returns the event; unsure says that a Put may have taken effect.
func NewFailed(a Action, unsure bool, cause error) *Failed {
	return &Failed{action: a, unsure: unsure, cause: cause}
}

// Tick says that the time given by Next has come.
type Tick struct{}

func (*Start) event()      {}
func (*Read) event()       {}
func (*Written) event()    {}
func (*Conflicted) event() {}
func (*Failed) event()     {}
func (*Tick) event()       {}

// Action is what a Change asks its driver to do.
type Action interface{ action() }

// Get asks to read a key: Read or Failed follows.
type Get struct{ key string }

// Key is the key to read.
func (a *Get) Key() string { return a.key }

// Put asks to write a key if its revision is the expected one: Written,
// Conflicted or Failed follows.
type Put struct {
	key    string
	data   []byte
	expect int64
}

// Key is the key to write.
func (a *Put) Key() string { return a.key }

// Data is what to write.
func (a *Put) Data() []byte { return a.data }

// ExpectedRevision is the expected revision of the key; 0 stands for an absent key.
func (a *Put) ExpectedRevision() int64 { return a.expect }

// Finish ends the change.
type Finish struct{ result Result }

// Result is how it ended.
func (a *Finish) Result() Result { return a.result }

func (*Get) action()    {}
func (*Put) action()    {}
func (*Finish) action() {}

// Result is how a change ended: *Accepted, *Rejected, *Invalid, *Unavailable
// or *Unknown.
type Result interface{ result() }

// Accepted says that the change is in the store.
type Accepted struct {
	state     *replicator.State
	unchanged bool
}

// State is the document with the change.
func (r *Accepted) State() *replicator.State { return r.state }

// Unchanged reports that the document was as wanted before: nothing was
// written.
func (r *Accepted) Unchanged() bool { return r.unchanged }

// Reason says why a change was rejected.
type Reason string

// The reasons.
const (
	ReasonConflict    Reason = "conflict"
	ReasonStoreBehind Reason = "store-behind"
)

// Rejected says that the change is not in the store and won't be.
type Rejected struct {
	reason  Reason
	current *replicator.State
	floor   replicator.Ref
}

// Reason says why.
func (r *Rejected) Reason() Reason { return r.reason }

// Current is the document as the store holds it, or nil when it is absent.
func (r *Rejected) Current() *replicator.State { return r.current }

// Error tells an operator what stood in the way.
func (r *Rejected) Error() string {
	if r.reason == ReasonStoreBehind {
		return fmt.Sprintf("the store shows the document %s, but VMs serve %s: reconcile the store first", describe(r.current), r.floor)
	}
	if r.current == nil {
		return "the document is absent from the store"
	}
	e := r.current.LastEntry()
	return fmt.Sprintf("the document is %s: %s changed it (change %s, reason %q)", describe(r.current), e.Who(), e.ChangeID(), e.Reason())
}

// Invalid says that the change can't be made; nothing was written.
type Invalid struct{ cause error }

// Cause says what is wrong, such as a *tier.InvalidError.
func (r *Invalid) Cause() error { return r.cause }

// Unavailable says that the store did not take the change; it won't be made.
type Unavailable struct{ cause error }

// Cause is the last failure.
func (r *Unavailable) Cause() error { return r.cause }

// Unknown says that the change may have been made. Trying again with the
// same change id tells.
type Unknown struct{ cause error }

// Cause is the last failure.
func (r *Unknown) Cause() error { return r.cause }

func (*Accepted) result()    {}
func (*Rejected) result()    {}
func (*Invalid) result()     {}
func (*Unavailable) result() {}
func (*Unknown) result()     {}

// Unsure reports that a Put may have taken effect.
func (e *Failed) Unsure() bool { return e.unsure }
