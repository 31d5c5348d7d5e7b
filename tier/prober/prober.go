// Package prober derives the state of one backend server from its health endpoint and
// from the replies to calls. It is a state machine: it does no I/O and reads no clock.
//
// The health endpoint lags and may be wrong, so replies outweigh it, with one
// exception: after the first sign that the server is leaving, whatever its source, it
// gets no new work.
package prober

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Consecutive failures, and consecutive refused connections, after which a server counts
// as lost.
const (
	maxFailures = 3
	maxRefusals = 2
)

// reportedStateIntervalFactor is the factor by which probes become rarer while replies
// report the server's state.
const reportedStateIntervalFactor = 4

type config struct {
	interval         tier.Millis
	coldRamp         tier.Millis
	leavingHoldTime  tier.Millis // without a sign of leaving
	sheddingHoldTime tier.Millis // without a shed call
	trustTime        tier.Millis // for which a good reply outweighs the health endpoint
	maxRetryInterval tier.Millis // between probes of a lost server
}

// Option sets one field of a Prober.
type Option func(*config)

// WithInterval sets the time between probes.
func WithInterval(m tier.Millis) Option { return func(c *config) { c.interval = m } }

// WithColdRamp sets the longest time that a server stays cold.
func WithColdRamp(m tier.Millis) Option { return func(c *config) { c.coldRamp = m } }

// WithLeavingHold sets how long a leaving server that did not restart must show no sign
// of leaving before it gets work again.
func WithLeavingHold(m tier.Millis) Option { return func(c *config) { c.leavingHoldTime = m } }

// Defaults sets every field.
func (c *config) Defaults() {
	c.interval = tier.Second
	c.coldRamp = tier.DefaultColdRamp
	c.leavingHoldTime = tier.Minute
	c.sheddingHoldTime = 2 * tier.Second
	c.trustTime = 3 * tier.Second
	c.maxRetryInterval = 16 * tier.Second
}

// Validate reports all invalid fields in one *tier.InvalidError.
func (c *config) Validate() error {
	var problems []tier.FieldProblem
	check := func(ok bool, path string, value any, allowed string) {
		if !ok {
			problems = append(problems, tier.NewFieldProblem(path, value, allowed))
		}
	}
	check(c.interval >= 10 && c.interval <= tier.Minute, "interval-ms", c.interval, "10 to 60000")
	check(c.coldRamp >= 0 && c.coldRamp <= tier.MaxColdRamp, "cold-ramp-ms", c.coldRamp, "0 to 600000")
	check(c.leavingHoldTime >= c.interval, "leaving-hold-ms", c.leavingHoldTime, "at least the interval")
	return tier.NewInvalidError("prober", problems)
}

// Prober tracks the state of one backend server. It is not safe for concurrent use.
type Prober struct {
	config
	server string
	state  tier.BackendState
	now    tier.Millis

	nextProbeAt   tier.Millis
	lastProbe     uint64 // number of the last probe
	retryInterval tier.Millis

	stateSince             tier.Millis // when the state last changed
	refusals               int         // consecutive, of calls and probes
	failures               int         // consecutive, of calls
	probeFailures          int         // consecutive, of probes
	lastProbeBeforeLost    uint64      // last probe sent before the server was lost
	lastOK                 tier.Millis // time of the last ReplyOK
	hadOK                  bool
	replyReportedState     bool // whether the last good reply carried the server's state
	lastShedAt             tier.Millis
	lastLeavingSignalAt    tier.Millis // last sign of leaving, from any source
	lastProbeBeforeRefusal uint64      // last probe sent before the refusal while leaving
	refusedWhileLeaving    bool        // a connection was refused while leaving

	actions []Action
}

// New returns the prober of the server with that name. Its errors are of type
// *tier.InvalidError.
func New(server string, opts ...Option) (*Prober, error) {
	p := &Prober{server: server}
	p.Defaults()
	for _, o := range opts {
		o(&p.config)
	}
	if err := p.Validate(); err != nil {
		return nil, errors.Wrap(err, "New")
	}
	p.retryInterval = p.interval
	return p, nil
}

// Server is the backend server's name.
func (p *Prober) Server() string { return p.server }

// State returns the state that the server is assumed to be in.
func (p *Prober) State() tier.BackendState { return p.state }

// Next returns when the next Tick is due.
func (p *Prober) Next() (tier.Millis, bool) { return p.nextProbeAt, true }

// Step applies an event and returns the actions that follow from it.
func (p *Prober) Step(now tier.Millis, e Event) []Action {
	p.now = now
	p.actions = nil
	switch e := e.(type) {
	case *Tick:
		p.tick()
	case *Health:
		p.handleHealth(e)
	case *ProbeFailed:
		p.handleProbeFailed(e)
	case *ReplyOK:
		p.handleReplyOK(e.state)
	case *ReplyShed:
		p.handleReplyShed()
	case *ReplyLeaving:
		p.markLeaving("reply")
	case *ReplyFailed:
		p.handleReplyFailed(e.refused)
	}
	return p.actions
}

func (p *Prober) setState(s tier.BackendState, reason string) {
	if s == p.state {
		return
	}
	p.state = s
	p.stateSince = p.now
	p.actions = append(p.actions, &StateChanged{server: p.server, state: s, reason: reason})
}

func (p *Prober) tick() {
	p.expireState()
	if p.now < p.nextProbeAt {
		return
	}
	p.nextProbeAt = p.now + p.probeInterval()
	p.lastProbe++
	p.actions = append(p.actions, &Probe{server: p.server, number: p.lastProbe})
}

// probeInterval returns the time until the next probe. A live server whose replies
// report its state is probed less often, a lost one at a growing interval.
func (p *Prober) probeInterval() tier.Millis {
	switch {
	case p.state == tier.BackendLost:
		return p.retryInterval
	case p.state == tier.BackendLive && p.replyReportedState && p.now-p.lastOK <= p.interval:
		return reportedStateIntervalFactor * p.interval
	default:
		return p.interval
	}
}

// expireState ends the states cold and shedding when their time is over.
func (p *Prober) expireState() {
	switch {
	case p.state == tier.BackendCold && p.now-p.stateSince >= p.coldRamp:
		p.setState(tier.BackendLive, "cold ramp over")
	case p.state == tier.BackendShedding && p.now-p.lastShedAt >= p.sheddingHoldTime:
		p.setState(tier.BackendLive, "sheds no more")
	}
}

// recentOK reports whether a good reply came recently and no call has failed
// since. Then a health endpoint that says otherwise is not believed.
func (p *Prober) recentOK() bool { return p.hadOK && p.now-p.lastOK <= p.trustTime && p.failures == 0 }
