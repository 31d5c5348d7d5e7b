package apportioner

import (
	"math"

	"cicadagrade.example/tier"
)

const (
	// recentHalfLife is the half-life of the recent requests. Surges last 5 to 8 s and have to
	// show within a second or two.
	recentHalfLife = 2 * tier.Second
	// usualHalfLife is the half-life of the usual rate. A surge of 8 s at 7 times the usual rate
	// raises it to half as much again.
	usualHalfLife = 60 * tier.Second
	// minimumPart is the least number of recent requests that count as usual. A VM of a large
	// fleet gets less than one request in a minute of most organisations.
	minimumPart = 2.0
	// leastFraction is the least fraction of an organisation's requests that is admitted,
	// relative to the fraction of all. It has a margin over the quarter that is promised.
	leastFraction = 0.35
	// correction is how strongly the capacity follows a deviation of what is admitted from the
	// fraction of all, by a factor of maxCorrection at most.
	correction    = 4.0
	maxCorrection = 2.0
	// maxDemands bounds the number of organisations that are told apart.
	maxDemands = 4096
	// negligible is the number of recent requests below which an organisation asks for nothing.
	negligible = 0.05
)

// Demand holds how many requests one VM has received from organisations, lately and usually. A
// VM sees a part of them only, and not the same part of each organisation, so that what it
// receives is compared with what it usually receives and not with the weights alone. It is not
// safe for concurrent use.
type Demand struct {
	organisations map[string]*demand
	prunedAt      tier.Millis
	since         tier.Millis // when the first request came

	// granted is the decaying sum of the fractions that requests should have got on average,
	// and admitted of those that they have got.
	granted, admitted float64
	judgedAt          tier.Millis
}

type demand struct {
	recent    float64 // decaying counts
	usual     float64
	weight    float64
	updatedAt tier.Millis
}

// NewDemand returns a demand without requests.
func NewDemand() *Demand { return &Demand{organisations: map[string]*demand{}} }

// decay is what is left of a count after a time.
func decay(age, halfLife tier.Millis) float64 { return math.Exp2(-float64(age) / float64(halfLife)) }

// usualScale converts the count of usualHalfLife to that of recentHalfLife. A VM that has just
// started has seen as much of both.
func (d *Demand) usualScale(now tier.Millis) float64 {
	seen := max(now-d.since, 1)
	return float64(recentHalfLife) * (1 - decay(seen, recentHalfLife)) / (float64(usualHalfLife) * (1 - decay(seen, usualHalfLife)))
}

// Received records a request of an organisation.
func (d *Demand) Received(now tier.Millis, organisation string, weight float64) {
	if now-d.prunedAt >= pruneInterval {
		d.prunedAt = now
		d.prune(now)
	}
	if len(d.organisations) == 0 {
		d.since = now
	}
	held, ok := d.organisations[organisation]
	if !ok {
		if len(d.organisations) >= maxDemands {
			return
		}
		held = &demand{updatedAt: now}
		d.organisations[organisation] = held
	}
	held.recent = held.recent*decay(now-held.updatedAt, recentHalfLife) + 1
	held.usual = held.usual*decay(now-held.updatedAt, usualHalfLife) + 1
	held.weight, held.updatedAt = validWeight(weight), now
}

// prune forgets organisations whose requests no longer matter.
func (d *Demand) prune(now tier.Millis) {
	const forgetAfter = 5 * usualHalfLife
	for name, held := range d.organisations {
		if now-held.updatedAt >= forgetAfter {
			delete(d.organisations, name)
		}
	}
}

// claim is what an organisation asks for and what its part is, in recent requests.
type claim struct{ asked, part float64 }

// Fraction is the fraction of an organisation's requests to admit if only a fraction of all can
// be: the same number for each in proportion to its part, so that what exceeds the parts is
// left out first. The part of an organisation is what it usually asks for, or by its weight if
// that is more.
func (d *Demand) Fraction(now tier.Millis, organisation string, ofAll float64) float64 {
	if _, named := d.organisations[organisation]; !named || len(d.organisations) == 1 {
		return ofAll
	}
	claims := make([]claim, 0, len(d.organisations))
	usual, weights, weighted := 0.0, 0.0, 0
	for _, held := range d.organisations {
		usual += held.usual * decay(now-held.updatedAt, usualHalfLife)
		weights += held.weight
		if held.weight > 0 {
			weighted++
		}
	}
	scale, meanWeight := d.usualScale(now), defaultWeight
	if weighted > 0 {
		meanWeight = weights / float64(weighted)
	}
	own, asked := claim{}, 0.0
	for name, held := range d.organisations {
		c := claim{
			asked: held.recent * decay(now-held.updatedAt, recentHalfLife),
			part:  max(minimumPart, scale*held.usual*decay(now-held.updatedAt, usualHalfLife)),
		}
		if weighted > 0 {
			weight := held.weight
			if weight == 0 {
				weight = meanWeight
			}
			c.part = max(c.part, scale*usual*weight/(meanWeight*float64(len(d.organisations))))
		}
		switch {
		case name == organisation:
			own = c
		case c.asked < negligible:
			continue
		}
		claims = append(claims, c)
		asked += c.asked
	}
	// A request raises the count of its own organisation, so that fractions come out too low.
	share := 1 + correction*(d.granted-d.admitted)/(d.granted+1)
	capacity := asked * ofAll * min(max(share, 1/maxCorrection), maxCorrection)
	fraction := own.fraction(fillLevel(claims, capacity, leastFraction*ofAll), leastFraction*ofAll)
	left := decay(now-d.judgedAt, recentHalfLife)
	d.granted, d.admitted, d.judgedAt = d.granted*left+ofAll, d.admitted*left+fraction, now
	return fraction
}

// fraction is the fraction of a claim that is admitted at a level of all parts.
func (c claim) fraction(level, least float64) float64 {
	return max(least, min(1, level*c.part/max(c.asked, negligible)))
}

// fillLevel is the multiple of their parts up to which claims are admitted if capacity suffices
// for so many requests.
func fillLevel(claims []claim, capacity, least float64) float64 {
	// All is admitted at the largest ratio; 40 halvings of it are precise enough.
	const steps = 40
	low, high := 0.0, 0.0
	for _, c := range claims {
		high = max(high, c.asked/c.part)
	}
	for range steps {
		level, admitted := (low+high)/2, 0.0
		for _, c := range claims {
			admitted += c.asked * c.fraction(level, least)
		}
		if admitted > capacity {
			high = level
			continue
		}
		low = level
	}
	return low
}
