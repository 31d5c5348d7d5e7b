package tier

import (
	"slices"
	"testing"
)

// An empty intersection must not be taken for a set without restriction.
func TestRegionSetIntersection(t *testing.T) {
	north, south := NewRegionSet("north"), NewRegionSet("south", "east", "south")
	for _, c := range []struct {
		set     RegionSet
		allowed []string
	}{
		{RegionSet{}, []string{"east", "north", "south"}},
		{NewRegionSet(), []string{"east", "north", "south"}},
		{RestrictedTo(), nil},
		{RegionSet{}.Intersect(north), []string{"north"}},
		{south.Intersect(RegionSet{}), []string{"east", "south"}},
		{north.Intersect(south), nil},
		{south.Intersect(NewRegionSet("east", "west")), []string{"east"}},
	} {
		var allowed []string
		for _, region := range []string{"east", "north", "south"} {
			if c.set.Allows(region) {
				allowed = append(allowed, region)
			}
		}
		if !slices.Equal(allowed, c.allowed) {
			t.Errorf("%+v allows %v, expected %v", c.set, allowed, c.allowed)
		}
	}
}
