package leafserver

import (
	"sync"

	"cicadagrade.example/tier"
)

// ReplyFault says how a server falsifies replies to searches.
type ReplyFault string

// The reply faults. ReplyIntact stands for none.
const (
	ReplyIntact    ReplyFault = ""
	ReplyTruncated ReplyFault = "truncated" // half of the records are missing; count and digest are unchanged
	ReplyCorrupted ReplyFault = "corrupted" // one value is changed; the digest is not
	ReplyRepeated  ReplyFault = "repeated"  // each record comes twice; count and digest match
	ReplyPrevious  ReplyFault = "crossed"   // the reply to the previous call
)

// CallFault says how a server fails calls.
type CallFault string

// The call faults. CallNormal stands for none.
const (
	CallNormal     CallFault = ""
	CallHang       CallFault = "hang"        // holds its slot until the caller cancels
	CallDropBefore CallFault = "drop-before" // closes the connection without running the call
	CallDropAfter  CallFault = "drop-after"  // runs the call, then closes the connection
)

// faultState is the faults that are set on one server.
type faultState struct {
	slowFactor            float64
	healthLag             tier.Millis
	healthState           string // reported by Health instead of the true state
	serveVersion          tier.Version
	claimRequestedVersion bool // report the requested version while serving another
	reply                 ReplyFault
	replyFraction         float64
	call                  CallFault
	callFraction          float64
}

func noFaults() faultState { return faultState{slowFactor: 1} }

// faultSettings is a faultState for concurrent use.
type faultSettings struct {
	mu    sync.Mutex
	state faultState
}

func (f *faultSettings) get() faultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *faultSettings) update(change func(*faultState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.state)
}
