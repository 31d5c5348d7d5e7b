package searcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// call is one sending to a leaf.
type call struct {
	part  int
	leaf  lister.Leaf
	sent  tier.Millis
	ended bool
}

// part is the state of one service.
type part struct {
	service string
	reply   any
	in      bool
	lost    bool // can't come any more
	tried   []string
	open    int
	hedgeAt tier.Millis // when to send a second call, or never
	retryAt tier.Millis // when to send again after a refusal, or never
	failure any
	asked   bool
}

const never = tier.Millis(1) << 60

// Search is one request. It is not safe for concurrent use.
type Search struct {
	core   *Core
	terms  Terms
	parts  []part
	calls  []call
	in     int
	lost   int
	extra  int
	maybe  bool // a leaf may have begun to work on it
	done   bool
	notRun int
}

// New returns a search over services.
func New(core *Core, terms Terms, services []string) *Search {
	s := &Search{core: core, terms: terms, parts: make([]part, len(services))}
	for i, name := range services {
		s.parts[i] = part{service: name, hedgeAt: never, retryAt: never}
	}
	s.calls = make([]call, 0, len(services)+len(services)/4)
	return s
}

// Start sends the first calls.
func (s *Search) Start(now tier.Millis) []Action {
	actions := make([]Action, 0, len(s.parts)+1)
	for i := range s.parts {
		actions = s.send(now, i, actions)
	}
	return s.settle(now, actions)
}

// Ended takes the result of a call.
func (s *Search) Ended(now tier.Millis, number int, r Result) []Action {
	c := &s.calls[number]
	if c.ended {
		return nil
	}
	c.ended = true
	s.observe(now, c, r)
	p := &s.parts[c.part]
	p.open--
	if s.done {
		return nil
	}
	var actions []Action
	switch r := r.(type) {
	case Answered:
		s.maybe = true
		if !p.in && !p.lost {
			p.in, p.reply = true, r.Reply
			s.in++
		}
		actions = s.cancelPart(now, c.part, actions)
	case FailedReply:
		s.maybe = true
		p.failure = r.Reply
		actions = s.again(now, c.part, s.terms.repeatable, 0, actions)
	case Lost:
		s.maybe = true
		actions = s.again(now, c.part, s.terms.repeatable, 0, actions)
	case NotRun:
		s.notRun++
		pause := tier.Millis(0)
		if r.Reason == Shed {
			pause = retryPause
		}
		actions = s.again(now, c.part, r.Reason != Declined, pause, actions)
	}
	return s.settle(now, actions)
}

// Tick does what is due.
func (s *Search) Tick(now tier.Millis) []Action {
	if s.done {
		return nil
	}
	var actions []Action
	for i := range s.parts {
		p := &s.parts[i]
		if p.in || p.lost {
			continue
		}
		if now >= p.retryAt {
			p.retryAt = never
			actions = s.send(now, i, actions)
		}
		if now >= p.hedgeAt {
			p.hedgeAt = never
			actions = s.hedge(now, i, actions)
		}
	}
	return s.settle(now, actions)
}

