package router

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
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

// The least number of parts is the first whose share reaches the minimum.
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
			t.Fatalf("%d of %d for %d%%, expected %d", got, n, percent, want)
		}
	})
}

func TestTargetsGetTheirWeights(t *testing.T) {
	r := NewRoute("r", "h", "/", ToTargets(NewTarget("a", 3), NewTarget("b", 0), NewTarget("c", 1)))
	count := map[string]int{}
	const draws = 4000
	for i := range draws {
		count[r.PickService(float64(i)/draws)]++
	}
	if count["a"] != draws*3/4 || count["b"] != 0 || count["c"] != draws/4 {
		t.Errorf("%v of %d", count, draws)
	}
}
