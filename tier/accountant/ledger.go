package accountant

import (
	"math"
	"slices"
	"strings"

	"cicadagrade.example/tier"
)

const (
	// reporterWindow is the time for which a VM counts as one that reports on an organisation.
	reporterWindow = 2 * tier.Second
	// recountInterval is the interval at which these VMs are counted: a hot organisation has
	// thousands of them.
	recountInterval = 200 * tier.Millisecond
	// cautiousTime is how long a bucket whose past is unknown fills at cautiousRate of the rate:
	// another VM may believe that it keeps the same account.
	cautiousTime = 2 * tier.Second
	cautiousRate = 0.5
	// takeOverRate is that fraction for a hot organisation.
	takeOverRate = 0.25
	// partOverage is the fraction of the allowed overage by which the part of the rate of VMs
	// that are cut off from others exceeds their part of the VMs. The death of a single VM
	// then hardly matters, and three groups that are cut off from each other use three quarters
	// of the overage.
	partOverage = 0.25
	// demandTime is the time constant of the moving average of an organisation's requests.
	demandTime = 700 * tier.Millisecond
	// idleBucketTTL is how long a full bucket without reports is kept.
	idleBucketTTL = 10 * tier.Second
	// reporterTTL is how long the sequence number of a VM's last report is kept: longer than
	// a report can be on its way.
	reporterTTL = tier.Minute
	// sweepInterval is the interval at which unused state is dropped.
	sweepInterval = tier.Second
)

// Ledger holds the accounts that one VM keeps. It is not safe for concurrent use.
type Ledger struct {
	name      string // of the VM
	bound     Bound
	buckets   map[string]*bucket
	reporters map[string]*reporterState
	sweptAt   tier.Millis
}

type bucket struct {
	name            string // of the organisation
	quota           Quota
	level           float64
	at              tier.Millis // when level was computed
	since           tier.Millis // when this VM may have become the accountant
	reportedAt      tier.Millis
	reporters       map[string]tier.Millis // by name of the VM, when it last reported
	countedAt       tier.Millis            // when reporters was last cleared of old ones
	demand          float64                // moving average of requests a second
	demandCountedAt tier.Millis            // when demand was last computed
	tookOver        bool                   // from another VM that may go on for a moment
	hotAt           tier.Millis            // when the organisation was last about to exceed its quota, or 0
}

type reporterState struct {
	incarnation uint64
	sequence    uint64
	at          tier.Millis
}

// NewLedger returns the ledger of a VM without accounts.
func NewLedger(name string, bound Bound) *Ledger {
	return &Ledger{name: name, bound: bound, buckets: map[string]*bucket{}, reporters: map[string]*reporterState{}}
}

// Configure changes the bound.
func (l *Ledger) Configure(bound Bound) { l.bound = bound }

// Terms are what a VM knows of its accounts apart from the reports.
type Terms struct {
	quota func(organisation string) (Quota, bool)
	since tier.Millis
	part  float64
	heard func(organisation string) (Level, bool)
	pass  func(u Usage, repeated bool) (Level, bool)
	// rivals returns the VMs that report to others which keep the account of an organisation as well, and
	// the rate of their requests.
	rivals func(organisation string) (vms int, demand float64)
}

// Beside returns the terms with a function that returns how many VMs report on an organisation to other
// VMs, which keep its account as well, and the rate of these requests. Each of these VMs uses its part of
// the rate, by the requests that it hears of.
func (t Terms) Beside(rivals func(organisation string) (vms int, demand float64)) Terms {
	t.rivals = rivals
	return t
}

// share is what this VM lets through of an organisation's quota, beside others that keep its account too.
type share struct {
	rate, capacity float64 // fractions of the rate, and of the bucket
	rivalVMs       int     // that report to the others
	rivalDemand    float64 // the rate of their requests
}

// shareOf returns the share of this VM, by the requests that it hears of itself.
func (t Terms) shareOf(now tier.Millis, b *bucket) share {
	s := share{rate: t.part, capacity: 1}
	if t.rivals == nil {
		return s
	}
	if s.rivalVMs, s.rivalDemand = t.rivals(b.name); s.rivalDemand > 0 {
		own := b.demandAt(now)
		s.rate = min(s.rate, own/(own+s.rivalDemand))
		s.capacity = s.rate
	}
	return s
}

