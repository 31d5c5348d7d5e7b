package prober

import "cicadagrade.example/tier"

// markLeaving ends new work for the server at a sign of leaving.
func (p *Prober) markLeaving(source string) {
	p.lastLeavingSignalAt = p.now
	if p.state != tier.BackendLeaving {
		p.refusedWhileLeaving = false
	}
	p.setState(tier.BackendLeaving, "leaving by "+source)
}

func (p *Prober) handleHealth(e *Health) {
	p.probeFailures = 0
	switch {
	case e.state == tier.BackendLeaving:
		p.refusals = 0
		p.refusedWhileLeaving = false
		p.markLeaving("health")
	case p.state == tier.BackendLeaving:
		p.handleHealthWhileLeaving(e)
	case p.state == tier.BackendLost:
		p.handleHealthWhileLost(e)
	default:
		p.refusals = 0
		p.applyHealthState(e.state)
	}
}

// handleHealthWhileLeaving handles a health answer, other than leaving, of a leaving
// server. The server is back if it has restarted, which a refused connection shows, or
// if no sign of leaving has come for leavingHoldTime. A single answer is not enough,
// because the health endpoint may lag.
func (p *Prober) handleHealthWhileLeaving(e *Health) {
	restarted := p.refusedWhileLeaving && e.number > p.lastProbeBeforeRefusal
	stayed := p.now-p.lastLeavingSignalAt >= p.leavingHoldTime
	if !restarted && !stayed {
		return
	}
	p.refusedWhileLeaving = false
	p.refusals = 0
	p.failures = 0
	p.setState(tier.BackendCold, "back after leaving")
}

// handleHealthWhileLost handles a health answer of a lost server. The server becomes
// cold, so it gets little work until replies show that it works. An answer to a probe
// sent before the server was lost is ignored.
func (p *Prober) handleHealthWhileLost(e *Health) {
	if e.number <= p.lastProbeBeforeLost {
		return
	}
	p.refusals = 0
	p.failures = 0
	p.setState(tier.BackendCold, "answers again")
}

// applyHealthState applies the health answer of a server that gets work.
func (p *Prober) applyHealthState(s tier.BackendState) {
	switch s {
	case tier.BackendCold:
		if p.state == tier.BackendUnknown || p.state == tier.BackendLive && !p.recentOK() {
			p.setState(tier.BackendCold, "health")
		}
	case tier.BackendShedding:
		if p.state != tier.BackendCold && !p.recentOK() {
			p.lastShedAt = p.now
			p.setState(tier.BackendShedding, "health")
		}
	case tier.BackendLive:
		if p.state == tier.BackendUnknown {
			p.setState(tier.BackendLive, "health")
		}
	}
}

func (p *Prober) handleHealthFailed(e *ProbeFailed) {
	p.probeFailures++
	if e.refused {
		p.recordRefusal()
	}
	if p.probeFailures >= maxFailures && !p.recentOK() {
		p.markLost("health failed")
	}
	p.backOffProbes()
}

// recordRefusal counts a refused connection. If the server is leaving, the refusal
// shows that its process ended.
func (p *Prober) recordRefusal() {
	p.refusals++
	if p.state == tier.BackendLeaving {
		p.refusedWhileLeaving = true
		p.lastProbeBeforeRefusal = p.lastProbe
	}
	if p.refusals >= maxRefusals {
		p.markLost("refused")
	}
}

func (p *Prober) markLost(reason string) {
	if p.state == tier.BackendLeaving || p.state == tier.BackendLost {
		return
	}
	p.lastProbeBeforeLost = p.lastProbe
	p.setState(tier.BackendLost, reason)
	p.nextProbeAt = p.now + p.retryInterval
}

// backOffProbes doubles the probe interval of a lost server, up to a maximum.
func (p *Prober) backOffProbes() {
	if p.state == tier.BackendLost {
		p.retryInterval = min(2*p.retryInterval, p.maxRetryInterval)
	}
}

func (p *Prober) handleReplyOK(s tier.BackendState) {
	p.lastOK = p.now
	p.hadOK = true
	p.replyReportedState = s != tier.BackendUnknown
	p.failures = 0
	p.refusals = 0
	if p.state != tier.BackendLost {
		p.retryInterval = p.interval
	}
	switch {
	case s == tier.BackendLeaving:
		p.markLeaving("reply")
	case p.state == tier.BackendLeaving || p.state == tier.BackendLost:
		// This call was sent before the change; only a probe brings the server back.
	case s == tier.BackendCold && p.state != tier.BackendCold:
		p.setState(tier.BackendCold, "reply")
	case s == tier.BackendLive && p.state != tier.BackendShedding:
		p.setState(tier.BackendLive, "reply")
	case p.state == tier.BackendUnknown:
		p.setState(tier.BackendLive, "reply")
	}
}

func (p *Prober) handleReplyShed() {
	p.failures = 0
	p.refusals = 0
	p.lastShedAt = p.now
	if p.state.AcceptsCalls() {
		p.setState(tier.BackendShedding, "reply")
	}
}

func (p *Prober) handleReplyFailed(refused bool) {
	p.failures++
	if refused {
		p.recordRefusal()
	}
	if p.failures >= maxFailures {
		p.markLost("calls failed")
		p.backOffProbes()
	}
}
