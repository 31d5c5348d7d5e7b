package searcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/sharer"
)

// call is one sending to a leaf.
type call struct {
	part  int
	leaf  lister.Leaf
	sent  tier.Millis
	ended bool
	why   string // how it ended, if it brought nothing
}

// part is the state of one service.
type part struct {
	service string
	reply   any
	in      bool
	lost    bool // can't come any more
	tried   []string
	open    int
	ran     int         // calls that ended and may have run
	notRun  int         // calls that ended and did not run
	hedgeAt tier.Millis // when to send a second call, or never
	retryAt tier.Millis // when to send again after a refusal, or never
	failure any
	asked   bool
	share   int // number of the share that has it, or none
	flushed bool
	waiting bool // for room at a leaf
	late    bool // it came after the aim
}

// none is the number of no share.
const none = -1

// share is the state of the parts that another VM asks.
type share struct {
	member   sharer.Member
	parts    []int
	sent     tier.Millis
	acceptBy tier.Millis // when its VM is taken for dead
	reported bool
	ended    bool
	replies  []any
}

const never = tier.Millis(1) << 60

// Search is one request. It is not safe for concurrent use.
type Search struct {
	core    *Core
	terms   Terms
	parts   []part
	calls   []call
	shares  []share
	in      int
	lost    int
	extra   int
	maybe   bool // a leaf may have begun to work on it
	done    bool
	extern  int      // calls that other VMs made
	extExt  int      // extra ones among them
	pending []Action // from another search's step
	program any
	woken   bool
	late    bool // the parts at the aim have been flushed
}

// New returns a search over services. Shares that are not this VM's own are
// given to their VMs; without any, this VM asks all.
func New(core *Core, terms Terms, services []string, shares []sharer.Share) *Search {
	s := &Search{core: core, terms: terms, parts: make([]part, len(services))}
	for i, name := range services {
		s.parts[i] = part{service: name, hedgeAt: never, retryAt: never, share: none}
	}
	for _, h := range shares {
		if h.Self() {
			continue
		}
		for _, i := range h.Parts() {
			s.parts[i].share = len(s.shares)
		}
		s.shares = append(s.shares, share{member: h.Member(), parts: h.Parts()})
	}
	s.calls = make([]call, 0, len(services)+len(services)/4)
	return s
}

// Start sends the first calls.
func (s *Search) Start(now tier.Millis) []Action {
	actions := make([]Action, 0, len(s.parts)+1)
	for k := range s.shares {
		actions = s.delegate(now, k, actions)
	}
	for i := range s.parts {
		if s.parts[i].share == none {
			actions = s.send(now, i, actions)
		}
	}
	return s.settle(now, s.takePending(actions))
}

// Ended takes the result of a call.
func (s *Search) Ended(now tier.Millis, number int, r Result) []Action {
	c := &s.calls[number]
	if c.ended {
		return nil
	}
	c.ended, c.why = true, whyOf(r)
	s.observe(now, c, r)
	p := &s.parts[c.part]
	p.open--
	if s.done {
		s.core.fill(now, p.service)
		return nil
	}
	var actions []Action
	switch r := r.(type) {
	case Answered:
		s.maybe = true
		if !p.in && !p.lost {
			p.in, p.reply, p.late = true, r.Reply, now > s.terms.aim
			s.in++
		}
		actions = s.cancelPart(now, c.part, actions)
	case FailedReply:
		s.maybe = true
		p.ran++
		p.failure = r.Reply
		actions = s.again(now, c.part, s.terms.repeatable, 0, actions)
	case Lost:
		s.maybe = true
		p.ran++
		actions = s.again(now, c.part, s.terms.repeatable, 0, actions)
	case NotRun:
		p.notRun++
		pause := tier.Millis(0)
		if r.Reason == Shed {
			pause = retryPause
		}
		actions = s.again(now, c.part, r.Reason != Declined, pause, actions)
	}
	s.core.fill(now, p.service)
	return s.settle(now, s.takePending(actions))
}

