// Package budgeter bounds the extra calls to each service: hedges and retries
// beyond the first call of each request. Every VM keeps its own buckets; their
// sum stays under the bound of all VMs, whichever of them live.
package budgeter

import (
	"math"

	"cicadagrade.example/tier"
)

// Shares of the bound that are spent.
const (
	// ratioShare leaves room for requests that this VM counts and the bound
	// does not.
	ratioShare = 0.9
	// ownerShare is the part of the slack that the VMs share that usually ask
	// a service, one in each of its regions.
	ownerShare = 0.5
	// othersShare is the part for all VMs, which ask a service when its usual
	// VMs are gone.
	othersShare = 0.25
)

// keepFor is how long the bucket of an unused service is kept: several of the
// windows in which extra calls are counted.
const keepFor = tier.Minute

// Budgeter holds a bucket for each service.
type Budgeter struct {
	ratio   float64
	slack   float64
	members int
	denied  int64
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	owners int         // VMs that usually ask the service, if this is one of them
	unused tier.Millis // since when no route leads to the service, or 0
}

// New returns the budgeter of one VM. For each service and window all VMs
// together may make ratio extra calls for each request, and slack more.
func New(ratio, slack float64, members int) *Budgeter {
	return &Budgeter{ratio: ratio, slack: slack, members: max(members, 1), buckets: map[string]*bucket{}}
}

// Configure changes the bounds.
func (b *Budgeter) Configure(ratio, slack float64) { b.ratio, b.slack = ratio, slack }

// SetVMs tells among how many VMs the slack is divided.
func (b *Budgeter) SetVMs(n int) { b.members = max(n, 1) }

// most is the most that a bucket saves up: a window sees at most this and the
// ratio of its requests.
func (b *Budgeter) most(u *bucket) float64 {
	if b.ratio == 0 && b.slack == 0 {
		return 0
	}
	most := b.slack * othersShare / float64(b.members)
	if u.owners > 0 {
		most += b.slack * ownerShare / float64(u.owners)
	}
	return max(1, most)
}

// bucket returns a service's bucket. A new one holds no more than any VM may:
// the VM that asked the service before may have spent an owner's part.
func (b *Budgeter) bucket(service string) *bucket {
	u, ok := b.buckets[service]
	if !ok {
		u = &bucket{tokens: b.slack * othersShare / float64(b.members)}
		b.buckets[service] = u
	}
	return u
}

// CountRequest counts the first call of a request to a service. owners is the number
// of VMs that usually ask it, or 0 if this VM is none of them.
func (b *Budgeter) CountRequest(service string, owners int) {
	u := b.bucket(service)
	u.owners = owners
	u.tokens = min(b.most(u), u.tokens+b.ratio*ratioShare)
}

// Take spends one extra call, and reports whether there was one.
func (b *Budgeter) Take(service string) bool {
	u := b.bucket(service)
	u.tokens = min(u.tokens, b.most(u))
	if u.tokens < 1 {
		b.denied++
		return false
	}
	u.tokens--
	return true
}

// ForgetUnused drops the buckets of services that have not been used for long, looked
// at with each new configuration. One that comes back soon keeps what it has left:
// a new bucket for each change would add up to more than the bound.
func (b *Budgeter) ForgetUnused(now tier.Millis, used func(service string) bool) {
	for service, u := range b.buckets {
		switch {
		case used(service):
			u.unused = 0
		case u.unused == 0:
			u.unused = max(now, 1)
		case now-u.unused >= keepFor:
			delete(b.buckets, service)
		}
	}
}

// Denied is how many extra calls were not granted.
func (b *Budgeter) Denied() int64 { return b.denied }

// FewestTokens is how many extra calls the service has left that has the fewest.
func (b *Budgeter) FewestTokens() float64 {
	if len(b.buckets) == 0 {
		return 0
	}
	least := math.Inf(1)
	for _, u := range b.buckets {
		least = min(least, u.tokens)
	}
	return least
}

// Tokens is how many extra calls a service has left.
func (b *Budgeter) Tokens(service string) float64 { return b.bucket(service).tokens }
