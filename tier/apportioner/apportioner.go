// Package apportioner divides scarce capacity among organisations by weight. An Apportioner
// orders what waits for one resource, and a Demand tells which organisations ask for more than
// their part.
package apportioner

import (
	"math"
	"slices"

	"cicadagrade.example/tier"
)

const (
	// idleTime is how long an organisation without use is remembered.
	idleTime = 10 * tier.Second
	// pruneInterval is the least time between two searches for idle organisations.
	pruneInterval = 1 * tier.Second
	// lead is how many calls an organisation may be ahead of its share before others go first. The
	// few requests of a small organisation come at random. Without a lead, its single requests
	// of 220 ms waited up to 7 s on the script one-hot, with it 1.5 s.
	lead = 2.0
	// costWeight is the weight of one call in the mean cost of a call.
	costWeight = 0.05
	// defaultWeight applies while no organisation has a weight.
	defaultWeight = 1.0
)

// Apportioner implements start-time fair queueing for one resource. The virtual time of an
// organisation is the service that it has had, divided by its weight. A request gets a start tag
// when it comes: the virtual time that its organisation will have once the requests before it
// have been served. What has the least start tag is next. It is not safe for concurrent use.
type Apportioner struct {
	virtual  float64 // no organisation that begins to wait has less
	meanCost float64 // of a request
	accounts map[string]*account
	prunedAt tier.Millis
	weights  float64 // sum of the weights of accounts
	weighted int     // accounts with a weight
}

type account struct {
	virtual float64
	weight  float64       // 0 if it has none
	waiting []tier.Millis // until when requests wait that have had no service
	usedAt  tier.Millis
}

// New returns an apportioner to which all organisations are equal.
func New() *Apportioner { return &Apportioner{accounts: map[string]*account{}} }

// Len is the number of organisations that it remembers.
func (a *Apportioner) Len() int { return len(a.accounts) }

// Begin returns the start tag of a request of an organisation, which has an expected cost. The
// request counts as waiting until a time, unless Ended comes before: one that has become useless
// must not delay later ones.
func (a *Apportioner) Begin(now, until tier.Millis, organisation string, weight, cost float64) float64 {
	held := a.use(now, organisation, weight)
	held.waiting = slices.DeleteFunc(held.waiting, func(at tier.Millis) bool { return at < now })
	if len(held.waiting) == 0 {
		held.virtual = max(held.virtual, a.virtual) // no credit for the time without requests
	}
	before := float64(len(held.waiting))
	held.waiting = append(held.waiting, until)
	return held.virtual + (before*cost-lead*a.meanCost)/a.weightOf(held)
}

// Ended records that a request has had its first service, or waits no longer.
func (a *Apportioner) Ended(until tier.Millis, organisation string) {
	held, ok := a.accounts[organisation]
	if !ok {
		return
	}
	if k := slices.Index(held.waiting, until); k >= 0 {
		held.waiting = slices.Delete(held.waiting, k, k+1)
	}
}

// Served charges an organisation for a service of a cost.
func (a *Apportioner) Served(now tier.Millis, organisation string, weight, cost float64) {
	held := a.use(now, organisation, weight)
	if a.meanCost == 0 {
		a.meanCost = cost
	}
	a.meanCost += costWeight * (cost - a.meanCost)
	start := held.virtual
	if len(held.waiting) == 0 {
		start = max(start, a.virtual)
	}
	held.virtual = start + cost/a.weightOf(held)
	// What is served need not be of the organisation with the least virtual time. Those that
	// begin to wait must not be placed behind one that is waiting.
	for _, other := range a.accounts {
		if len(other.waiting) > 0 {
			start = min(start, other.virtual)
		}
	}
	a.virtual = max(a.virtual, start)
}

// use returns the account of an organisation and forgets idle ones.
func (a *Apportioner) use(now tier.Millis, organisation string, weight float64) *account {
	if now-a.prunedAt >= pruneInterval {
		a.prunedAt = now
		for name, held := range a.accounts {
			held.waiting = slices.DeleteFunc(held.waiting, func(at tier.Millis) bool { return at < now })
			if len(held.waiting) == 0 && (held.virtual <= a.virtual || now-held.usedAt >= idleTime) {
				a.setWeight(held, 0)
				delete(a.accounts, name)
			}
		}
	}
	held, ok := a.accounts[organisation]
	if !ok {
		held = &account{virtual: a.virtual}
		a.accounts[organisation] = held
	}
	held.usedAt = now
	a.setWeight(held, validWeight(weight))
	return held
}

func (a *Apportioner) setWeight(held *account, weight float64) {
	if held.weight > 0 {
		a.weights, a.weighted = a.weights-held.weight, a.weighted-1
	}
	if weight > 0 {
		a.weights, a.weighted = a.weights+weight, a.weighted+1
	}
	held.weight = weight
}

// weightOf is the weight of an organisation, or the mean of the others if it has none.
func (a *Apportioner) weightOf(held *account) float64 {
	if held.weight > 0 {
		return held.weight
	}
	if a.weighted == 0 {
		return defaultWeight
	}
	return a.weights / float64(a.weighted)
}

// validWeight is the weight, or 0 if it is not a positive finite number.
func validWeight(weight float64) float64 {
	if weight > 0 && !math.IsInf(weight, 1) {
		return weight
	}
	return 0
}
