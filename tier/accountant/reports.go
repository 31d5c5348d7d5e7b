package accountant

import (
	"cicadagrade.example/tier"
)

// TakeDue returns the reports to send now, and when to call it again, or 0 if only a request
// can make a report due. accountantOf returns the VM that keeps the account of an
// organisation, or false if there is none.
func (r *Reporter) TakeDue(now tier.Millis, accountantOf func(organisation string) (string, bool)) ([]Report, tier.Millis) {
	r.sweep(now)
	for to, l := range r.links {
		if l.failed != nil && !r.allAt(to, l.failed.usages, accountantOf) {
			r.reopen(*l.failed)
			l.failed = nil
		}
	}
	next := tier.Millis(0)
	usages := map[string][]Usage{}
	for organisation, a := range r.accounts {
		if !a.wanted {
			continue
		}
		to, ok := accountantOf(organisation)
		if !ok {
			r.becomeAlone(now, a)
			a.wanted = false
			continue
		}
		l := r.link(to)
		if l.outstanding {
			continue // the answer makes the next one due
		}
		interval := reportInterval
		if a.unreported == 0 {
			interval = max(interval, min(askInterval*tier.Millis(a.vms), maxAskInterval))
		}
		if due := l.sentAt + interval; l.sent && now < due {
			if next == 0 || due < next {
				next = due
			}
			continue
		}
		usages[to] = append(usages[to], Usage{organisation: organisation, requests: a.unreported, refused: a.refused})
	}
	var due []Report
	for to, list := range usages {
		due = append(due, r.send(now, to, list))
	}
	return due, next
}

func (r *Reporter) link(to string) *link {
	l, ok := r.links[to]
	if !ok {
		l = &link{}
		r.links[to] = l
	}
	return l
}

// send makes a report. One that has not been answered is sent again as it is, because the
// accountant may have recorded it.
func (r *Reporter) send(now tier.Millis, to string, usages []Usage) Report {
	l := r.link(to)
	l.sentAt, l.sent, l.outstanding = now, true, true
	if again := l.failed; again != nil {
		l.failed = nil
		again.sentAt = now
		return *again
	}
	r.sequence++
	for _, u := range usages {
		a := r.accounts[u.organisation]
		a.unreported -= u.requests
		a.inFlight += u.requests
		a.refused, a.wanted = 0, false
	}
	return Report{to: to, name: r.name, incarnation: r.incarnation, sequence: r.sequence, usages: usages, sentAt: now}
}

func (r *Reporter) allAt(to string, usages []Usage, accountantOf func(string) (string, bool)) bool {
	for _, u := range usages {
		if name, ok := accountantOf(u.organisation); !ok || name != to {
			return false
		}
	}
	return true
}

// reopen makes the requests of a report that was not answered part of the next report.
func (r *Reporter) reopen(report Report) {
	for _, u := range report.usages {
		if a, ok := r.accounts[u.organisation]; ok {
			a.inFlight -= u.requests
			a.unreported += u.requests
			a.wanted = true
		}
	}
}

// Answered handles the answer to a report.
func (r *Reporter) Answered(now tier.Millis, report Report, levels []Level) {
	r.link(report.to).outstanding = false
	byName := map[string]Level{}
	for _, level := range levels {
		byName[level.organisation] = level
	}
	for _, u := range report.usages {
		a, ok := r.accounts[u.organisation]
		if !ok {
			continue
		}
		a.inFlight -= u.requests
		level, ok := byName[u.organisation]
		if !ok {
			r.becomeAlone(now, a) // the accountant does not know the quota yet
			continue
		}
		a.alone = false
		r.learn(report.sentAt, a, level)
	}
}

// Failed handles a report that was not answered in time, or that the accountant has declined.
// Its requests are reported again, to the accountant's successor if it has one.
func (r *Reporter) Failed(now tier.Millis, report Report, accountantOf func(organisation string) (string, bool)) {
	l := r.link(report.to)
	l.outstanding = false
	if !r.allAt(report.to, report.usages, accountantOf) {
		r.reopen(report)
		return
	}
	l.failed = &report
	for _, u := range report.usages {
		if a, ok := r.accounts[u.organisation]; ok {
			r.becomeAlone(now, a)
		}
	}
}

// sweep drops accounts that are not used.
func (r *Reporter) sweep(now tier.Millis) {
	if now-r.sweptAt < sweepInterval {
		return
	}
	r.sweptAt = now
	for name, a := range r.accounts {
		if now-a.usedAt >= idleAccountTTL && a.inFlight == 0 {
			delete(r.accounts, name)
		}
	}
	for name, l := range r.links {
		if now-l.sentAt >= idleAccountTTL && !l.outstanding {
			delete(r.links, name)
		}
	}
}
