// Package budgeter limits the extra calls to each service, that is, hedges and
// retries beyond the first call of each request. Every VM has a token bucket for
// each service; all buckets together stay within the budget of the service,
// whichever VMs are running.
package budgeter

import (
	"math"

	"cicadagrade.example/tier"
)

// Fractions of the budget that are granted.
const (
	// ratioFraction leaves a margin because this VM may count requests that do not
	// count towards the budget.
	ratioFraction = 0.9
	// ownersFraction is the fraction of the slack that is divided among the owners
	// of a service: the VMs, one in each region with a leaf, that usually query it.
	ownersFraction = 0.5
	// allVMsFraction is the fraction that is divided among all VMs, which query a
	// service when its owners have failed.
	allVMsFraction = 0.25
	// refillFraction is the fraction of an owner's part of the slack that comes back over a
	// window, if it is refilled. The rest is saved in the bucket, so that both together
	// stay within the part in any window.
	refillFraction = 0.5
)

// unusedBucketTTL is how long the bucket of a service without a route is kept:
// several of the windows over which the budget is defined.
const unusedBucketTTL = tier.Minute

// Budgeter holds the token buckets of one VM.
type Budgeter struct {
	ratio   float64
	slack   float64
	vms     int
	denied  int64       // extra calls that were not granted
	window  tier.Millis // over which an owner's part of the slack comes back, or 0
	buckets map[string]*bucket
}

// Option changes a Budgeter.
type Option func(*Budgeter)

// WithRefill gives an owner its part of the slack again over each window, whether or not there
// are requests. Without it, the slack is granted once, and tokens come with requests alone.
func WithRefill(window tier.Millis) Option { return func(b *Budgeter) { b.window = window } }

type bucket struct {
	tokens      float64
	owners      int         // owners of the service if this VM is one of them, or 0
	unusedSince tier.Millis // when the last route to the service was removed, or 0
	refilledAt  tier.Millis
}

// New returns the budgeter of one of several VMs. In each window, all VMs together
// may make ratio extra calls for each request of a service, plus slack.
func New(ratio, slack float64, vms int, options ...Option) *Budgeter {
	b := &Budgeter{ratio: ratio, slack: slack, vms: max(vms, 1), buckets: map[string]*bucket{}}
	for _, set := range options {
		set(b)
	}
	return b
}

// Configure changes the budget.
func (b *Budgeter) Configure(ratio, slack float64) { b.ratio, b.slack = ratio, slack }

// SetVMs sets the number of VMs among which the slack is divided.
func (b *Budgeter) SetVMs(n int) { b.vms = max(n, 1) }

// capacity is the number of tokens that a bucket can accumulate. The extra calls of
// a window are at most this and the ratio of its requests.
func (b *Budgeter) capacity(bk *bucket) float64 {
	if b.ratio == 0 && b.slack == 0 {
		return 0
	}
	tokens := b.slack * allVMsFraction / float64(b.vms)
	saved := b.ownerTokens(bk)
	if b.window > 0 {
		saved *= 1 - refillFraction
	}
	return max(1, tokens+saved)
}

// ownerTokens is this VM's part of the slack as one of the owners of a service.
func (b *Budgeter) ownerTokens(bk *bucket) float64 {
	if bk.owners == 0 {
		return 0
	}
	return b.slack * ownersFraction / float64(bk.owners)
}

// refill adds the tokens that have come back to an owner since the last time.
func (b *Budgeter) refill(now tier.Millis, bk *bucket) {
	if b.window > 0 && bk.refilledAt > 0 {
		passed := min(now-bk.refilledAt, b.window)
		bk.tokens += b.ownerTokens(bk) * refillFraction * float64(passed) / float64(b.window)
	}
	bk.refilledAt = max(now, 1)
	bk.tokens = min(bk.tokens, b.capacity(bk))
}

// bucket returns the bucket of a service. A new one has only the tokens of a VM that
// is not an owner, because the former owner may have spent the owner's part in this
// window.
func (b *Budgeter) bucket(service string) *bucket {
	bk, ok := b.buckets[service]
	if !ok {
		bk = &bucket{tokens: b.slack * allVMsFraction / float64(b.vms)}
		b.buckets[service] = bk
	}
	return bk
}

// CountRequest counts the first call of a request to a service. owners is the number
// of VMs that own the service, or 0 if this VM is not one of them.
func (b *Budgeter) CountRequest(now tier.Millis, service string, owners int) {
	bk := b.bucket(service)
	b.refill(now, bk)
	bk.owners = owners
	bk.tokens = min(b.capacity(bk), bk.tokens+b.ratio*ratioFraction)
}

// Take spends a token for one extra call, and reports whether there was one.
func (b *Budgeter) Take(now tier.Millis, service string) bool {
	bk := b.bucket(service)
	b.refill(now, bk)
	if bk.tokens < 1 {
		b.denied++
		return false
	}
	bk.tokens--
	return true
}

// Return gives back the token of an extra call that has reached no leaf.
func (b *Budgeter) Return(service string) {
	bk := b.bucket(service)
	bk.tokens = min(b.capacity(bk), bk.tokens+1)
}

// ForgetUnused drops buckets that have been unused for unusedBucketTTL. It is called
// with each new configuration. A service that returns earlier keeps its bucket: the
// tokens of a new one at each change would add up to more than the budget.
func (b *Budgeter) ForgetUnused(now tier.Millis, used func(service string) bool) {
	for service, bk := range b.buckets {
		switch {
		case used(service):
			bk.unusedSince = 0
		case bk.unusedSince == 0:
			bk.unusedSince = max(now, 1)
		case now-bk.unusedSince >= unusedBucketTTL:
			delete(b.buckets, service)
		}
	}
}

// Denied is the number of extra calls that were not granted.
func (b *Budgeter) Denied() int64 { return b.denied }

// FewestTokens is the number of tokens in the emptiest bucket.
func (b *Budgeter) FewestTokens() float64 {
	if len(b.buckets) == 0 {
		return 0
	}
	fewest := math.Inf(1)
	for _, bk := range b.buckets {
		fewest = min(fewest, bk.tokens)
	}
	return fewest
}

// Tokens is the number of tokens in the bucket of a service.
func (b *Budgeter) Tokens(now tier.Millis, service string) float64 {
	bk := b.bucket(service)
	b.refill(now, bk)
	return bk.tokens
}

// IsAmple reports whether at least half of the tokens that the bucket of a service can hold are
// left.
func (b *Budgeter) IsAmple(now tier.Millis, service string) bool {
	return b.Tokens(now, service) >= b.capacity(b.bucket(service))/2
}
