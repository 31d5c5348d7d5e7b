package searcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
)

// call is one request sent to a leaf.
type call struct {
	part   int
	leaf   lister.Leaf
	sentAt tier.Millis
	ended  bool
	reason string // why it brought no usable reply
	broken bool   // the leaf has ended the connection
	extra  bool   // it has taken from the retry budget
	alone  bool   // leafs had ended under the request, and no other call was in flight
}

// part is the state of one service in a search.
type part struct {
	service         string
	reply           any
	arrived         bool
	lost            bool        // no reply can arrive any more
	tried           []string    // ids of the leafs that were called
	inFlight        int         // calls that have not ended
	ranCalls        int         // ended calls that may have run
	notRunCalls     int         // ended calls that did not run
	hedgeAt         tier.Millis // when to send a hedge, or never
	retryAt         tier.Millis // when to send again or, if queued, to look for capacity; or never
	failureReply    any
	nextIsExtra     bool // a first call was made, or may have been made by another VM
	counted         bool // the retry budget has counted the request
	shareIndex      int  // the share that it belongs to, or noShare
	flushed         bool // handed on by a Flush
	queued          bool // it waits for a leaf with capacity
	queuedAt        tier.Millis
	hadRespite      bool   // its leaf got more time, as this VM was late itself
	pastTarget      bool   // it arrived after the target time
	handOvers       int    // how often it was handed over to another VM
	rateOwnersAsked int    // how often a rate owner of a cold leaf got it
	mayHaveRun      bool   // another VM that had it may have made calls
	held            bool   // it is not sent until a leaf has answered the request
	lossReason      string // why it was marked as lost
	hedgeDenied     string // why the last hedge was not sent
}

// noShare marks a part that this VM queries itself.
const noShare = -1

// share is the state of the parts that were delegated to another VM.
type share struct {
	member         partitioner.Member
	parts          []int
	sentAt         tier.Millis
	acceptDeadline tier.Millis // if not accepted by then, its VM counts as unreachable
	reportDeadline tier.Millis // if not reported on by then, its VM counts as stuck
	timeAllowed    tier.Millis // for its VM to reply, counted from when it gets the share
	second         bool        // another VM had it before
	repeated       bool        // that VM may have made the first calls
	attempts       int         // calls of each part that may run
	suspected      bool        // its VM has lost a leaf under it
	reported       bool
	hadRespite     bool // its VM got more time, as this one was late itself
	ended          bool
	replies        []any
}

const never = tier.Millis(1) << 60

// Search is the state machine of one request. It is not safe for concurrent use.
type Search struct {
	scheduler           *Scheduler
	terms               Terms
	parts               []part
	calls               []call
	shares              []share
	arrived             int
	lost                int
	extraCalls          int
	mayHaveRun          bool // a leaf may have begun to work on the request
	done                bool
	delegatedCalls      int      // calls made by other VMs
	delegatedExtraCalls int      // hedges and retries among them
	leafReported        bool     // a leaf has reported a failure, which ended its run
	refusedBy           []string // VMs that have refused shares because they are overloaded
	endedElsewhere      []string // ids of leafs that ended connections of other VMs' calls
	pending             []Action // produced while another search was stepped
	userData            any
	woken               bool        // it is in the list of TakeWoken
	targetFlushed       bool        // the Flush at the target time was sent
	retryAfter          tier.Millis // when the caller may come back, if limits of leafs or the quarantine end the search
	caution             caution
	startedAt           tier.Millis
	targetTime          tier.Millis // from the start to the target
	unplaced            bool        // it was not begun, as too few parts have a leaf that they may use
	fair                fairShare
}

// NewSearch returns a search over services. Shares of other VMs are delegated to them;
// this VM queries all other services itself.
func NewSearch(scheduler *Scheduler, terms Terms, services []string, shares []partitioner.Share) *Search {
	s := &Search{
		scheduler: scheduler, terms: terms, parts: make([]part, len(services)),
		caution: caution{holdUntil: never, trialPart: notTrying, suspected: terms.cautious},
	}
	for i, name := range services {
		s.parts[i] = part{service: name, hedgeAt: never, retryAt: never, shareIndex: noShare, nextIsExtra: terms.repeated}
	}
	for _, sh := range shares {
		if sh.Self() || !scheduler.mayDelegate(sh.Member(), terms.regions) {
			continue
		}
		for _, i := range sh.Parts() {
			s.parts[i].shareIndex = len(s.shares)
		}
		s.shares = append(s.shares, share{member: sh.Member(), parts: sh.Parts(), repeated: terms.repeated, attempts: terms.maxAttempts})
	}
	s.calls = make([]call, 0, len(services)+len(services)/4)
	return s
}