// Tick does what is due.
func (s *Search) Tick(now tier.Millis) []Action {
	if s.done {
		return nil
	}
	var actions []Action
	for k := range s.shares {
		h := &s.shares[k]
		stuck := !h.reported && now >= s.terms.aim+reportSlack
		if !h.ended && (now >= h.acceptBy || stuck) {
			actions = s.takeBack(now, k, append(actions, Recall{Share: k, Member: h.member, Silent: true}))
		}
	}
	for i := range s.parts {
		p := &s.parts[i]
		if p.in || p.lost {
			continue
		}
		if now >= p.retryAt {
			p.retryAt = never
			if p.waiting {
				p.retryAt = now + lookAgain
				s.core.fill(now, p.service)
			} else {
				actions = s.send(now, i, actions)
			}
		}
		if now >= p.hedgeAt {
			p.hedgeAt = never
			actions = s.hedge(now, i, actions)
		}
	}
	return s.settle(now, s.takePending(actions))
}

// Next is when Tick has to be called at the latest.
func (s *Search) Next() tier.Millis {
	next := s.terms.end
	if s.in < len(s.parts) {
		if (s.in >= s.terms.minimum || s.terms.flushes) && !s.late && s.terms.aim < next {
			next = s.terms.aim
		}
		for k := range s.shares {
			if h := &s.shares[k]; !h.ended {
				next = min(next, h.acceptBy)
				if !h.reported {
					next = min(next, s.terms.aim+reportSlack)
				}
			}
		}
		for i := range s.parts {
			p := &s.parts[i]
			if !p.in && !p.lost {
				next = min(next, p.hedgeAt, p.retryAt)
			}
		}
	}
	return next
}

// Abandon ends the search as its caller has left.
func (s *Search) Abandon(now tier.Millis) []Action {
	if s.done {
		return nil
	}
	s.done = true
	return s.cancelAll(now, nil)
}

// Sent is the number of calls so far.
func (s *Search) Sent() int { return len(s.calls) }

func (s *Search) observe(now tier.Millis, c *call, r Result) {
	b := s.core.balancer
	switch r := r.(type) {
	case Answered:
		b.Answered(now, s.terms.class, c.leaf, now-c.sent)
	case FailedReply:
		b.Failed(now, c.leaf)
	case Lost:
		if r.Fresh {
			b.Crowded(now, c.leaf)
			return
		}
		b.Failed(now, c.leaf)
	case NotRun:
		switch r.Reason {
		case WrongServer:
			b.Misdirected(now, c.leaf)
		case NoConnection:
			b.Unreachable(now, c.leaf)
		default:
			b.Refused(now, c.leaf)
		}
	}
}

// send makes the next call of a part, has it wait for room, or gives it up.
func (s *Search) send(now tier.Millis, i int, actions []Action) []Action {
	p := &s.parts[i]
	if s.terms.end-now < leastTime || p.waiting {
		return actions
	}
	f, _, found := s.pick(now, p, true)
	if !found && len(p.tried) > 0 {
		f, _, found = s.pick(now, p, false)
	}
	switch {
	case !found:
		if p.open == 0 {
			s.giveUp(p)
		}
		return actions
	case !s.core.balancer.Room(now, f, s.core.owners(now, p.service) > 0):
		// Waiting for the best leaf beats a worse one now: its cost has the
		// wait in it.
		if other, cost, ok := s.core.roomFor(now, s, p); ok && now+tier.Millis(cost) <= s.terms.aim {
			f = other
			break
		}
		s.core.enqueue(now, s, i)
		return actions
	}
	if p.asked && !s.core.budgeter.Take(p.service) {
		switch {
		case p.open > 0:
		case now < s.terms.aim:
			p.retryAt = now + retryPause
		default:
			s.giveUp(p)
		}
		return actions
	}
	return s.call(now, i, f, p.asked, actions)
}

// hedge makes a second call beside one that is out.
func (s *Search) hedge(now tier.Millis, i int, actions []Action) []Action {
	p := &s.parts[i]
	if p.ran+p.open >= s.terms.attempts {
		return actions
	}
	f, cost, found := s.core.roomFor(now, s, p)
	if !found {
		if now < s.terms.aim {
			p.hedgeAt = now + hedgeRetry
		}
		return actions
	}
	late := now+tier.Millis(cost) > s.terms.aim
	if late && s.in >= s.terms.minimum && s.terms.aim > now {
		return actions // its reply would come after the answer went out
	}
	if !s.core.budgeter.Take(p.service) {
		return actions
	}
	return s.call(now, i, f, true, actions)
}

func (s *Search) pick(now tier.Millis, p *part, fresh bool) (lister.Leaf, float64, bool) {
	return s.core.balancer.Pick(now, s.terms.class, s.core.lister.Leafs(p.service), func(f lister.Leaf) bool {
		return !fresh || !contains(p.tried, f.ID())
	})
}

