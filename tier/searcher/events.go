package searcher

import (
	"strconv"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
)

// Result is how one call to a leaf ended.
type Result interface{ result() }

// Answered is a whole reply that belongs to the call.
type Answered struct{ Reply any }

// FailedReply is a whole reply that says that the leaf failed. The request
// has run.
type FailedReply struct{ Reply any }

// NotRun says that the leaf did not run the call, by its own word or because
// nothing was sent.
type NotRun struct{ Reason NotRunReason }

// Lost says that a call was sent and no usable reply came: it may have run.
type Lost struct {
	Cause         string
	NewConnection bool // on a new connection, of which nothing came
}

func (Answered) result()    {}
func (FailedReply) result() {}
func (NotRun) result()      {}
func (Lost) result()        {}

// NotRunReason says why a call did not run.
type NotRunReason int

// The reasons.
const (
	Shed           NotRunReason = iota // the leaf has no room
	WrongServer                        // another server answers at the address
	NoConnection                       // no connection could be made
	Declined                           // the leaf rejects the request as it is
	DeadConnection                     // the connection was dead before the request was written
)

var reasonNames = [...]string{"shed", "wrong-server", "no-connection", "declined", "dead-connection"}

// String is the reason's name in logs.
func (r NotRunReason) String() string { return reasonNames[r] }

// Action is what the program around a search has to do.
type Action interface{ action() }

// Send asks for a call to a leaf.
type Send struct {
	Call     int // number of the call in the search
	Part     int // index of the service among the search's
	Leaf     lister.Leaf
	TimeLeft tier.Millis // what the leaf may take
	Extra    bool        // a hedge or retry
}

// Cancel gives a call up. Its result is not awaited.
type Cancel struct{ Call int }

// Finish ends the search. No action follows.
type Finish struct{ Outcome Outcome }

// Delegate has another VM ask a share of the services.
type Delegate struct {
	Share    int // number of the share in the search
	Member   partitioner.Member
	Parts    []int
	Target   tier.Millis // time left until its reply has to be sent
	Deadline tier.Millis // time left until nobody waits any more
}

// Recall gives a share up. Its replies are not awaited.
type Recall struct {
	Share    int
	Member   partitioner.Member
	TimedOut bool // its VM did not answer in time
	Accepted bool // its VM had said that it got the share
}

// Flush hands on the parts that came in since the last one, in a search for
// another VM. It may be empty: then it only says that the search goes on.
type Flush struct {
	Arrived []int // places of all parts that came in
	Parts   []Part
	Shares  []any
}

func (Send) action()     {}
func (Cancel) action()   {}
func (Finish) action()   {}
func (Delegate) action() {}
func (Recall) action()   {}
func (Flush) action()    {}

// ShareReport is what a VM that asks a share reports.
type ShareReport struct {
	Parts      []int // places among the search's services
	Reply      any
	Last       bool
	MayHaveRun bool
	Calls      int
	Extra      int
}

// Part is a service's part of the answer.
type Part struct {
	index int
	reply any
}

// Index is the service's place among the search's services.
func (p Part) Index() int { return p.index }

// Reply is what the program gave with Answered or FailedReply.
func (p Part) Reply() any { return p.reply }

// Cause says why a search ended as it did.
type Cause string

// The causes.
const (
	Complete       Cause = "complete"       // every part is in
	AtTarget       Cause = "aim-reached"    // answered with the parts that are in
	PastTarget     Cause = "past-aim"       // the least share came in after the aim
	LeafFailure    Cause = "leaf-failure"   // a leaf's own failure is passed on
	NoLeaf         Cause = "no-leaf"        // no leaf is known for too many parts
	LeafsRefused   Cause = "leafs-refused"  // each leaf said that it did not run it
	PartsLost      Cause = "parts-lost"     // too many parts can't come any more
	OutOfTime      Cause = "out-of-time"    // the deadline or the route's timeout passed
	OutcomeUnknown Cause = "outcome-unsure" // sent once, and no reply came
	CallerLeft     Cause = "caller-left"    // the one who asked has gone
)

// Miss is a service whose part is not in, with what was seen last of it.
type Miss struct {
	service string
	leaf    string
	why     string
	waited  tier.Millis
}

// Service names the service.
func (m Miss) Service() string { return m.service }

// String tells service, leaf, reason and how long its last call has been out.
func (m Miss) String() string {
	if m.leaf == "" {
		return m.service + ":" + m.why
	}
	return m.service + ":" + m.why + "@" + m.leaf + "/" + strconv.FormatInt(int64(m.waited), 10) + "ms"
}

// Outcome is the end of a search.
type Outcome struct {
	cause   Cause
	parts   []Part
	shares  []any
	missing int
	misses  []Miss
	failure any
	maybe   bool
	sent    int
	extra   int
}

// Cause says why it ended.
func (o Outcome) Cause() Cause { return o.cause }

// Parts are the answers of leafs that this VM asked itself, by index.
func (o Outcome) Parts() []Part { return o.parts }

// Shares are the replies of VMs that asked shares.
func (o Outcome) Shares() []any { return o.shares }

// Missing is the number of services whose part is not in.
func (o Outcome) Missing() int { return o.missing }

// Success reports whether the parts make an answer.
func (o Outcome) Success() bool {
	return o.cause == Complete || o.cause == AtTarget || o.cause == PastTarget
}

// Misses say why parts are not in, of at most a few services.
func (o Outcome) Misses() []Miss { return o.misses }

// Failure is a leaf's own failing reply to pass on, or nil.
func (o Outcome) Failure() any { return o.failure }

// MayHaveRun reports whether a leaf may have begun to work on the request.
func (o Outcome) MayHaveRun() bool { return o.maybe }

// CallsSent is the number of calls made.
func (o Outcome) CallsSent() int { return o.sent }

// ExtraCalls is how many of them were hedges and retries.
func (o Outcome) ExtraCalls() int { return o.extra }