// PassedOn returns the terms with a function that passes on a usage if this VM believes that
// another one keeps the account, and returns what is known of its level. VMs that don't reach
// the accountant report to its successor: both would admit the whole rate.
func (t Terms) PassedOn(pass func(u Usage, repeated bool) (Level, bool)) Terms {
	t.pass = pass
	return t
}

// NewTerms returns terms. quota returns the quota of an organisation of the configuration in
// force. since is when the VMs that may keep accounts last changed, as far as this VM knows: it
// may have become the accountant of any organisation then. part is the fraction of these VMs
// that this VM reaches. heard returns what this VM has learned lately of an account that
// another one has kept.
func NewTerms(quota func(organisation string) (Quota, bool), since tier.Millis, part float64, heard func(organisation string) (Level, bool)) Terms {
	return Terms{quota: quota, since: since, part: part, heard: heard}
}

// Report records a report and returns the levels of its organisations. Organisations without a
// quota have none.
func (l *Ledger) Report(now tier.Millis, r Report, terms Terms) []Level {
	repeated := l.isRepeated(now, r)
	var levels []Level
	for _, u := range r.usages {
		q, ok := terms.quota(u.organisation)
		if !ok || !q.Limited() {
			delete(l.buckets, u.organisation)
			continue
		}
		if terms.pass != nil {
			if level, passed := terms.pass(u, repeated); passed {
				levels = append(levels, level)
				continue
			}
		}
		b, part := l.bucket(now, u.organisation, q, terms)
		b.reporters[r.name] = now
		b.reportedAt = now
		if !repeated {
			b.level = min(l.bound.capacity(q), b.level-float64(u.requests))
		}
		b.countDemand(now, float64(max(u.requests, 0)+u.refused))
		l.noteHot(now, b, part)
		level := l.told(now, b)
		level.vms, level.demand = level.vms+part.rivalVMs, level.demand+part.rivalDemand
		levels = append(levels, level)
	}
	if now-l.sweptAt >= sweepInterval {
		l.sweep(now, terms)
	}
	return levels
}

// isRepeated reports whether a report has been recorded before, and remembers it.
func (l *Ledger) isRepeated(now tier.Millis, r Report) bool {
	s, ok := l.reporters[r.name]
	if !ok || s.incarnation != r.incarnation {
		s = &reporterState{incarnation: r.incarnation}
		l.reporters[r.name] = s
	}
	s.at = now
	if r.sequence <= s.sequence {
		return true
	}
	s.sequence = r.sequence
	return false
}

// bucket returns the bucket of an organisation, filled up to now, and this VM's share.
func (l *Ledger) bucket(now tier.Millis, organisation string, q Quota, terms Terms) (*bucket, share) {
	b, ok := l.buckets[organisation]
	if !ok {
		b = &bucket{name: organisation, quota: q, level: l.bound.startLevel(q), at: terms.since, since: terms.since, reporters: map[string]tier.Millis{}}
		l.buckets[organisation] = b
	}
	part := terms.shareOf(now, b)
	l.fill(now, b, part)
	if !ok {
		l.takeOver(now, b, organisation, terms)
	}
	if terms.since > b.since && now-b.reportedAt >= newsTTL {
		// Another VM may have kept the account since the last report.
		b.since = terms.since
		b.level = min(b.level, l.bound.startLevel(q)+l.grown(b, terms.since, now, part.rate))
		l.takeOver(now, b, organisation, terms)
	}
	if b.quota != q {
		// A raised burst leaves room at once. Requests of the past count against a new one.
		b.level = min(l.bound.capacity(q), b.level+max(0, q.burst-b.quota.burst))
		b.quota = q
	}
	return b, part
}

// takeOver lowers a level whose past is unknown to what this VM has heard of it. The VM that
// has kept the account may go on for a moment.
func (l *Ledger) takeOver(now tier.Millis, b *bucket, organisation string, terms Terms) {
	heard, ok := terms.heard(organisation)
	if !ok {
		return
	}
	b.demand, b.demandCountedAt = max(b.demand, heard.demand), now
	b.level = min(b.level, heard.tokens)
	b.hotAt = max(now, 1)
	b.at, b.since, b.tookOver = now, now, true
}

