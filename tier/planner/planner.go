// Package planner plans one search on the entry VM that received it: it pins a
// snapshot, divides the shards among data centres, merges their results, and ends with
// one outcome. It asks the local data centre first, and others for shards that the
// local one does not hold or failed to return.
package planner

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
)

// Defaults of a plan's options.
const (
	DefaultReruns        = 1
	DefaultAnswerReserve = 2 * tier.Millis(1)
	DefaultLocalReserve  = 5 * tier.Millis(1)
	DefaultRemoteReserve = 30 * tier.Millis(1)
	DefaultViewWait      = 300 * tier.Millis(1)
	viewPollInterval     = 20 * tier.Millis(1)
)

// Plan is the state machine of one search. It is not safe for concurrent use.
type Plan struct {
	localDataCentre string
	profile         *tier.Profile
	view            View
	startedAt       tier.Millis
	deadline        tier.Millis
	answerReserve   tier.Millis
	localReserve    tier.Millis
	remoteReserve   tier.Millis
	viewWait        tier.Millis
	budget          *Budget
	rerunsLeft      int

	maps           []*tier.ShardSet // shard maps, the one in force first
	currentRound   *round
	rounds         []*round
	pinned         map[tier.Snapshot]bool
	waitingForView bool                         // for the view to show a snapshot that can be served
	shardsLost     bool                         // a shard of this round is not served at its snapshot
	shardsLostAt   tier.Millis                  // when that was first detected
	nextPollAt     tier.Millis                  // next look at the view while waiting
	reportedHeld   map[replicaSite]HeldVersions // from replies
	notServed      map[siteSnapshot]bool        // according to replies
	openParts      map[uint64]*part             // by number, not answered yet
	lastPart       uint64                       // number of the last part sent
	mayHaveRun     bool                         // a part may have made leaf calls
	refusal        *tier.Refused
	done           bool
	counters       Counters
}

// Option sets one field of a plan.
type Option func(*Plan)

// WithReruns sets how often the search may be repeated at another snapshot.
func WithReruns(n int) Option { return func(p *Plan) { p.rerunsLeft = n } }

// WithBudget sets the budget of repeated shard requests that the plans of a set share.
// Without it only the plan's own limits apply.
func WithBudget(b *Budget) Option { return func(p *Plan) { p.budget = b } }

// WithEarlierSets adds earlier shard maps, newest first. They are pinned while the
// servers don't hold the map in force.
func WithEarlierSets(sets ...*tier.ShardSet) Option {
	return func(p *Plan) { p.maps = append(p.maps, sets...) }
}

// WithReserves sets the time reserved for returning the answer to the caller, and for
// returning a part from the local and from a remote data centre.
func WithReserves(answer, local, remote tier.Millis) Option {
	return func(p *Plan) { p.answerReserve, p.localReserve, p.remoteReserve = answer, local, remote }
}

// WithViewWait sets how long a search whose snapshot is no longer served waits for the
// view to show a better one, but at most a quarter of the search's total time. A search
// that can be answered never waits.
func WithViewWait(m tier.Millis) Option { return func(p *Plan) { p.viewWait = m } }

