package partitioner

import (
	"slices"

	"cicadagrade.example/tier"
)

// Cause is why a VM is suspected.
type Cause string

// Causes of suspicions.
const (
	ShareDeclined Cause = "share-declined" // it takes no shares at present
	ShareFailed   Cause = "share-failed"   // it could not be reached, or its stream of reports broke off
	ShareLate     Cause = "share-late"     // it has not accepted shares in time
	FetchFailed   Cause = "fetch-failed"   // it has not sent the changes of its view
)

// unreachable reports whether the VM has not answered at all.
func (c Cause) unreachable() bool { return c == ShareFailed || c == FetchFailed }

// Suspicion is the beginning of a suspicion.
type Suspicion struct {
	name  string
	cause Cause
}

// Name is the name of the VM.
func (s Suspicion) Name() string { return s.name }

// Cause is why it is suspected.
func (s Suspicion) Cause() Cause { return s.cause }

// TakeSuspicions returns the suspicions that have begun since the last call.
func (p *Partitioner) TakeSuspicions() []Suspicion {
	list := p.suspicions
	p.suspicions = nil
	return list
}

// SuspectedNames lists the names of the suspected VMs.
func (p *Partitioner) SuspectedNames() []string {
	var names []string
	for name, m := range p.members {
		if m.suspected {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Failed suspects a VM that did not answer in time. It gets no shares until a probe
// succeeds.
func (p *Partitioner) Failed(now tier.Millis, name string, cause Cause) {
	m, ok := p.members[name]
	if !ok || name == p.self.vm.Name() {
		return
	}
	m.unreachable = m.unreachable || cause.unreachable()
	if m.suspected {
		return
	}
	if m.backoff == 0 || now-m.recoveredAt >= backoffResetAfter {
		m.backoff = firstProbeDelay
	} else {
		m.backoff = min(2*m.backoff, maxProbeDelay)
	}
	m.suspected, m.probeAt = true, now+m.backoff
	p.suspicions = append(p.suspicions, Suspicion{name: name, cause: cause})
	p.ownerCache = nil
}

// TimedOut handles a VM that has not accepted a share within a time. One that has accepted
// another share shortly before may just be busy: if it were suspected, others would get its
// load, and the next one would be late. It is suspected if it misses maxTimeouts in a row, unless it is the
// last one that may serve requests of a VM which reaches no leafs: late is better than refused.
// It reports whether the VM is suspected now.
func (p *Partitioner) TimedOut(now tier.Millis, name string, waited tier.Millis) bool {
	m, ok := p.members[name]
	if !ok {
		return true
	}
	m.timeouts++
	m.roundTripMs = min(max(m.roundTripMs, float64(waited)), maxRoundTripMs)
	late := m.timeouts >= maxTimeouts || m.answeredAt == 0 || now-m.answeredAt >= recentAnswer
	if late && (!p.selfExcluded || !p.isOnlyHealthy(name)) {
		p.Failed(now, name, ShareLate)
	}
	return m.suspected
}

// isOnlyHealthy reports whether all other VMs but one are suspected.
func (p *Partitioner) isOnlyHealthy(name string) bool {
	for other, m := range p.members {
		if other != name && other != p.self.vm.Name() && !m.suspected {
			return false
		}
	}
	return true
}

// ExcludeSelf sets whether the own VM queries no shards, because it reaches no leafs. It ends
// all suspicions: shares of others may have failed for what this VM had not done in time.
func (p *Partitioner) ExcludeSelf(now tier.Millis, excluded bool) {
	p.selfExcluded = excluded
	p.ownerCache = nil
	for name := range p.members {
		p.Recovered(now, name)
	}
}

// Probes lists the VMs to probe now. Each is listed again after its backoff unless
// Recovered is called.
func (p *Partitioner) Probes(now tier.Millis) []Member {
	var due []Member
	for _, m := range p.members {
		if m.suspected && now >= m.probeAt {
			m.probeAt = now + m.backoff
			due = append(due, m.member)
		}
	}
	return due
}

// ProbeFailed handles a suspected VM that has not answered a probe.
func (p *Partitioner) ProbeFailed(name string) {
	if m, ok := p.members[name]; ok && m.suspected {
		m.unreachable = true
	}
}

// Reached handles an answer of a VM, whether it takes shares or not.
func (p *Partitioner) Reached(name string) {
	if m, ok := p.members[name]; ok {
		m.unreachable = false
	}
}

// Recovered ends the suspicion of a VM that has answered a probe in time and takes shares. It reports
// whether the VM was suspected.
func (p *Partitioner) Recovered(now tier.Millis, name string) bool {
	m, ok := p.members[name]
	if !ok || !m.suspected {
		return false
	}
	m.suspected, m.unreachable, m.recoveredAt = false, false, now
	p.ownerCache = nil
	return true
}
