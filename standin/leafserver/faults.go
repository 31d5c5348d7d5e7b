package leafserver

import (
	"sync"

	"cicadagrade.example/tier"
)

// ReplyFault says how a server spoils replies to searches.
type ReplyFault string

// The reply faults.
const (
	ReplyIntact    ReplyFault = ""
	ReplyTruncated ReplyFault = "truncated" // half of the records are cut off, count and digest stay
	ReplyCorrupted ReplyFault = "corrupted" // one value is changed, the digest stays
	ReplyRepeated  ReplyFault = "repeated"  // each record twice, count and digest fit
	ReplyPrevious  ReplyFault = "crossed"   // the reply of an earlier call
)

// CallFault says how a server breaks calls.
type CallFault string

// The call faults.
const (
	CallNormal     CallFault = ""
	CallHang       CallFault = "hang"        // holds its slot until the caller gives up
	CallDropBefore CallFault = "drop-before" // closes the connection, not run
	CallDropAfter  CallFault = "drop-after"  // runs, then closes the connection
)

// faultState is what is wrong with one server now.
type faultState struct {
	slowFactor    float64
	healthLag     tier.Millis
	healthState   string // shown by the health page in place of the true one
	serveVersion  tier.Version
	disguise      bool // name the asked version while serving another
	reply         ReplyFault
	replyFraction float64
	call          CallFault
	callFraction  float64
}

func noFaults() faultState { return faultState{slowFactor: 1} }

// faults guards a faultState.
type faults struct {
	mu    sync.Mutex
	state faultState
}

func (f *faults) get() faultState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *faults) change(by func(*faultState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	by(&f.state)
}
