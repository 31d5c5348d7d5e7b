package forecaster

import (
	"testing"

	"cicadagrade.example/tier"
)

// TestSurgeIsRefusedBeforeUsualLoad guards against refusals by chance, which cost organisations
// at their usual rate as many trials as the one that surges, and against refusals while the
// shards are healthy.
func TestSurgeIsRefusedBeforeUsualLoad(t *testing.T) {
	s := newSimulation(0)
	// Requests a second of each organisation, usually and in the surge.
	usual, surge := map[string]int{"hot": 4, "large": 20, "small": 1}, map[string]int{"hot": 36, "large": 20, "small": 1}
	tried, asked := map[string]int{}, map[string]int{}
	run := func(rates map[string]int, seconds int) {
		clear(tried)
		clear(asked)
		for range seconds * 100 {
			s.now += tier.Second / 100
			for _, name := range []string{"hot", "large", "small"} {
				if s.random.IntN(100) >= rates[name] {
					continue
				}
				s.forecaster.Received(s.now, name, float64(usual[name]))
				asked[name]++
				if s.forecaster.LikelyToFailOf(s.now, name, s.shards, minimumShards, false, s.random.Float64()) {
					continue
				}
				tried[name]++
				for i, shard := range s.shards {
					if i < s.deadShards {
						s.forecaster.RecordMissed(s.now, shard)
					} else {
						s.forecaster.RecordArrived(s.now, shard)
					}
				}
			}
		}
	}
	run(usual, 120)
	for name := range usual {
		if tried[name] != asked[name] {
			t.Errorf("healthy: %d of %d requests of %s are tried", tried[name], asked[name], name)
		}
	}
	s.deadShards = 6
	run(usual, 2)
	run(surge, 60)
	share := func(name string) float64 { return float64(tried[name]) / float64(asked[name]) }
	all := float64(tried["hot"]+tried["large"]+tried["small"]) / float64(asked["hot"]+asked["large"]+asked["small"])
	t.Logf("tried: hot %.2f, large %.2f, small %.2f, all %.2f", share("hot"), share("large"), share("small"), all)
	if share("large") < 1.3*all || share("small") < 1.3*all || share("hot") < all/4 {
		t.Errorf("tried: hot %.2f, large %.2f, small %.2f, all %.2f", share("hot"), share("large"), share("small"), all)
	}
	if s.forecaster.LikelyToFailOf(s.now, "hot", s.shards, minimumShards, true, 1) {
		t.Error("a retry of a refused request is refused again")
	}
}