// Start returns the first calls and delegations.
func (s *Search) Start(now tier.Millis) []Action {
	s.scheduler.active[s] = true
	s.startedAt, s.targetTime = now, s.terms.target-now
	if s.refuseUnplaced() {
		return s.finish(now, s.failureCause(), nil)
	}
	s.dropRefused()
	actions := make([]Action, 0, len(s.parts)+1)
	if s.terms.cautious && len(s.parts) > 1 {
		for i := range s.parts {
			s.hold(now, i)
		}
		return s.finishIfDone(now, s.takePending(s.tryAlone(now, actions)))
	}
	for k := range s.shares {
		if !s.shares[k].ended {
			actions = s.delegate(now, k, actions)
		}
	}
	own := make([]int, 0, len(s.parts))
	for i := range s.parts {
		if s.parts[i].shareIndex == noShare {
			own = append(own, i)
		}
	}
	actions = s.sendAll(now, own, actions)
	return s.finishIfDone(now, s.takePending(actions))
}

// CallEnded handles the result of a call.
func (s *Search) CallEnded(now tier.Millis, index int, r Result) []Action {
	c := &s.calls[index]
	if c.ended {
		return nil
	}
	c.ended, c.reason = true, failureReason(r)
	s.reportToBalancer(now, c, r)
	p := &s.parts[c.part]
	p.inFlight--
	if s.done {
		s.scheduler.dispatchQueued(now, p.service)
		return nil
	}
	var actions []Action
	switch r := r.(type) {
	case Answered:
		s.mayHaveRun = true
		if !p.arrived && !p.lost {
			p.arrived, p.reply, p.pastTarget = true, r.Reply, now > s.terms.target
			s.arrived++
		}
		actions = s.cancelPart(now, c.part, actions)
	case FailedReply:
		s.mayHaveRun = true
		p.ranCalls++
		p.failureReply = r.Reply
		s.leafReported = true
		actions = s.retry(now, c.part, s.terms.idempotent, 0, actions)
	case Lost:
		s.mayHaveRun = true
		c.broken = r.Ended
		if c.broken && s.arrived == 0 && !s.leafReported {
			actions = append(actions, LeafEnded{Leaf: c.leaf, Alone: c.alone})
		}
		p.ranCalls++
		switch {
		case c.broken && s.terms.cautious && len(s.parts) == 1 && !s.answered():
			s.markLost(p, endedUnderRequest)
		case c.broken && p.inFlight == 0 && !p.arrived && !p.lost && s.holds():
			s.hold(now, c.part)
		default:
			actions = s.retry(now, c.part, s.terms.idempotent, 0, actions)
		}
	case NotRun:
		p.notRunCalls++
		if r.Reason == NoConnection {
			s.takeBackCall(c, p)
		}
		delay := tier.Millis(0)
		if r.Reason == Shed {
			delay = retryDelay
		}
		actions = s.retry(now, c.part, r.Reason != Declined, delay, actions)
	}
	s.scheduler.dispatchQueued(now, p.service)
	return s.finishIfDone(now, s.takePending(actions))
}

// Expire ends the search's time, because its VM is about to stop. It answers with the parts that have
// arrived, if they suffice.
func (s *Search) Expire(now tier.Millis) []Action {
	s.terms.target, s.terms.deadline = min(s.terms.target, now), min(s.terms.deadline, now)
	return s.finishIfDone(now, s.takePending(nil))
}

// Tick handles expired timers: of shares, retries, hedges and the request itself.
func (s *Search) Tick(now tier.Millis) []Action {
	if s.done {
		return nil
	}
	s.respite(now, now-s.NextTick())
	var actions []Action
	for k := range s.shares {
		actions = s.tickShare(now, k, actions)
	}
	if s.scheduler.balancer.LinksLost() {
		actions = s.handOver(now, s.overdue(now), actions)
	}
	for i := range s.parts {
		p := &s.parts[i]
		if p.arrived || p.lost || p.held || p.shareIndex != noShare {
			continue
		}
		if now >= p.retryAt {
			p.retryAt = never
			if p.queued && !s.unqueueIdle(now, i) {
				p.retryAt = now + queuePollInterval
				s.scheduler.dispatchQueued(now, p.service)
			} else {
				actions = s.send(now, i, actions)
			}
		}
		if now >= p.hedgeAt {
			p.hedgeAt = never
			actions = s.hedge(now, i, actions)
		}
	}
	return s.finishIfDone(now, s.takePending(actions))
}

