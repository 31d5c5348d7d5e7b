package router

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestLongestPrefixOfHostWins(t *testing.T) {
	table := NewTable(7, []*Route{
		NewRoute("short", "a.example", "/x/"),
		NewRoute("long", "a.example", "/x/y/"),
		NewRoute("other", "b.example", "/x/y/z/"),
	}, Limits{})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/z/1", "long"},
		{"A.Example:8080", "/x/y/1", "long"},
		{"b.example", "/x/y/z/", "other"},
		{"b.example", "/x/y/", ""},
		{"a.example", "/x", ""},
		{"c.example", "/x/", ""},
	} {
		r, ok := table.Match(c.host, c.path)
		if ok != (c.want != "") || ok && r.Name() != c.want {
			t.Errorf("%s%s: got %v, expected %q", c.host, c.path, r, c.want)
		}
	}
}

// TestMinimumParts checks that the result is the least number of shards whose share reaches
// the minimum, without an error from rounding.
func TestMinimumParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "shards")
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		r := NewRoute("r", "h", "/", ToShards(5, float64(percent)/100, make([]string, n)...))
		want := max(1, int(math.Ceil(float64(percent*n)/100)))
		if percent*n%100 == 0 {
			want = max(1, percent*n/100)
		}
		if got := r.MinimumParts(); got != want {
			t.Fatalf("%d of %d shards for a minimum of %d%%, expected %d", got, n, percent, want)
		}
	})
}

func TestRequestsAreSplitByWeight(t *testing.T) {
	r := NewRoute("r", "h", "/", ToTargets(NewTarget("a", 3), NewTarget("b", 0), NewTarget("c", 1)))
	requests := map[string]int{}
	const draws = 4000
	for i := range draws {
		requests[r.PickService(float64(i)/draws)]++
	}
	if requests["a"] != draws*3/4 || requests["b"] != 0 || requests["c"] != draws/4 {
		t.Errorf("got %v of %d requests, expected 3 to 1 for a and c, and none for b", requests, draws)
	}
}
