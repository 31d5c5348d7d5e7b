package searcher

import (
	"strconv"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
)

// Result is how a call to a leaf ended.
type Result interface{ result() }

// Answered is a complete reply that belongs to the call.
type Answered struct{ Reply any }

// FailedReply is a complete reply with which the leaf reports a failure. The request
// has run.
type FailedReply struct{ Reply any }

// NotRun means that the leaf did not run the call: it said so, or nothing was sent.
type NotRun struct{ Reason NotRunReason }

// Lost means that the call was sent and no usable reply came. It may have run.
type Lost struct {
	Cause         string
	NewConnection bool // it was sent on a new connection, which brought no byte
	Ended         bool // the leaf has ended the connection
}

func (Answered) result()    {}
func (FailedReply) result() {}
func (NotRun) result()      {}
func (Lost) result()        {}

// NotRunReason says why a call did not run.
type NotRunReason int

// Values of NotRunReason.
const (
	Shed           NotRunReason = iota // the leaf has no capacity
	WrongServer                        // another server answers at the address
	NoConnection                       // no connection could be made
	Declined                           // the leaf rejects the request itself; it is not retried
	DeadConnection                     // the connection was closed before the request was written
)

var reasonNames = [...]string{"shed", "wrong-server", "no-connection", "declined", "dead-connection"}

// String is the reason's name in logs.
func (r NotRunReason) String() string { return reasonNames[r] }

// Action is something that a search asks of the code that runs it.
type Action interface{ action() }

// Send asks for a call to a leaf.
type Send struct {
	Call     int // index of the call in the search
	Part     int // index of the service in the search
	Leaf     lister.Leaf
	TimeLeft tier.Millis // until the deadline
	Extra    bool        // a hedge or retry
}

// Cancel cancels a call. Its result is ignored.
type Cancel struct{ Call int }

// LeafEnded tells that a leaf has ended the connection while it had the request, and that no
// leaf has answered yet: the request may have ended the leaf. It comes at once, as the search
// may go on for long.
type LeafEnded struct {
	Leaf  lister.Leaf
	Alone bool // it was called alone, after leafs had ended under such a request
}

// Finish ends the search. It is the last action.
type Finish struct{ Outcome Outcome }

// Delegate has another VM query a share of the services.
type Delegate struct {
	Share    int // index of the share in the search
	Member   partitioner.Member
	Parts    []int       // indexes of the services in the search
	Target   tier.Millis // time left until the VM has to send its report
	Deadline tier.Millis // time left until the deadline
	Repeated bool        // another VM may have made the first calls already
	Attempts int         // calls of each part that may run
}

// Recall cancels a share. Its reports are ignored.
type Recall struct {
	Share    int
	Member   partitioner.Member
	TimedOut bool // its VM did not accept or report in time
	Accepted bool // its VM had accepted the share
}

// Flush hands on the parts that arrived since the last Flush, in a search for
// another VM. An empty one only tells that VM that the search continues.
type Flush struct {
	Arrived []int  // indexes of the services of all these parts
	Parts   []Part // those that this VM queried itself
	Shares  []any  // replies of the VMs that queried the others
}

// Suspected tells that a leaf has ended under a request of several parts and none is known to have
// answered it: other VMs should send such requests with caution. It is sent once.
type Suspected struct{}

func (Send) action()      {}
func (Suspected) action() {}
func (LeafEnded) action() {}
func (Cancel) action()    {}
func (Finish) action()    {}
func (Delegate) action()  {}
func (Recall) action()    {}
func (Flush) action()     {}

// ShareReport is the report of a VM on its share.
type ShareReport struct {
	Parts      []int // indexes of the services whose part arrived
	Uncalled   []int // indexes of the services of which that VM reached no leaf, in the last report
	Reply      any
	Whole      any  // the leaf's reply, if it is to be passed on as it is, in place of Reply
	Failure    any  // a reply with which the leaf reports a failure, in the last report
	Last       bool // no report follows
	MayHaveRun bool
	Calls      int      // made by that VM, in the last report
	Extra      int      // hedges and retries among them
	Ended      []string // ids of leafs that ended a connection, if no leaf answered, in the last report
	Suspected  bool     // a leaf has ended, and none has answered
	Broken     []int    // indexes of the services whose leaf has ended so and that were not sent again, in the last report
}

// Part is one service's part of the answer.
type Part struct {
	index int
	reply any
}

// Index is the index of the service in the search.
func (p Part) Index() int { return p.index }

// Reply is the reply of the Answered result.
func (p Part) Reply() any { return p.reply }

// Cause says why a search ended.
type Cause string