// Next is when Tick has to be called at the latest.
func (s *Search) Next() tier.Millis {
	next := s.terms.end
	if s.in < len(s.parts) {
		if s.in >= s.terms.minimum && s.terms.aim < next {
			next = s.terms.aim
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
	case FailedReply, Lost:
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

// send makes the next call of a part, or gives the part up.
func (s *Search) send(now tier.Millis, i int, actions []Action) []Action {
	p := &s.parts[i]
	if s.terms.end-now < leastTime {
		return actions
	}
	f, cost, found := s.pick(now, p, true)
	if !found && len(p.tried) > 0 {
		f, cost, found = s.pick(now, p, false)
	}
	if !found || p.asked && !s.core.budgeter.Take(p.service) {
		if p.open == 0 {
			s.giveUp(p)
		}
		return actions
	}
	return s.call(now, i, f, cost, p.asked, actions)
}

// hedge makes a second call beside one that is out.
func (s *Search) hedge(now tier.Millis, i int, actions []Action) []Action {
	p := &s.parts[i]
	if len(p.tried) >= s.terms.attempts {
		return actions
	}
	f, cost, found := s.pick(now, p, true)
	if !found {
		return actions
	}
	late := now+tier.Millis(cost) > s.terms.aim
	if late && s.in >= s.terms.minimum && s.terms.aim > now {
		return actions // its reply would come after the answer went out
	}
	if !s.core.budgeter.Take(p.service) {
		return actions
	}
	return s.call(now, i, f, cost, true, actions)
}

func (s *Search) pick(now tier.Millis, p *part, fresh bool) (lister.Leaf, float64, bool) {
	return s.core.balancer.Pick(now, s.terms.class, s.core.lister.Leafs(p.service), func(f lister.Leaf) bool {
		return !fresh || !contains(p.tried, f.ID())
	})
}

func (s *Search) call(now tier.Millis, i int, f lister.Leaf, cost float64, extra bool, actions []Action) []Action {
	p := &s.parts[i]
	if !p.asked {
		p.asked = true
		s.core.budgeter.First(p.service)
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
	if s.terms.repeatable && len(p.tried) < s.terms.attempts {
		p.hedgeAt = now + s.patience(now, cost)
	}
	return append(actions, Send{
		Call: len(s.calls) - 1, Part: i, Leaf: f, TimeLeft: s.terms.end - now, Extra: extra,
	})
}

// patience is how long to wait for a call before hedging it.
func (s *Search) patience(now tier.Millis, expected float64) tier.Millis {
	byAim := hedgeShare * float64(s.terms.aim-now)
	byLatency := hedgeFactor*expected + hedgeSlack
	return max(1, tier.Millis(max(byAim, byLatency)))
}

// again retries a part after a call that brought nothing.
func (s *Search) again(now tier.Millis, i int, allowed bool, pause tier.Millis, actions []Action) []Action {
	p := &s.parts[i]
	if p.in || p.lost {
		return actions
	}
	if !allowed {
		if p.open == 0 {
			s.giveUp(p)
		}
		return actions
	}
	if p.open > 0 {
		return actions // another call is out
	}
	if len(p.tried) >= s.terms.attempts && s.terms.attempts > 1 && s.sendsOf(i) >= s.terms.attempts {
		s.giveUp(p)
		return actions
	}
	if pause > 0 && !s.hasFresh(now, p) {
		if s.sendsOf(i) >= s.terms.attempts {
			s.giveUp(p)
			return actions
		}
		p.retryAt = now + pause
		return actions
	}
	return s.send(now, i, actions)
}

func (s *Search) hasFresh(now tier.Millis, p *part) bool {
	_, _, found := s.pick(now, p, true)
	return found
}

func (s *Search) sendsOf(i int) int {
	n := 0
	for k := range s.calls {
		if s.calls[k].part == i {
			n++
		}
	}
	return n
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

// lateSlack tells an answer at the aim from one after it.
const lateSlack = 5 * tier.Millisecond

func (s *Search) failureCause() Cause {
	switch {
	case s.terms.whole && s.parts[0].failure != nil:
		return LeafFailure
	case len(s.calls) == 0:
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
	actions = s.cancelAll(now, actions)
	o := Outcome{cause: cause, maybe: s.maybe, sent: len(s.calls), extra: s.extra}
	if cause == LeafFailure {
		o.failure = s.parts[0].failure
	}
	o.parts = make([]Part, 0, s.in)
	for i := range s.parts {
		if s.parts[i].in {
			o.parts = append(o.parts, Part{index: i, reply: s.parts[i].reply})
		}
	}
	return append(actions, Finish{Outcome: o})
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
	for k := range s.calls {
		if !s.calls[k].ended {
			actions = s.cancel(now, k, actions)
		}
	}
	return actions
}

func (s *Search) cancel(now tier.Millis, k int, actions []Action) []Action {
	c := &s.calls[k]
	c.ended = true
	s.parts[c.part].open--
	s.core.balancer.Cancelled(now, s.terms.class, c.leaf, now-c.sent)
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
