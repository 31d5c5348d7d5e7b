package prober

import "cicadagrade.example/tier"

// leave ends new work at the first sign of leaving.
func (p *Prober) leave(source string) {
	p.leavingAt = p.now
	if p.state != tier.BackendLeaving {
		p.refused = false
	}
	p.become(tier.BackendLeaving, "leaving by "+source)
}

func (p *Prober) health(e *Health) {
	p.missed = 0
	switch {
	case e.state == tier.BackendLeaving:
		p.refusals = 0
		p.refused = false
		p.leave("health")
	case p.state == tier.BackendLeaving:
		p.returned(e)
	case p.state == tier.BackendLost:
		p.found(e)
	default:
		p.refusals = 0
		p.healthy(e.state)
	}
}

// returned judges a good health answer of a leaving server. It is back once
// it restarted, of which a refused connection is the sign, or once all signs
// have said so for long: a page that lags must not bring it back.
func (p *Prober) returned(e *Health) {
	restarted := p.refused && e.number > p.refusedAt
	stayed := p.now-p.leavingAt >= p.leavingHold
	if !restarted && !stayed {
		return
	}
	p.refused = false
	p.refusals = 0
	p.failures = 0
	p.become(tier.BackendCold, "back after leaving")
}

// found judges a good health answer of a lost server: it gets little work
// until replies show that it is well.
func (p *Prober) found(e *Health) {
	if e.number <= p.lostAt {
		return
	}
	p.refusals = 0
	p.failures = 0
	p.become(tier.BackendCold, "answers again")
}

// healthy takes a health answer of a server that gets work.
func (p *Prober) healthy(s tier.BackendState) {
	switch s {
	case tier.BackendCold:
		if p.state == tier.BackendUnknown || p.state == tier.BackendLive && !p.trusted() {
			p.become(tier.BackendCold, "health")
		}
	case tier.BackendShedding:
		if p.state != tier.BackendCold && !p.trusted() {
			p.lastShed = p.now
			p.become(tier.BackendShedding, "health")
		}
	case tier.BackendLive:
		if p.state == tier.BackendUnknown {
			p.become(tier.BackendLive, "health")
		}
	}
}

func (p *Prober) healthFailed(e *HealthFailed) {
	p.missed++
	if e.refused {
		p.refuse()
	}
	if p.missed >= lostFailures && !p.trusted() {
		p.lose("health failed")
	}
	p.backOff()
}

// refuse counts a refused connection. While the server leaves it is the sign
// that the process ended.
func (p *Prober) refuse() {
	p.refusals++
	if p.state == tier.BackendLeaving {
		p.refused = true
		p.refusedAt = p.number
	}
	if p.refusals >= lostRefusals {
		p.lose("refused")
	}
}

func (p *Prober) lose(reason string) {
	if p.state == tier.BackendLeaving || p.state == tier.BackendLost {
		return
	}
	p.lostAt = p.number
	p.become(tier.BackendLost, reason)
	p.nextProbe = p.now + p.retry
}

// backOff spaces the probes of a server that stays lost.
func (p *Prober) backOff() {
	if p.state == tier.BackendLost {
		p.retry = min(2*p.retry, p.maxRetry)
	}
}

func (p *Prober) replyOK(s tier.BackendState) {
	p.lastOK = p.now
	p.everOK = true
	p.told = s != tier.BackendUnknown
	p.failures = 0
	p.refusals = 0
	if p.state != tier.BackendLost {
		p.retry = p.interval
	}
	switch {
	case s == tier.BackendLeaving:
		p.leave("reply")
	case p.state == tier.BackendLeaving || p.state == tier.BackendLost:
		// A call sent before; only a probe brings the server back.
	case s == tier.BackendCold && p.state != tier.BackendCold:
		p.become(tier.BackendCold, "reply")
	case s == tier.BackendLive && p.state != tier.BackendShedding:
		p.become(tier.BackendLive, "reply")
	case p.state == tier.BackendUnknown:
		p.become(tier.BackendLive, "reply")
	}
}

func (p *Prober) replyShed() {
	p.failures = 0
	p.refusals = 0
	p.lastShed = p.now
	if p.state.TakesWork() {
		p.become(tier.BackendShedding, "reply")
	}
}

func (p *Prober) replyFailed(refused bool) {
	p.failures++
	if refused {
		p.refuse()
	}
	if p.failures >= lostFailures {
		p.lose("calls failed")
		p.backOff()
	}
}
