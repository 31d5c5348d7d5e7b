package apportioner

import (
	"fmt"
	"math"
	"testing"

	"cicadagrade.example/tier"
)

// contest plays organisations that always have requests waiting, and returns how many of each are
// served.
func contest(a *Apportioner, now tier.Millis, weights map[string]float64, rounds int) map[string]int {
	const cost, until = 10, tier.Millis(1) << 40
	tags, served := map[string]float64{}, map[string]int{}
	for name, weight := range weights {
		tags[name] = a.Begin(now, until, name, weight, cost)
	}
	for range rounds {
		next := ""
		for name, tag := range tags {
			if next == "" || tag < tags[next] || tag == tags[next] && name < next {
				next = name
			}
		}
		a.Ended(until, next)
		a.Served(now, next, weights[next], cost)
		served[next]++
		tags[next] = a.Begin(now, until, next, weights[next], cost)
	}
	return served
}

// TestServiceFollowsWeights guards against organisations that get another part of the service
// than their weight, and against one without weight that gets none.
func TestServiceFollowsWeights(t *testing.T) {
	served := contest(New(), 0, map[string]float64{"large": 6, "small": 2, "none": 0}, 1200)
	for name, want := range map[string]int{"large": 600, "small": 200, "none": 400} {
		if math.Abs(float64(served[name]-want)) > 10 {
			t.Errorf("%s is served %d times, want %d", name, served[name], want)
		}
	}
}

// TestIdlenessBringsNoCredit guards against an organisation that is served alone after it has
// been idle, and against debt for capacity that nobody else wanted.
func TestIdlenessBringsNoCredit(t *testing.T) {
	a := New()
	contest(a, 0, map[string]float64{"busy": 1, "idle": 1}, 10)
	for range 10 {
		a.Ended(tier.Millis(1)<<40, "idle")
	}
	contest(a, 0, map[string]float64{"busy": 1}, 1000)
	if tag, busy := a.Begin(1, 1, "idle", 1, 10), a.Begin(1, 1, "busy", 1, 10); tag < busy-100 {
		t.Errorf("the start tag after idleness is %g, that of the busy organisation %g", tag, busy)
	}
	served := contest(a, 2, map[string]float64{"busy": 1, "idle": 1}, 40)
	if difference := served["idle"] - served["busy"]; difference < 0 || difference > 2 {
		t.Errorf("served: %v", served)
	}
}

// TestUselessRequestsDoNotDelayLaterOnes guards against a surge whose expired requests place the
// organisation behind others long after.
func TestUselessRequestsDoNotDelayLaterOnes(t *testing.T) {
	a := New()
	for range 100 {
		a.Begin(0, 400, "hot", 1, 10)
	}
	if tag, other := a.Begin(401, 800, "hot", 1, 10), a.Begin(401, 800, "other", 1, 10); tag != other {
		t.Errorf("the start tag is %g, that of another organisation %g", tag, other)
	}
}

// TestIdleOrganisationsAreForgotten guards against memory that grows with each name.
func TestIdleOrganisationsAreForgotten(t *testing.T) {
	a := New()
	for k := range 5000 {
		now := tier.Millis(k) * 100
		name := fmt.Sprint("o", k)
		a.Begin(now, now+400, name, 1, 10)
		a.Served(now, name, 1, 10)
	}
	if a.Len() > 200 {
		t.Errorf("%d organisations are remembered", a.Len())
	}
}
