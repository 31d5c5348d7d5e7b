// Package budgeter bounds the extra calls to each service: hedges and retries
// beyond the first call of each request. Every VM keeps its own buckets; their
// sum stays under the bound of all VMs, whichever of them live.
package budgeter

// Share of the bound that is spent; the rest covers VMs that join unseen.
const (
	ratioShare = 0.9
	slackShare = 0.6
	fullBucket = 1.0
)

// Budgeter holds a bucket for each service.
type Budgeter struct {
	ratio   float64
	slack   float64
	members int
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
}

// New returns the budgeter of one VM. For each service and window all VMs
// together may make ratio extra calls for each request, and slack more.
func New(ratio, slack float64, members int) *Budgeter {
	b := &Budgeter{ratio: ratio, slack: slack, buckets: map[string]*bucket{}}
	b.SetMembers(members)
	return b
}

// Configure changes the bounds.
func (b *Budgeter) Configure(ratio, slack float64) {
	b.ratio, b.slack = ratio, slack
	b.SetMembers(b.members)
}

// SetMembers tells among how many VMs the slack is divided.
func (b *Budgeter) SetMembers(n int) {
	b.members = max(n, 1)
	for _, u := range b.buckets {
		u.tokens = min(u.tokens, b.burst())
	}
}

// burst is the most that is saved up: a window sees at most this and the
// ratio of its requests.
func (b *Budgeter) burst() float64 {
	return max(fullBucket, b.slack*slackShare/float64(b.members))
}

func (b *Budgeter) bucket(service string) *bucket {
	u, ok := b.buckets[service]
	if !ok {
		u = &bucket{tokens: b.burst()}
		b.buckets[service] = u
	}
	return u
}

// First counts the first call of a request to a service.
func (b *Budgeter) First(service string) {
	u := b.bucket(service)
	u.tokens = min(b.burst(), u.tokens+b.ratio*ratioShare)
}

// Take spends one extra call, and reports whether there was one.
func (b *Budgeter) Take(service string) bool {
	u := b.bucket(service)
	if u.tokens < 1 {
		return false
	}
	u.tokens--
	return true
}

// Left is how many extra calls a service has left.
func (b *Budgeter) Left(service string) float64 { return b.bucket(service).tokens }

// Keep forgets the buckets of services that are not named, so that the map
// does not grow with every renaming of services.
func (b *Budgeter) Keep(named func(service string) bool) {
	for s := range b.buckets {
		if !named(s) {
			delete(b.buckets, s)
		}
	}
}
