// Package planner plans one search at the entry VM that took it: it pins a
// snapshot, divides the shards among data centres, gathers their results,
// and ends with one outcome. It asks the own data centre first and others
// for what the own one does not hold or could not bring.
package planner

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
)

// Defaults of a plan's options.
const (
	DefaultReruns        = 1
	DefaultAnswerReserve = 2 * tier.Millis(1)
	DefaultHomeReserve   = 5 * tier.Millis(1)
	DefaultAwayReserve   = 30 * tier.Millis(1)
	DefaultPatience      = 300 * tier.Millis(1)
	viewPoll             = 20 * tier.Millis(1)
)

// Plan is the state machine of one search. It is not safe for concurrent
// use.
type Plan struct {
	home          string
	profile       *tier.Profile
	view          View
	begun         tier.Millis
	deadline      tier.Millis
	answerReserve tier.Millis
	homeReserve   tier.Millis
	awayReserve   tier.Millis
	patience      tier.Millis
	budget        *Budget
	reruns        int

	maps     []*tier.ShardSet // the map in force first
	round    *round
	rounds   []*round
	pinned   map[tier.Snapshot]bool
	waiting  bool        // for the view to show a snapshot that can be had
	lost     bool        // a shard of this round was lost to its snapshot
	lostAt   tier.Millis // when that was first seen
	pollAt   tier.Millis
	fresh    map[place]Held
	gone     map[servedAt]bool
	parts    map[uint64]*part
	lastPart uint64
	ran      bool
	refusal  *tier.Refused
	done     bool
	counters Counters
}

// Option sets one field of a plan.
type Option func(*Plan)

// WithReruns sets how often the search may be run again under another
// snapshot.
func WithReruns(n int) Option { return func(p *Plan) { p.reruns = n } }

// WithBudget sets the budget for repeated shard requests, shared by the
// plans of a set. Without one only the plan's own bounds hold.
func WithBudget(b *Budget) Option { return func(p *Plan) { p.budget = b } }

// WithEarlier adds former shard maps, newest first. They are pinned while
// the servers don't hold the map in force.
func WithEarlier(sets ...*tier.ShardSet) Option {
	return func(p *Plan) { p.maps = append(p.maps, sets...) }
}

// WithReserves sets the time kept for the answer's way to the caller, and
// for a part's way back from the own and from another data centre.
func WithReserves(answer, home, away tier.Millis) Option {
	return func(p *Plan) { p.answerReserve, p.homeReserve, p.awayReserve = answer, home, away }
}

// WithPatience sets how long a search that its snapshot failed waits for the
// view to show a better one. A search that can be answered never waits.
func WithPatience(m tier.Millis) Option { return func(p *Plan) { p.patience = m } }

// New returns the plan of a search that has to end by deadline. The first
// Step, with a Tick, starts it. Home is the own data centre.
func New(now tier.Millis, home string, profile *tier.Profile, set *tier.ShardSet, v View, deadline tier.Millis, opts ...Option) *Plan {
	p := &Plan{
		home:     home,
		profile:  profile,
		view:     v,
		begun:    now,
		deadline: deadline,
		maps:     []*tier.ShardSet{set},
		pinned:   map[tier.Snapshot]bool{},
		fresh:    map[place]Held{},
		gone:     map[servedAt]bool{},
		parts:    map[uint64]*part{},
	}
	p.Defaults()
	if e, ok := v.(EarlierView); ok {
		if former, ok := e.Earlier(set.Name()); ok && former.Epoch() < set.Epoch() {
			p.maps = append(p.maps, former)
		}
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Defaults sets reruns and reserves.
func (p *Plan) Defaults() {
	p.reruns = DefaultReruns
	p.answerReserve = DefaultAnswerReserve
	p.homeReserve = DefaultHomeReserve
	p.awayReserve = DefaultAwayReserve
	p.patience = DefaultPatience
}

// Next is when the next Tick is due, if the plan has not ended.
func (p *Plan) Next() (tier.Millis, bool) {
	if p.waiting {
		return min(p.pollAt, p.end()), !p.done
	}
	return p.end(), !p.done
}

func (p *Plan) end() tier.Millis { return p.deadline - p.capped(p.answerReserve) }

// Done reports whether the plan has ended.
func (p *Plan) Done() bool { return p.done }

// Step takes an event and returns what is to be done now. After Finish it
// returns nothing.
func (p *Plan) Step(now tier.Millis, e Event) []Action {
	if p.done {
		p.countLate(e)
		return nil
	}
	var out []Action
	if p.round == nil && len(p.rounds) == 0 {
		out = p.start(now)
	}
	switch e := e.(type) {
	case *PartReplied:
		out = append(out, p.replied(now, e)...)
	case *PartRefused:
		out = append(out, p.refused(now, e)...)
	case *PartFailed:
		out = append(out, p.failed(now, e)...)
	case *SetChanged:
		p.setChanged(e.set)
	case *CallerGone:
		return append(out, p.callerGone()...)
	case *Tick:
	}
	out = append(out, p.rerun(now)...)
	return append(out, p.conclude(now)...)
}

func (p *Plan) start(now tier.Millis) []Action {
	n, ok := p.choose()
	if !ok || n.fraction() < p.profile.MinCoverage() || now >= p.end() {
		return nil
	}
	p.budget.earn(len(n.set.Shards()))
	return p.run(now, n)
}

// run starts a round under a snapshot.
func (p *Plan) run(now tier.Millis, n pin) []Action {
	p.round = newRound(n)
	p.rounds = append(p.rounds, p.round)
	p.pinned[n.snapshot()] = true
	return p.send(p.place(now, p.round, nil, n.set.Shards()))
}

// rerun starts another round when shards of this one were lost for its
// snapshot and another snapshot promises more.
func (p *Plan) rerun(now tier.Millis) []Action {
	if p.round == nil || p.reruns == 0 || p.partDeadline(p.home) <= now {
		return nil
	}
	if s, ok := p.view.Set(p.maps[0].Name()); ok {
		p.setChanged(s)
	}
	if !p.lostToSnapshot() {
		return nil
	}
	if !p.lost {
		p.lost, p.lostAt = true, now
	}
	n, ok := p.choose()
	if !ok || n.fraction() <= p.round.potential() || !p.budget.spend(len(n.set.Shards())) {
		return nil
	}
	p.reruns--
	p.lost = false
	p.counters.reruns++
	return p.run(now, n)
}

func (p *Plan) lostToSnapshot() bool {
	if len(p.round.lost) > 0 && p.maps[0].Epoch() > p.round.snapshot.Epoch() {
		return true
	}
	for _, reason := range p.round.lost {
		if reason == tier.MissWrongSnapshot {
			return true
		}
	}
	return false
}

func (p *Plan) setChanged(set *tier.ShardSet) {
	if set.Epoch() > p.maps[0].Epoch() {
		p.maps = append([]*tier.ShardSet{set}, p.maps...)
	}
}

// best is the round whose answer covers most, the newer one of equals.
func (p *Plan) best() *merger.Merge {
	var best *merger.Merge
	for _, r := range p.rounds {
		if best == nil || r.merge.Fraction() >= best.Fraction() {
			best = r.merge
		}
	}
	return best
}
