package searcher

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
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
	waiting bool   // for room at a leaf
	late    bool   // it came after the aim
	why     string // it was given up
}

// none is the number of no share.
const none = -1

// share is the state of the parts that another VM asks.
type share struct {
	member   partitioner.Member
	parts    []int
	sent     tier.Millis
	acceptBy tier.Millis // when its VM is taken for dead
	reportBy tier.Millis // when its VM is taken for stuck
	aim      tier.Millis // the time that its VM was given, from when it got it
	reported bool
	ended    bool
	replies  []any
}

const never = tier.Millis(1) << 60

// Search is one request. It is not safe for concurrent use.
type Search struct {
	core    *Scheduler
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

// NewSearch returns a search over services. Shares that are not this VM's own are
// given to their VMs; without any, this VM asks all.
func NewSearch(core *Scheduler, terms Terms, services []string, shares []partitioner.Share) *Search {
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

// CallEnded takes the result of a call.
func (s *Search) CallEnded(now tier.Millis, number int, r Result) []Action {
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
		stuck := !h.reported && now >= h.reportBy
		if !h.ended && (now >= h.acceptBy || stuck) {
			actions = s.takeBack(now, k, append(actions, Recall{Share: k, Member: h.member, TimedOut: true, Accepted: h.acceptBy == never}))
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

// NextTick is when Tick has to be called at the latest.
func (s *Search) NextTick() tier.Millis {
	next := s.terms.end
	if s.in < len(s.parts) {
		if (s.in >= s.terms.minimum || s.terms.flushes) && !s.late && s.terms.aim < next {
			next = s.terms.aim
		}
		for k := range s.shares {
			if h := &s.shares[k]; !h.ended {
				next = min(next, h.acceptBy)
				if !h.reported {
					next = min(next, h.reportBy)
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
	return s.finish(now, CallerLeft, nil)
}

func (s *Search) observe(now tier.Millis, c *call, r Result) {
	b := s.core.balancer
	switch r := r.(type) {
	case Answered:
		b.Answered(now, s.terms.class, c.leaf, now-c.sent)
	case FailedReply:
		b.Failed(now, c.leaf)
	case Lost:
		if r.NewConnection {
			b.ConnectionReset(now, c.leaf)
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

// giveUp marks a part as lost; why is empty if its last call or share says it.
func (s *Search) giveUp(p *part, why string) {
	if !p.lost && !p.in {
		p.lost, p.why = true, why
		s.lost++
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
			s.core.sharer.RecordShareLatency(s.terms.class, h.member.Region(), now-h.sent)
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