func (s *Search) call(now tier.Millis, i int, f lister.Leaf, extra bool, actions []Action) []Action {
	p := &s.parts[i]
	if !p.asked {
		p.asked = true
		s.core.budgeter.First(p.service, s.core.owners(now, p.service))
	}
	if extra {
		s.extra++
	}
	if !contains(p.tried, f.ID()) {
		p.tried = append(p.tried, f.ID())
	}
	p.open++
	s.core.balancer.Sent(now, f)
	s.calls = append(s.calls, call{part: i, leaf: f, sent: now})
	p.hedgeAt = never
	if s.terms.repeatable && p.ran+p.open < s.terms.attempts {
		p.hedgeAt = now + s.patience(now, p, f)
	}
	return append(actions, Send{
		Call: len(s.calls) - 1, Part: i, Leaf: f, TimeLeft: s.terms.end - now, Extra: extra,
	})
}

// patience is how long to wait for a call before hedging it: a good while
// longer than it should take, but not so long that the hedge comes too late.
func (s *Search) patience(now tier.Millis, p *part, f lister.Leaf) tier.Millis {
	byAim := hedgeShare * float64(s.terms.aim-now)
	byLatency := hedgeFactor*s.core.balancer.Usual(s.terms.class, f) + hedgeSlack
	wait := max(byAim, byLatency)
	if _, cost, found := s.pick(now, p, true); found {
		wait = min(wait, float64(s.terms.aim-now)-hedgeReserve*cost)
	}
	return max(leastPatience, tier.Millis(wait))
}

// again retries a part after a call that brought nothing. Calls that a leaf did
// not run do not count as attempts, but they are bounded too.
func (s *Search) again(now tier.Millis, i int, allowed bool, pause tier.Millis, actions []Action) []Action {
	p := &s.parts[i]
	if p.in || p.lost {
		return actions
	}
	if p.open > 0 {
		return actions // another call is out
	}
	if !allowed || p.ran >= s.terms.attempts || p.notRun >= s.terms.attempts+maxRefusals {
		s.giveUp(p)
		return actions
	}
	if pause > 0 && !s.hasFresh(now, p) {
		p.retryAt = now + pause
		return actions
	}
	return s.send(now, i, actions)
}

func (s *Search) hasFresh(now tier.Millis, p *part) bool {
	_, _, found := s.pick(now, p, true)
	return found
}

func (s *Search) giveUp(p *part) {
	if !p.lost && !p.in {
		p.lost = true
		s.lost++
	}
}

// settle ends the search if there is nothing to wait for.
func (s *Search) settle(now tier.Millis, actions []Action) []Action {
	if s.done {
		return actions
	}
	n := len(s.parts)
	if s.terms.flushes {
		return s.settleFlushing(now, actions)
	}
	switch {
	case s.in == n:
		return s.finish(now, Complete, actions)
	case s.in+s.lost == n && s.in >= s.terms.minimum:
		return s.finish(now, AtAim, actions)
	case n-s.lost < s.terms.minimum:
		return s.finish(now, s.failureCause(), actions)
	case now >= s.terms.aim && s.in >= s.terms.minimum:
		cause := AtAim
		if now > s.terms.aim+lateSlack {
			cause = PastAim
		}
		return s.finish(now, cause, actions)
	case now >= s.terms.end:
		return s.finish(now, OutOfTime, actions)
	}
	return actions
}

// settleFlushing is settle for a search that another VM waits for: that VM
// decides whether the parts suffice.
func (s *Search) settleFlushing(now tier.Millis, actions []Action) []Action {
	ended := s.in+s.lost == len(s.parts) || now >= s.terms.end
	if now < s.terms.aim && !ended {
		return actions
	}
	var f Flush
	for i := range s.parts {
		p := &s.parts[i]
		if !p.in || p.flushed {
			continue
		}
		p.flushed = true
		f.In = append(f.In, i)
		if p.reply != nil {
			f.Parts = append(f.Parts, Part{index: i, reply: p.reply})
		}
	}
	for k := range s.shares {
		f.Shares = append(f.Shares, s.shares[k].replies...)
		s.shares[k].replies = nil
	}
	if len(f.In) > 0 || !s.late {
		actions = append(actions, f)
	}
	s.late = true
	if !ended {
		return actions
	}
	cause := Complete
	if s.in < len(s.parts) {
		cause = PartsLost
	}
	return s.finish(now, cause, actions)
}