// fill adds what the rate has left room for since the last time.
func (l *Ledger) fill(now tier.Millis, b *bucket, part share) {
	capacity := l.bound.capacity(b.quota)
	if part.capacity < 1 {
		capacity = max(1, capacity*part.capacity)
	}
	b.level = min(capacity, b.level+l.grown(b, b.at, now, part.rate))
	b.at = max(b.at, now)
}

// grown is what the rate leaves room for between two times.
func (l *Ledger) grown(b *bucket, from, to tier.Millis, part float64) float64 {
	factor := min(1, part+partOverage*l.bound.overage)
	cautious := min(max(b.since+cautiousTime-from, 0), max(to-from, 0))
	rate := cautiousRate
	if b.tookOver {
		rate = takeOverRate
	}
	return b.quota.refill(cautious)*min(rate, factor) + b.quota.refill(to-from-cautious)*factor
}

// told is the level that VMs are told.
func (l *Ledger) told(now tier.Millis, b *bucket) Level {
	return NewLevel(b.name, b.level, b.countReporters(now), b.demand, 0).KeptBy(l.name)
}

// demandAt is the moving average of requests at a time.
func (b *bucket) demandAt(now tier.Millis) float64 {
	return b.demand * math.Exp(-float64(max(0, now-b.demandCountedAt))/float64(demandTime))
}

// countDemand adds requests to the moving average, and decays it.
func (b *bucket) countDemand(now tier.Millis, requests float64) {
	b.demand = b.demandAt(now) + requests*float64(tier.Second)/float64(demandTime)
	b.demandCountedAt = now
}

// noteHot remembers that an organisation uses its quota up, by the requests of all VMs.
func (l *Ledger) noteHot(now tier.Millis, b *bucket, part share) {
	if l.bound.exhausts(b.quota, b.level, b.demand+part.rivalDemand) {
		b.hotAt = max(now, 1)
	}
}

// Hot lists the levels of the organisations that have used up their quotas lately. All VMs
// are told, also those that have had no request of them yet.
func (l *Ledger) Hot(now tier.Millis, terms Terms) []Level {
	var hot []Level
	for _, b := range l.buckets {
		if b.hotAt == 0 || now-b.hotAt >= l.bound.window || now-b.reportedAt >= newsTTL {
			continue
		}
		part := terms.shareOf(now, b)
		l.fill(now, b, part)
		b.countDemand(now, 0)
		l.noteHot(now, b, part)
		hot = append(hot, l.told(now, b))
	}
	slices.SortFunc(hot, func(a, b Level) int { return strings.Compare(a.organisation, b.organisation) })
	return hot
}

func (b *bucket) countReporters(now tier.Millis) int {
	if now-b.countedAt >= recountInterval {
		b.countedAt = now
		for name, at := range b.reporters {
			if now-at > reporterWindow {
				delete(b.reporters, name)
			}
		}
	}
	return len(b.reporters)
}

// sweep drops full buckets that nobody reports on, and VMs that have not reported for long. A
// dropped bucket is full again when it comes back, unless the VMs have changed.
func (l *Ledger) sweep(now tier.Millis, terms Terms) {
	l.sweptAt = now
	for name, b := range l.buckets {
		l.fill(now, b, terms.shareOf(now, b))
		if now-b.reportedAt >= idleBucketTTL && b.level >= l.bound.capacity(b.quota) {
			delete(l.buckets, name)
		}
	}
	for name, s := range l.reporters {
		if now-s.at >= reporterTTL {
			delete(l.reporters, name)
		}
	}
}

// Len is the number of accounts.
func (l *Ledger) Len() int { return len(l.buckets) }

// LargestDebt is the number of requests by which the account that is furthest above its quota
// exceeds it.
func (l *Ledger) LargestDebt() float64 {
	debt := 0.0
	for _, b := range l.buckets {
		debt = math.Max(debt, -b.level)
	}
	return debt
}
