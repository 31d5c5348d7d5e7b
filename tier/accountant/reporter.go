package accountant

import (
	"cicadagrade.example/tier"
)

const (
	// reportInterval is the shortest time between two reports to an accountant.
	reportInterval = 100 * tier.Millisecond
	// askInterval and maxAskInterval bound the time between reports of refused requests only, by
	// the number of VMs that report on the organisation, so that a hot organisation of a large
	// deployment does not overload its accountant.
	askInterval    = 1 * tier.Millisecond // for each VM
	maxAskInterval = tier.Second
	// ReportTimeout is how long an accountant may take to answer.
	ReportTimeout = 300 * tier.Millisecond
	// blindRequests is how many requests of an organisation a VM that has just started admits
	// before it knows the level: after a power loss, all VMs know nothing.
	blindRequests = 2
	// levelTime is the time within which a positive level is used up, or a negative one made up
	// for, while an organisation uses its quota up. It is longer than the news of a level take.
	levelTime = tier.Second
	// idleAccountTTL is how long an account without requests is kept.
	idleAccountTTL = tier.Minute
	// minRetrySpread is the shortest time over which refused callers are told to return.
	minRetrySpread = 250 * tier.Millisecond
)

// Reporter decides on one VM which requests are within the quotas, and what to report. It is
// not safe for concurrent use.
type Reporter struct {
	name        string
	incarnation uint64
	started     tier.Millis
	bound       Bound
	vms         int
	sequence    uint64
	accounts    map[string]*account
	links       map[string]*link // by name of the accountant
	sweptAt     tier.Millis
}

// account is what the VM knows of an organisation.
type account struct {
	quota       Quota
	level       float64
	levelAt     tier.Millis // when the report was sent that got the level
	known       bool
	vms         int     // VMs that have reported lately, or 0
	demand      float64 // requests a second through all VMs
	hot         bool    // the organisation uses its quota up
	refused     int64   // not in any report
	unreported  int64   // admitted and not in any report
	inFlight    int64   // in reports that have not been answered
	wanted      bool    // a request has come since the last report
	alone       bool    // no accountant answers
	ownTokens   float64 // of the VM's own part of the quota, while alone
	ownTokensAt tier.Millis
	usedAt      tier.Millis
}

// link is the state of the reports to one accountant.
type link struct {
	sentAt      tier.Millis
	sent        bool
	outstanding bool
	failed      *Report // not answered, to be sent again
}

// NewReporter returns the reporter of a VM that has started at a time.
func NewReporter(name string, incarnation uint64, started tier.Millis, bound Bound) *Reporter {
	return &Reporter{name: name, incarnation: incarnation, started: started, bound: bound, vms: 1, accounts: map[string]*account{}, links: map[string]*link{}}
}

// Configure changes the bound.
func (r *Reporter) Configure(bound Bound) { r.bound = bound }

// SetVMs sets the number of VMs of the deployment.
func (r *Reporter) SetVMs(n int) { r.vms = max(n, 1) }

// Decision says whether a request is within the quota.
type Decision struct {
	admitted   bool
	retryAfter tier.Millis
	room       float64
	age        tier.Millis
	demand     float64
}

// Admitted reports whether the request may be sent.
func (d Decision) Admitted() bool { return d.admitted }

// RetryAfter is when there will be room for the caller of a refused request.
func (d Decision) RetryAfter() tier.Millis { return d.retryAfter }

// Room is the largest number of further requests for which the quota can have room.
func (d Decision) Room() float64 { return d.room }

// Age is the age of the level on which the decision is based.
func (d Decision) Age() tier.Millis { return d.age }

// Demand is the rate of the organisation's requests at that time, in requests a second.
func (d Decision) Demand() float64 { return d.demand }

// Admit decides on a request of an organisation. draw is a random number, uniform in [0, 1).
func (r *Reporter) Admit(now tier.Millis, organisation string, q Quota, draw float64) Decision {
	if !q.Limited() {
		return Decision{admitted: true}
	}
	a := r.account(now, organisation, q)
	a.wanted = true
	if a.alone {
		return r.admitAlone(now, a, draw)
	}
	room := r.room(now, a)
	chance := r.chance(now, a)
	if room < 1 {
		chance = 0
	}
	if draw >= chance {
		a.refused++
		return r.refuse(now, a, room, redraw(draw, chance))
	}
	a.unreported++
	return Decision{admitted: true}
}

// account returns the account of an organisation, with the present quota.
func (r *Reporter) account(now tier.Millis, organisation string, q Quota) *account {
	a, ok := r.accounts[organisation]
	if !ok {
		a = &account{quota: q}
		r.accounts[organisation] = a
	}
	if a.quota != q {
		a.level += max(0, q.burst-a.quota.burst)
		a.quota = q
	}
	a.usedAt = now
	return a
}

// room is the largest number of requests for which the bucket can have room: the level can't
// have grown by more than the rate since the accountant told it. A request that this refuses
// is above the cap for certain.
func (r *Reporter) room(now tier.Millis, a *account) float64 {
	own := float64(a.unreported + a.inFlight)
	capacity := r.bound.capacity(a.quota)
	switch {
	case a.known:
		return min(capacity, a.level+a.quota.refill(now-a.levelAt)) - own
	case now-r.started < r.bound.window:
		return min(capacity, blindRequests) - own
	}
	return capacity - own
}

