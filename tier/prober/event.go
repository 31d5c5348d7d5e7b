package prober

import "cicadagrade.example/tier"

// Event is an observation of a backend server, or a Tick.
type Event interface{ event() }

// Tick tells the prober that time has passed.
type Tick struct{}

// Health is the answer of the health endpoint to the probe with that number. It may
// lag behind the server's real state, or be wrong.
type Health struct {
	number uint64
	state  tier.BackendState
}

// NewHealth returns the event of an answered probe.
func NewHealth(number uint64, s tier.BackendState) *Health { return &Health{number: number, state: s} }

// ProbeFailed reports that the probe with that number was not answered.
type ProbeFailed struct {
	number  uint64
	refused bool
}

// NewProbeFailed returns the event of a failed probe. Refused says that the server's
// machine refused the connection, which shows that no process listens there. A timeout
// does not show this.
func NewProbeFailed(number uint64, refused bool) *ProbeFailed {
	return &ProbeFailed{number: number, refused: refused}
}

// ReplyOK reports that a call was answered with records or a receipt. It carries the
// server state given in the reply, or BackendUnknown if there was none.
type ReplyOK struct{ state tier.BackendState }

// NewReplyOK returns the event of an answered call.
func NewReplyOK(s tier.BackendState) *ReplyOK { return &ReplyOK{state: s} }

// ReplyShed reports that the server refused a call to shed load.
type ReplyShed struct{}

// ReplyLeaving reports that the server refused a call because it is leaving.
type ReplyLeaving struct{}

// ReplyFailed reports that a call failed in another way.
type ReplyFailed struct{ refused bool }

// NewReplyFailed returns the event of a failed call. Refused has the same meaning as
// in NewProbeFailed.
func NewReplyFailed(refused bool) *ReplyFailed { return &ReplyFailed{refused: refused} }

func (*Tick) event()         {}
func (*Health) event()       {}
func (*ProbeFailed) event()  {}
func (*ReplyOK) event()      {}
func (*ReplyShed) event()    {}
func (*ReplyLeaving) event() {}
func (*ReplyFailed) event()  {}

// Action is an output of the state machine, which the caller of Step carries out or
// passes on.
type Action interface{ action() }

// Probe asks the caller to read the health endpoint once. The caller returns one
// Health or ProbeFailed with the same number.
type Probe struct {
	server string
	number uint64
}

// Server is the backend server's name.
func (a *Probe) Server() string { return a.server }

// Number identifies the probe.
func (a *Probe) Number() uint64 { return a.number }

// StateChanged reports that the prober now assumes another state of the server.
type StateChanged struct {
	server string
	state  tier.BackendState
	reason string
}

// Server is the backend server's name.
func (a *StateChanged) Server() string { return a.server }

// State is the new state.
func (a *StateChanged) State() tier.BackendState { return a.state }

// Reason names the observation behind the change, for logs.
func (a *StateChanged) Reason() string { return a.reason }

func (*Probe) action()        {}
func (*StateChanged) action() {}
