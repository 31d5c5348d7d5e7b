package balancer

import (
	"slices"

	"cicadagrade.example/tier"
)

const (
	// unlikeFactor is how many times as long as the fastest leaf of a service the slowest takes
	// at least, so that calls to either are counted.
	unlikeFactor = 1.2
	// unevenFactor is the same for TakeUneven.
	unevenFactor = 2.0
	// figureLifetime is how long a leaf's latency is compared with those of others.
	figureLifetime = 10 * tier.Second
	// waitedFraction is the part of the usual service time by which a reply is late if its call
	// is taken to have waited. A leaf whose last reply was late by less than idleFraction is
	// taken to have a free slot.
	waitedFraction = 0.5
	idleFraction   = 0.25
)

// LeafUse is this VM's use of one leaf.
type LeafUse struct {
	id         string
	calls      int
	usualMs    float64
	lateMs     float64 // of the last reply
	answeredAt tier.Millis
	now        tier.Millis
}

// ID is the leaf's id.
func (u LeafUse) ID() string { return u.id }

// Calls are the calls of this VM since the last TakeUneven.
func (u LeafUse) Calls() int { return u.calls }

// LatencyMs is the latency of the leaf's replies without the network, in milliseconds.
func (u LeafUse) LatencyMs() float64 {
	return u.usualMs + decayed(max(0, u.lateMs), u.now-u.answeredAt, excessHalfLifeMs)
}

// serviceUse is this VM's use of the leafs of one service.
type serviceUse struct{ leafs []*LeafUse }

func (v *serviceUse) of(id string) *LeafUse {
	for _, u := range v.leafs {
		if u.id == id {
			return u
		}
	}
	u := &LeafUse{id: id, answeredAt: longAgo}
	v.leafs = append(v.leafs, u)
	return u
}

// unlike returns the slowest and the fastest leaf, if they differ by a factor.
func (v *serviceUse) unlike(now tier.Millis, factor float64) (slowest, fastest *LeafUse, differ bool) {
	for _, u := range v.leafs {
		if u.now = now; now-u.answeredAt >= figureLifetime {
			continue
		}
		if slowest == nil || u.LatencyMs() > slowest.LatencyMs() {
			slowest = u
		}
		if fastest == nil || u.LatencyMs() < fastest.LatencyMs() {
			fastest = u
		}
	}
	return slowest, fastest, slowest != nil && slowest.LatencyMs() >= factor*fastest.LatencyMs()
}

// UseCounts count this VM's calls by what it knew of the leafs of their service.
type UseCounts struct{ slowest, fastest, waited int64 }

// Slowest are the calls to the slowest leaf of their service.
func (c UseCounts) Slowest() int64 { return c.slowest }

// Fastest are the calls to the fastest leaf of their service.
func (c UseCounts) Fastest() int64 { return c.fastest }

// Waited are the calls that were answered late while another leaf of their service had a free slot.
func (c UseCounts) Waited() int64 { return c.waited }

// UseCounts counts since the start.
func (b *Balancer) UseCounts() UseCounts { return b.useCounts }

// countCall counts a call to a leaf of a service.
func (b *Balancer) countCall(now tier.Millis, s *leafState) {
	use := &b.serviceStateOf(s.leaf.Service()).use
	use.of(s.leaf.ID()).calls++
	slowest, fastest, differ := use.unlike(now, unlikeFactor)
	switch {
	case !differ:
	case slowest.id == s.leaf.ID():
		b.useCounts.slowest++
	case fastest.id == s.leaf.ID():
		b.useCounts.fastest++
	}
}

// countReply records by how much a reply was late.
func (b *Balancer) countReply(now, sentAt tier.Millis, s *leafState, usualMs, lateMs float64) {
	use := &b.serviceStateOf(s.leaf.Service()).use
	u := use.of(s.leaf.ID())
	u.usualMs, u.lateMs, u.answeredAt = usualMs, lateMs, now
	if lateMs < waitedFraction*usualMs {
		return
	}
	if slices.ContainsFunc(use.leafs, func(other *LeafUse) bool {
		return other.answeredAt >= sentAt && other.lateMs < idleFraction*other.usualMs
	}) {
		b.useCounts.waited++
	}
}

// forgetUse drops the use of a leaf that is gone.
func (b *Balancer) forgetUse(s *leafState) {
	v, ok := b.services[s.leaf.Service()]
	if !ok {
		return
	}
	v.use.leafs = slices.DeleteFunc(v.use.leafs, func(u *LeafUse) bool { return u.id == s.leaf.ID() })
	if len(v.use.leafs) == 0 {
		delete(b.services, s.leaf.Service())
	}
}

// Uneven is a service whose leafs differ.
type Uneven struct {
	service          string
	slowest, fastest LeafUse
}

// Service is the service's name.
func (v Uneven) Service() string { return v.service }

// Slowest is the leaf whose replies take longest.
func (v Uneven) Slowest() LeafUse { return v.slowest }

// Fastest is the leaf whose replies come soonest.
func (v Uneven) Fastest() LeafUse { return v.fastest }

// TakeUneven lists the services to whose slowest leaf this VM has made calls since the last time,
// although the leaf takes more than twice as long as the fastest.
func (b *Balancer) TakeUneven(now tier.Millis) []Uneven {
	var list []Uneven
	for name, v := range b.services {
		if slowest, fastest, differ := v.use.unlike(now, unevenFactor); differ && slowest.calls > 0 {
			list = append(list, Uneven{service: name, slowest: *slowest, fastest: *fastest})
		}
		for _, u := range v.use.leafs {
			u.calls = 0
		}
	}
	return list
}