// NextTick is the time by which Tick has to be called.
func (s *Search) NextTick() tier.Millis {
	next := s.terms.deadline
	if s.arrived < len(s.parts) {
		if (s.arrived >= s.terms.minimumParts || s.terms.flushes) && !s.targetFlushed && s.terms.target < next {
			next = s.terms.target
		}
		if s.caution.trialPart == notTrying {
			next = min(next, s.caution.holdUntil)
		}
		for k := range s.shares {
			if sh := &s.shares[k]; !sh.ended {
				next = min(next, sh.acceptDeadline)
				if !sh.reported {
					next = min(next, sh.reportDeadline)
				}
			}
		}
		for i := range s.parts {
			p := &s.parts[i]
			if !p.arrived && !p.lost {
				next = min(next, p.hedgeAt, p.retryAt)
			}
		}
	}
	return next
}

// Abandon ends the search because its caller has gone.
func (s *Search) Abandon(now tier.Millis) []Action {
	if s.done {
		return nil
	}
	return s.finish(now, CallerLeft, nil)
}

// reportToBalancer records a call's result for the choice of later leafs.
func (s *Search) reportToBalancer(now tier.Millis, c *call, r Result) {
	b := s.scheduler.balancer
	switch r := r.(type) {
	case Answered:
		b.Answered(now, s.terms.class, c.leaf, now-c.sentAt)
	case FailedReply:
		b.Failed(now, c.leaf)
	case Lost:
		if r.NewConnection {
			b.ConnectionReset(now, c.leaf)
			return
		}
		b.Broken(now, c.leaf)
	case NotRun:
		switch r.Reason {
		case WrongServer:
			b.Misdirected(now, c.leaf)
		case NoConnection:
			b.Unreachable(now, c.leaf)
		case DeadConnection:
			b.Dead(now, c.leaf)
		default:
			b.Refused(now, c.leaf)
		}
	}
}

// takeBackCall makes a call that has reached no leaf count as none.
func (s *Search) takeBackCall(c *call, p *part) {
	if !c.extra {
		p.nextIsExtra = false
		return
	}
	s.extraCalls--
	s.scheduler.budgeter.Return(p.service)
}

// markLost gives up a part. reason is empty if the last call or share explains the
// loss.
func (s *Search) markLost(p *part, reason string) {
	if !p.lost && !p.arrived {
		p.lost, p.lossReason = true, reason
		s.lost++
	}
}

func (s *Search) cancelPart(now tier.Millis, partIndex int, actions []Action) []Action {
	for k := range s.calls {
		c := &s.calls[k]
		if c.part == partIndex && !c.ended {
			actions = s.cancel(now, k, actions)
		}
	}
	return actions
}

func (s *Search) cancelAll(now tier.Millis, actions []Action) []Action {
	for i := range s.parts {
		s.scheduler.dequeue(now, s, i)
	}
	for k := range s.calls {
		if !s.calls[k].ended {
			actions = s.cancel(now, k, actions)
		}
	}
	for k := range s.shares {
		if sh := &s.shares[k]; !sh.ended {
			sh.ended = true
			s.mayHaveRun = true
			s.scheduler.partitioner.RecordShareLatency(s.terms.class, sh.member.Region(), now-sh.sentAt)
			actions = append(actions, Recall{Share: k, Member: sh.member})
		}
	}
	return actions
}

func (s *Search) cancel(now tier.Millis, index int, actions []Action) []Action {
	c := &s.calls[index]
	c.ended = true
	s.parts[c.part].inFlight--
	s.scheduler.balancer.Cancelled(now, s.terms.class, c.leaf, now-c.sentAt)
	s.scheduler.dispatchQueued(now, s.parts[c.part].service)
	return append(actions, Cancel{Call: index})
}

func contains(list []string, id string) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}
