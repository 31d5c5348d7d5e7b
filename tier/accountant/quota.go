// Package accountant keeps organisations within their quotas, all VMs together. Each VM
// admits requests by itself and reports them, through its Reporter, to the VM that keeps the
// organisation's account, in its Ledger.
package accountant

import (
	"cicadagrade.example/tier"
)

// Quota is the rate and the burst that an organisation may use through all VMs together.
type Quota struct {
	perSecond float64
	burst     float64
}

// NewQuota returns a quota. A rate of 0 or less means no limit.
func NewQuota(perSecond, burst float64) Quota {
	return Quota{perSecond: perSecond, burst: max(burst, 0)}
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.perSecond > 0 }

// PerSecond is the rate in requests a second.
func (q Quota) PerSecond() float64 { return q.perSecond }

// refill is the number of requests for which there is room after a time.
func (q Quota) refill(d tier.Millis) float64 {
	return q.perSecond * float64(max(d, 0)) / float64(tier.Second)
}

// Bound says by how much the requests of a window may exceed the quota, all VMs together: by
// a fraction of what the quota allows, and a number besides.
type Bound struct {
	window  tier.Millis
	overage float64
	slack   float64
}

// defaultWindow applies if the deployment sets no bound.
const defaultWindow = 5 * tier.Second

// NewBound returns a bound.
func NewBound(window tier.Millis, overage, slack float64) Bound {
	if window <= 0 {
		window = defaultWindow
	}
	return Bound{window: window, overage: max(overage, 0), slack: max(slack, 0)}
}

// Window is the length of the windows.
func (b Bound) Window() tier.Millis { return b.window }

// Excess is the number of requests of a window that may exceed the quota.
func (b Bound) Excess(q Quota) float64 {
	return b.overage*(q.refill(b.window)+q.burst) + b.slack
}

// Allowed is the number of requests of a window that may reach leafs.
func (b Bound) Allowed(q Quota) float64 { return q.refill(b.window) + q.burst + b.Excess(q) }

// minHeadroom and maxHeadroom are fractions of the allowed excess by which a bucket is larger
// than the burst. Without that, a burst of 0 would refuse everything, and arrivals that are
// below the cap on average are refused where they come close together. The rest is for what
// VMs admit before they know of each other's requests, which is more the higher the rate is.
const (
	minHeadroom = 0.25
	maxHeadroom = 0.5
)

// capacity is the size of the organisation's bucket.
func (b Bound) capacity(q Quota) float64 {
	excess := b.Excess(q)
	headroom := min(max(excess-q.refill(b.window), minHeadroom*excess), maxHeadroom*excess)
	return max(1, q.burst+headroom)
}

// exhausts reports whether an organisation uses its quota up, at a level and with a rate of
// requests.
func (b Bound) exhausts(q Quota, level, demand float64) bool {
	used := (demand - q.perSecond) * float64(levelTime) / float64(tier.Second)
	return level < 1 || level < b.capacity(q)/2 && level < used
}

// startLevel is the level of a bucket whose past is unknown: half of the allowed excess. It may
// exceed the burst, because a small burst would make the first requests after a restart fail.
func (b Bound) startLevel(q Quota) float64 {
	return min(b.capacity(q), max(1, b.Excess(q)/2))
}

// Report tells an accountant of requests.
type Report struct {
	to          string
	name        string
	incarnation uint64
	sequence    uint64
	usages      []Usage
	sentAt      tier.Millis
}

// NewReport returns the report of a VM. A report that is sent again has the same sequence
// number.
func NewReport(name string, incarnation, sequence uint64, usages []Usage) Report {
	return Report{name: name, incarnation: incarnation, sequence: sequence, usages: usages}
}

// To is the name of the VM that keeps the accounts.
func (r Report) To() string { return r.to }

// Name is the name of the VM that reports.
func (r Report) Name() string { return r.name }

// Incarnation identifies the run of the VM that reports.
func (r Report) Incarnation() uint64 { return r.incarnation }

// Sequence is the number of the report.
func (r Report) Sequence() uint64 { return r.sequence }

// Usages are the requests, by organisation.
func (r Report) Usages() []Usage { return r.usages }

// Usage is the number of requests of an organisation that a VM has admitted since its last
// report, less those that reached no leaf. It is 0 if the VM only asks for the level.
type Usage struct {
	organisation string
	requests     int64
	refused      int64
}

// NewUsage returns the usage of an organisation.
func NewUsage(organisation string, requests, refused int64) Usage {
	return Usage{organisation: organisation, requests: requests, refused: refused}
}

// Organisation is the name of the organisation.
func (u Usage) Organisation() string { return u.organisation }

// Requests is the number of requests.
func (u Usage) Requests() int64 { return u.requests }

// Refused is the number of requests that the VM has refused since its last report.
func (u Usage) Refused() int64 { return u.refused }

// Level is the state of an organisation's account.
type Level struct {
	organisation string
	tokens       float64
	vms          int
	demand       float64
	age          tier.Millis
	keeper       string
}

// NewLevel returns a level, age after the accountant told it: the requests for which there is
// room, negative if too many were admitted, the number of VMs that have reported lately, and
// the rate of all requests, refused ones included.
func NewLevel(organisation string, tokens float64, vms int, demand float64, age tier.Millis) Level {
	return Level{organisation: organisation, tokens: tokens, vms: max(vms, 1), demand: max(demand, 0), age: max(age, 0)}
}

// KeptBy returns the level with the name of the VM that keeps the account, "" if that is not known.
func (l Level) KeptBy(vm string) Level {
	l.keeper = vm
	return l
}

// Keeper is the name of the VM that keeps the account, or "" if that is not known.
func (l Level) Keeper() string { return l.keeper }

// Organisation is the name of the organisation.
func (l Level) Organisation() string { return l.organisation }

// Tokens are the requests for which there is room.
func (l Level) Tokens() float64 { return l.tokens }

// VMs is the number of VMs that have reported on the organisation lately.
func (l Level) VMs() int { return l.vms }

// Demand is the rate of the organisation's requests, in requests a second.
func (l Level) Demand() float64 { return l.demand }

// Age is the time since the accountant told the level.
func (l Level) Age() tier.Millis { return l.age }