// lateSlack tells an answer at the aim from one after it.
const lateSlack = 5 * tier.Millisecond

func (s *Search) failureCause() Cause {
	switch {
	case s.terms.whole && s.parts[0].failure != nil:
		return LeafFailure
	case len(s.calls) == 0 && len(s.shares) == 0:
		return NoLeaf
	case !s.maybe:
		return LeafsRefused
	case !s.terms.repeatable:
		return OutcomeUnsure
	}
	return PartsLost
}

func (s *Search) finish(now tier.Millis, cause Cause, actions []Action) []Action {
	s.done = true
	// A call that is still out may be at work.
	for i := range s.calls {
		if !s.calls[i].ended {
			s.maybe = true
		}
	}
	misses := s.misses(now)
	if !s.terms.flushes && len(s.parts) > 1 {
		s.judge(now)
	}
	actions = s.cancelAll(now, actions)
	s.pending = nil
	o := Outcome{
		cause: cause, maybe: s.maybe, missing: len(s.parts) - s.in, misses: misses,
		sent: len(s.calls) + s.extern, extra: s.extra + s.extExt,
	}
	for k := range s.shares {
		o.shares = append(o.shares, s.shares[k].replies...)
	}
	if cause == LeafFailure {
		o.failure = s.parts[0].failure
	}
	o.parts = make([]Part, 0, s.in)
	for i := range s.parts {
		if s.parts[i].in && s.parts[i].reply != nil {
			o.parts = append(o.parts, Part{index: i, reply: s.parts[i].reply})
		}
	}
	return append(actions, Finish{Outcome: o})
}

// maxMisses bounds the services that an outcome explains: they go into one log
// line.
const maxMisses = 6

// misses says why parts are not in.
func (s *Search) misses(now tier.Millis) []Miss {
	var list []Miss
	for i := range s.parts {
		p := &s.parts[i]
		if p.in {
			continue
		}
		if len(list) == maxMisses {
			break
		}
		m := Miss{service: p.service, why: "no-leaf"}
		switch {
		case p.share != none:
			m.why = "asked-by-" + s.shares[p.share].member.VM().Name()
		case p.waiting:
			m.why = "waits-for-room"
		case p.asked && !p.lost:
			m.why = "no-budget"
		}
		for k := range s.calls {
			if c := &s.calls[k]; c.part == i {
				m.leaf, m.waited = c.leaf.ID(), now-c.sent
				m.why = c.why
				if !c.ended {
					m.why = "slow"
				}
			}
		}
		list = append(list, m)
	}
	return list
}

// whyOf names how a call ended that brought nothing.
func whyOf(r Result) string {
	switch r := r.(type) {
	case FailedReply:
		return "failed"
	case Lost:
		if r.Fresh {
			return "connection-reset"
		}
		return "lost"
	case NotRun:
		return r.Reason.String()
	}
	return ""
}

// judge tells which parts made the aim.
func (s *Search) judge(now tier.Millis) {
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.in && !p.late:
			s.core.forecaster.Came(now, p.service)
		case p.in || p.lost || now >= s.terms.aim:
			s.core.forecaster.Missed(now, p.service)
		}
	}
}

func (s *Search) cancelPart(now tier.Millis, i int, actions []Action) []Action {
	for k := range s.calls {
		c := &s.calls[k]
		if c.part == i && !c.ended {
			actions = s.cancel(now, k, actions)
		}
	}
	return actions
}

func (s *Search) cancelAll(now tier.Millis, actions []Action) []Action {
	for i := range s.parts {
		s.core.dequeue(s, i)
	}
	for k := range s.calls {
		if !s.calls[k].ended {
			actions = s.cancel(now, k, actions)
		}
	}
	for k := range s.shares {
		if h := &s.shares[k]; !h.ended {
			h.ended = true
			s.maybe = true
			s.core.sharer.Gathered(s.terms.class, h.member.Region(), now-h.sent)
			actions = append(actions, Recall{Share: k, Member: h.member})
		}
	}
	return actions
}

func (s *Search) cancel(now tier.Millis, k int, actions []Action) []Action {
	c := &s.calls[k]
	c.ended = true
	s.parts[c.part].open--
	s.core.balancer.Cancelled(now, s.terms.class, c.leaf, now-c.sent)
	s.core.fill(now, s.parts[c.part].service)
	return append(actions, Cancel{Call: k})
}

func contains(list []string, id string) bool {
	for _, v := range list {
		if v == id {
			return true
		}
	}
	return false
}
