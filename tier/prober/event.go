package prober

import "cicadagrade.example/tier"

// Event is a sign of a backend server's state.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// Health is what the health endpoint answered to the probe of that number. It
// may lag behind the server, or be wrong.
type Health struct {
	number uint64
	state  tier.BackendState
}

// NewHealth returns the sign of a health answer.
func NewHealth(number uint64, s tier.BackendState) *Health { return &Health{number: number, state: s} }

// HealthFailed says that the probe of that number was not answered.
type HealthFailed struct {
	number  uint64
	refused bool
}

// NewHealthFailed returns the sign of a failed probe. Refused says that the
// server's machine refused the connection, so that no process listens there;
// a timeout is no such sign.
func NewHealthFailed(number uint64, refused bool) *HealthFailed {
	return &HealthFailed{number: number, refused: refused}
}

// ReplyOK says that a call was answered with records or a receipt, and with
// the state in the reply, BackendUnknown when there was none.
type ReplyOK struct{ state tier.BackendState }

// NewReplyOK returns the sign of an answered call.
func NewReplyOK(s tier.BackendState) *ReplyOK { return &ReplyOK{state: s} }

// ReplyShed says that the server shed a call.
type ReplyShed struct{}

// ReplyLeaving says that the server turned a call away since it is leaving.
type ReplyLeaving struct{}

// ReplyFailed says that a call failed in another way.
type ReplyFailed struct{ refused bool }

// NewReplyFailed returns the sign of a failed call; refused as for
// NewHealthFailed.
func NewReplyFailed(refused bool) *ReplyFailed { return &ReplyFailed{refused: refused} }

func (*Tick) event()         {}
func (*Health) event()       {}
func (*HealthFailed) event() {}
func (*ReplyOK) event()      {}
func (*ReplyShed) event()    {}
func (*ReplyLeaving) event() {}
func (*ReplyFailed) event()  {}

// Action is something that the shell does or passes on.
type Action interface{ action() }

// Probe asks the shell to read the health endpoint once. The shell answers
// with one Health or HealthFailed of the same number.
type Probe struct {
	server string
	number uint64
}

// Server is the backend server's name.
func (a *Probe) Server() string { return a.server }

// Number names the probe.
func (a *Probe) Number() uint64 { return a.number }

// StateChanged says that the server is believed to be in another state.
type StateChanged struct {
	server string
	state  tier.BackendState
	reason string
}

// Server is the backend server's name.
func (a *StateChanged) Server() string { return a.server }

// State is its state from now on.
func (a *StateChanged) State() tier.BackendState { return a.state }

// Reason is the sign that changed it, for logs.
func (a *StateChanged) Reason() string { return a.reason }

func (*Probe) action()        {}
func (*StateChanged) action() {}