// chance is the probability with which a request is admitted for which there may be room. It
// is 1 unless the organisation uses its quota up through several VMs. Then all of them see the
// same room, and the chance is such that they admit, together, the rate and the level within
// levelTime. What is known is forgotten within a window, so that an organisation which is below
// its cap again is not refused for longer.
func (r *Reporter) chance(now tier.Millis, a *account) float64 {
	age := now - a.levelAt
	if !a.hot || age >= r.bound.window || a.demand <= 0 || a.vms <= 1 {
		return 1
	}
	chance := min(1, max(0, a.quota.perSecond+a.level*float64(tier.Second)/float64(levelTime))/a.demand)
	forgotten := max(0, float64(age-levelTime)) / float64(r.bound.window-levelTime)
	return chance + (1-chance)*forgotten
}

// admitAlone decides by the VM's own part of the quota. Parts are often far below one request,
// so a fraction of one is the probability with which a request is admitted.
func (r *Reporter) admitAlone(now tier.Millis, a *account, draw float64) Decision {
	vms := float64(r.partCount(a))
	a.ownTokens = min(max(1, r.bound.capacity(a.quota)/vms), a.ownTokens+a.quota.refill(now-a.ownTokensAt)/vms)
	a.ownTokensAt = now
	if draw >= a.ownTokens {
		return r.refuse(now, a, a.ownTokens*vms, redraw(draw, max(0, a.ownTokens)))
	}
	a.ownTokens--
	return Decision{admitted: true}
}

// redraw makes a uniform random number of one that is known to be chance or more.
func redraw(draw, chance float64) float64 { return (draw - chance) / (1 - chance) }

// partCount is the number of VMs among which the quota is divided while this VM is alone.
func (r *Reporter) partCount(a *account) int {
	if a.vms > 0 {
		return a.vms
	}
	return r.vms
}

// refuse returns a refusal. The caller may return when the bucket has room for one request,
// and after a random time besides within which the rate leaves room for one request from each
// VM.
func (r *Reporter) refuse(now tier.Millis, a *account, room, draw float64) Decision {
	perMilli := a.quota.perSecond / float64(tier.Second)
	wait := max(0, 1-room) / perMilli
	spread := min(max(float64(minRetrySpread), float64(a.vms)/perMilli), float64(r.bound.window))
	return Decision{retryAfter: max(1, tier.Millis(wait+spread*draw)), room: room, age: now - a.levelAt, demand: a.demand}
}

// Return gives back the room of an admitted request that has reached no leaf. It goes to the
// accountant with the next report.
func (r *Reporter) Return(organisation string) {
	a, ok := r.accounts[organisation]
	switch {
	case !ok:
	case a.alone:
		a.ownTokens++
	default:
		a.unreported--
	}
}

// Forward adds the usage of a VM that does not reach the accountant to this VM's own, and returns
// what it knows of the level. It reports false if no accountant answers this VM either.
func (r *Reporter) Forward(now tier.Millis, u Usage, q Quota, repeated bool) (Level, bool) {
	a := r.account(now, u.organisation, q)
	if a.alone {
		return Level{}, false
	}
	if !repeated {
		a.unreported += u.requests
		a.refused += u.refused
		a.wanted = true
	}
	// The accountant counts this VM alone, so there is one more at least.
	return NewLevel(u.organisation, min(r.room(now, a), r.bound.capacity(q)), a.vms+1, a.demand, 0), true
}

// learn records a level that was told at or after a time.
func (r *Reporter) learn(at tier.Millis, a *account, level Level) {
	a.level, a.levelAt, a.known, a.vms, a.demand = level.tokens, at, true, level.vms, level.demand
	switch {
	case r.bound.exhausts(a.quota, level.tokens, level.demand):
		a.hot = true
	case level.tokens >= r.bound.capacity(a.quota)/2:
		a.hot = false
	}
}

// Heard records the levels of organisations that use their quotas up, as another VM has told
// them.
func (r *Reporter) Heard(now tier.Millis, levels []Level, quota func(organisation string) (Quota, bool)) {
	for _, level := range levels {
		q, ok := quota(level.organisation)
		if !ok || !q.Limited() || level.age >= r.bound.window {
			continue
		}
		a, ok := r.accounts[level.organisation]
		if !ok {
			a = &account{quota: q, usedAt: now}
			r.accounts[level.organisation] = a
		}
		at := now - level.age
		if !a.known || at > a.levelAt && !(a.hot && contradicts(level, a.demand, at-a.levelAt)) {
			r.learn(at, a, level)
		}
	}
}

// Last returns the level of an organisation that uses its quota up, if it was learned within a
// window.
func (r *Reporter) Last(now tier.Millis, organisation string) (Level, bool) {
	a, ok := r.accounts[organisation]
	if !ok || !a.hot || now-a.levelAt >= r.bound.window {
		return Level{}, false
	}
	return NewLevel(organisation, a.level, a.vms, a.demand, now-a.levelAt), true
}

// becomeAlone makes the VM use its own part of an organisation's quota.
func (r *Reporter) becomeAlone(now tier.Millis, a *account) {
	if a.alone {
		return
	}
	room := r.bound.capacity(a.quota)
	if a.known {
		room = max(0, r.room(now, a))
	}
	a.alone, a.ownTokens, a.ownTokensAt = true, room/float64(r.partCount(a)), now
	a.unreported = 0 // what is left belongs to the past when an accountant answers again
}