// New returns the plan of a search that has to end by the deadline. The first Step,
// with a Tick, starts it.
func New(now tier.Millis, localDataCentre string, profile *tier.Profile, set *tier.ShardSet, v View, deadline tier.Millis, opts ...Option) *Plan {
	p := &Plan{
		localDataCentre: localDataCentre,
		profile:         profile,
		view:            v,
		startedAt:       now,
		deadline:        deadline,
		maps:            []*tier.ShardSet{set},
		pinned:          map[tier.Snapshot]bool{},
		reportedHeld:    map[replicaSite]HeldVersions{},
		notServed:       map[siteSnapshot]bool{},
		openParts:       map[uint64]*part{},
	}
	p.Defaults()
	if e, ok := v.(EarlierView); ok {
		if earlier, ok := e.Earlier(set.Name()); ok && earlier.Epoch() < set.Epoch() {
			p.maps = append(p.maps, earlier)
		}
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Defaults sets the number of reruns, the reserves and the wait for the view.
func (p *Plan) Defaults() {
	p.rerunsLeft = DefaultReruns
	p.answerReserve = DefaultAnswerReserve
	p.localReserve = DefaultLocalReserve
	p.remoteReserve = DefaultRemoteReserve
	p.viewWait = DefaultViewWait
}

// Next returns when the next Tick is due, and whether the plan still needs one.
func (p *Plan) Next() (tier.Millis, bool) {
	if p.waitingForView {
		return min(p.nextPollAt, p.finishBy()), !p.done
	}
	return p.finishBy(), !p.done
}

func (p *Plan) finishBy() tier.Millis { return p.deadline - p.capReserve(p.answerReserve) }

// Done reports whether the plan has ended.
func (p *Plan) Done() bool { return p.done }

// Step applies an event and returns the actions that follow from it. After Finish it
// returns none.
func (p *Plan) Step(now tier.Millis, e Event) []Action {
	if p.done {
		p.countLate(e)
		return nil
	}
	var out []Action
	if p.currentRound == nil && len(p.rounds) == 0 {
		out = p.start(now)
	}
	switch e := e.(type) {
	case *PartReplied:
		out = append(out, p.handleReply(now, e)...)
	case *PartRefused:
		out = append(out, p.handleRefusal(now, e)...)
	case *PartFailed:
		out = append(out, p.handleFailure(now, e)...)
	case *SetChanged:
		p.addNewerMap(e.set)
	case *CallerGone:
		return append(out, p.handleCallerGone()...)
	case *Tick:
	}
	out = append(out, p.rerunIfLost(now)...)
	return append(out, p.finishIfDone(now)...)
}

func (p *Plan) start(now tier.Millis) []Action {
	c, ok := p.chooseSnapshot()
	if !ok || c.fraction() < p.profile.MinCoverage() || now >= p.finishBy() {
		return nil
	}
	p.budget.earn(len(c.set.Shards()))
	return p.startRound(now, c)
}

// startRound starts a round at a snapshot.
func (p *Plan) startRound(now tier.Millis, c candidate) []Action {
	p.currentRound = newRound(c)
	p.rounds = append(p.rounds, p.currentRound)
	p.pinned[c.snapshot()] = true
	return p.sendParts(p.groupByDataCentre(now, p.currentRound, nil, c.set.Shards()))
}

// rerunIfLost starts another round if shards of this one can't be served at its
// snapshot and another snapshot allows more coverage.
func (p *Plan) rerunIfLost(now tier.Millis) []Action {
	if p.currentRound == nil || p.rerunsLeft == 0 || p.partDeadline(p.localDataCentre) <= now {
		return nil
	}
	if s, ok := p.view.Set(p.maps[0].Name()); ok {
		p.addNewerMap(s)
	}
	if !p.lostForSnapshot() {
		return nil
	}
	if !p.shardsLost {
		p.shardsLost, p.shardsLostAt = true, now
	}
	c, ok := p.chooseSnapshot()
	if !ok || c.fraction() <= p.currentRound.potential() || !p.budget.spend(len(c.set.Shards())) {
		return nil
	}
	p.rerunsLeft--
	p.shardsLost = false
	p.counters.reruns++
	return p.startRound(now, c)
}

func (p *Plan) lostForSnapshot() bool {
	if len(p.currentRound.lost) > 0 && p.maps[0].Epoch() > p.currentRound.snapshot.Epoch() {
		return true
	}
	for _, reason := range p.currentRound.lost {
		if reason == tier.MissWrongSnapshot {
			return true
		}
	}
	return false
}

func (p *Plan) addNewerMap(set *tier.ShardSet) {
	if set.Epoch() > p.maps[0].Epoch() {
		p.maps = append([]*tier.ShardSet{set}, p.maps...)
	}
}

// bestMerge returns the merge with the greatest coverage; of equals, that of the newer
// round.
func (p *Plan) bestMerge() *merger.Merge {
	var best *merger.Merge
	for _, r := range p.rounds {
		if best == nil || r.merge.Fraction() >= best.Fraction() {
			best = r.merge
		}
	}
	return best
}
