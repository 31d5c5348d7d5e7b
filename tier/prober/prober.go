// Package prober judges the state of one backend server from its health
// endpoint, the platform's list and the replies to calls. It is a state
// machine: it does no I/O and holds no clock.
//
// Health and list lag and may be wrong, so replies outweigh them, with one
// exception: the first sign of leaving, whatever its source, ends new work.
package prober

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Failures in a row after which a server is lost.
const (
	lostFailures = 3
	lostRefusals = 2
)

// toldFactor is how many times rarer a server is probed whose replies tell its
// state.
const toldFactor = 4

type config struct {
	interval    tier.Millis
	coldRamp    tier.Millis
	leavingHold tier.Millis
	shedHold    tier.Millis
	trust       tier.Millis
	maxRetry    tier.Millis
}

// Option sets one field of a Prober.
type Option func(*config)

// WithInterval sets the time between probes.
func WithInterval(m tier.Millis) Option { return func(c *config) { c.interval = m } }

// WithColdRamp sets how long a cold server stays cold at most.
func WithColdRamp(m tier.Millis) Option { return func(c *config) { c.coldRamp = m } }

// WithLeavingHold sets how long all signs must say otherwise before a leaving
// server that did not restart is believed to stay.
func WithLeavingHold(m tier.Millis) Option { return func(c *config) { c.leavingHold = m } }

// Defaults sets every field.
func (c *config) Defaults() {
	c.interval = tier.Second
	c.coldRamp = tier.DefaultColdRamp
	c.leavingHold = tier.Minute
	c.shedHold = 2 * tier.Second
	c.trust = 3 * tier.Second
	c.maxRetry = 16 * tier.Second
}

// Validate reports every bad field in a *tier.InvalidError.
func (c *config) Validate() error {
	var l []tier.FieldProblem
	check := func(ok bool, path string, value any, allowed string) {
		if !ok {
			l = append(l, tier.NewFieldProblem(path, value, allowed))
		}
	}
	check(c.interval >= 10 && c.interval <= tier.Minute, "interval-ms", c.interval, "10 to 60000")
	check(c.coldRamp >= 0 && c.coldRamp <= tier.MaxColdRamp, "cold-ramp-ms", c.coldRamp, "0 to 600000")
	check(c.leavingHold >= c.interval, "leaving-hold-ms", c.leavingHold, "at least the interval")
	return tier.NewInvalidError("prober", l)
}

// Prober judges one backend server. It is not safe for concurrent use.
type Prober struct {
	config
	server string
	state  tier.BackendState
	now    tier.Millis

	nextProbe tier.Millis
	number    uint64 // of the last probe
	retry     tier.Millis

	since     tier.Millis // of the state
	refusals  int         // in a row, of calls and probes
	failures  int         // in a row, of calls
	missed    int         // in a row, of probes
	lostAt    uint64      // the last probe sent before the server was lost
	lastOK    tier.Millis // the last good reply
	everOK    bool
	told      bool // the last good reply told the server's state
	lastShed  tier.Millis
	leavingAt tier.Millis // the last sign of leaving
	refusedAt uint64      // the last probe sent before a refusal while leaving
	refused   bool        // a connection was refused while leaving

	actions []Action
}

// New returns the prober of a server of that name. Its errors are of type
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
	p.retry = p.interval
	return p, nil
}

// Server is the backend server's name.
func (p *Prober) Server() string { return p.server }

// State is what the server is believed to be.
func (p *Prober) State() tier.BackendState { return p.state }

// Next is when the next Tick is due.
func (p *Prober) Next() (tier.Millis, bool) { return p.nextProbe, true }

// Step takes a sign and returns what to do about it.
func (p *Prober) Step(now tier.Millis, e Event) []Action {
	p.now = now
	p.actions = nil
	switch e := e.(type) {
	case *Tick:
		p.tick()
	case *Health:
		p.health(e)
	case *HealthFailed:
		p.healthFailed(e)
	case *ReplyOK:
		p.replyOK(e.state)
	case *ReplyShed:
		p.replyShed()
	case *ReplyLeaving:
		p.leave("reply")
	case *ReplyFailed:
		p.replyFailed(e.refused)
	}
	return p.actions
}

func (p *Prober) become(s tier.BackendState, reason string) {
	if s == p.state {
		return
	}
	p.state = s
	p.since = p.now
	p.actions = append(p.actions, &StateChanged{server: p.server, state: s, reason: reason})
}

func (p *Prober) tick() {
	p.settle()
	if p.now < p.nextProbe {
		return
	}
	p.nextProbe = p.now + p.wait()
	p.number++
	p.actions = append(p.actions, &Probe{server: p.server, number: p.number})
}

// wait is the time until the next probe. A live server whose replies tell its
// state is probed less often.
func (p *Prober) wait() tier.Millis {
	switch {
	case p.state == tier.BackendLost:
		return p.retry
	case p.state == tier.BackendLive && p.told && p.now-p.lastOK <= p.interval:
		return toldFactor * p.interval
	default:
		return p.interval
	}
}

// settle ends states that pass with time.
func (p *Prober) settle() {
	switch {
	case p.state == tier.BackendCold && p.now-p.since >= p.coldRamp:
		p.become(tier.BackendLive, "cold ramp over")
	case p.state == tier.BackendShedding && p.now-p.lastShed >= p.shedHold:
		p.become(tier.BackendLive, "sheds no more")
	}
}

// trusted reports whether good replies came of late, which outweigh a health
// endpoint that says otherwise.
func (p *Prober) trusted() bool { return p.everOK && p.now-p.lastOK <= p.trust && p.failures == 0 }