// Values of Cause.
const (
	Complete       Cause = "complete"       // every part arrived
	AtTarget       Cause = "aim-reached"    // answered at the target, or once no further part can arrive
	PastTarget     Cause = "past-aim"       // answered after the target, once the minimum of parts had arrived
	LeafFailure    Cause = "leaf-failure"   // a leaf's failure reply is passed on
	NoLeaf         Cause = "no-leaf"        // no call was made: too many services have no usable leaf
	LeafsLimited   Cause = "leafs-limited"  // no call was made: the leafs' limits allow none in time
	LeafsResting   Cause = "leafs-resting"  // no call was made: the leafs have all asked for a rest
	QueueTooLong   Cause = "queue-too-long" // no call was made: too many parts wait before it
	Quarantined    Cause = "quarantined"    // no call was made: several leafs have ended under the request
	LinksLost      Cause = "links-lost"     // no call was made: this VM reaches no leaf, and no other VM took the request
	VMsOverloaded  Cause = "vms-overloaded" // no call was made: this VM reaches no leaf, and the others are overloaded
	LeafsRefused   Cause = "leafs-refused"  // no call that ended has run
	PartsLost      Cause = "parts-lost"     // too many parts can no longer arrive
	OutOfTime      Cause = "out-of-time"    // the deadline or the route's timeout passed
	OutcomeUnknown Cause = "outcome-unsure" // a call that must not be repeated brought no usable reply
	CallerLeft     Cause = "caller-left"    // the caller has gone

	// NoLeafInRegions says that no call was made: too many services have no usable leaf in the
	// regions in which the request may be served.
	NoLeafInRegions Cause = "no-leaf-in-regions"
)

// Miss describes a missing part: its service, and the last call for it.
type Miss struct {
	service string
	leaf    string
	reason  string
	waited  tier.Millis // since the call was sent
}

// Service is the name of the service.
func (m Miss) Service() string { return m.service }

// String is the form in logs: SERVICE:REASON, followed by @LEAF/WAITEDms if a leaf
// was called.
func (m Miss) String() string {
	if m.leaf == "" {
		return m.service + ":" + m.reason
	}
	return m.service + ":" + m.reason + "@" + m.leaf + "/" + strconv.FormatInt(int64(m.waited), 10) + "ms"
}

// Outcome is the result of a search.
type Outcome struct {
	cause      Cause
	parts      []Part
	shares     []any
	missing    int
	misses     []Miss
	failure    any
	mayHaveRun bool
	callsSent  int
	extraCalls int
	uncalled   []int
	broken     []int
	retryAfter tier.Millis
	ended      []lister.Leaf
	unplaced   bool
	permanent  bool

	endedElsewhere []string
}

// Cause says why the search ended.
func (o Outcome) Cause() Cause { return o.cause }

// Parts are the parts that this VM queried itself, by index.
func (o Outcome) Parts() []Part { return o.parts }

// Shares are the replies of the VMs that queried shares.
func (o Outcome) Shares() []any { return o.shares }

// Missing is the number of services whose part did not arrive.
func (o Outcome) Missing() int { return o.missing }

// Success reports whether enough parts arrived for an answer.
func (o Outcome) Success() bool {
	return o.cause == Complete || o.cause == AtTarget || o.cause == PastTarget
}

// Misses explain missing parts, up to maxMisses of them.
func (o Outcome) Misses() []Miss { return o.misses }

// Failure is a leaf's failure reply to pass on, or nil.
func (o Outcome) Failure() any { return o.failure }

// MayHaveRun reports whether a leaf may have begun to work on the request.
func (o Outcome) MayHaveRun() bool { return o.mayHaveRun }

// Uncalled are the indexes of the services for which no call has reached a leaf, because this VM
// knew no usable one or had lost its links to them.
func (o Outcome) Uncalled() []int { return o.uncalled }

// Broken are the indexes of the services whose leaf has ended under the request and that were not
// sent again, in a search for another VM.
func (o Outcome) Broken() []int { return o.broken }

// RetryAfter is how much later the same request would be sent, if limits of leafs or the
// quarantine have ended the search, or 0.
func (o Outcome) RetryAfter() tier.Millis { return o.retryAfter }

// Unplaced reports whether the search was not begun, because too few services have a leaf that the
// request may use.
func (o Outcome) Unplaced() bool { return o.unplaced }

// Permanent reports whether the same request will fail until the configuration is changed,
// because the deployment has none of the regions in which it may be served.
func (o Outcome) Permanent() bool { return o.permanent }

// Ended are the leafs that ended the connection while they had the request, if no leaf has
// answered it: the request may have ended them.
func (o Outcome) Ended() []lister.Leaf { return o.ended }

// EndedElsewhere are the ids of such leafs that other VMs have called.
func (o Outcome) EndedElsewhere() []string { return o.endedElsewhere }

// CallsSent is the number of calls made, by all VMs.
func (o Outcome) CallsSent() int { return o.callsSent }

// ExtraCalls is the number of hedges and retries among them.
func (o Outcome) ExtraCalls() int { return o.extraCalls }
