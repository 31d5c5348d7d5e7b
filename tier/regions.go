package tier

import "slices"

// RegionSet says in which regions a request may be served. The zero value allows all.
type RegionSet struct {
	restricted bool
	names      []string // sorted
}

// NewRegionSet returns the set of the named regions, or of all regions if there is no name:
// a configuration that names none does not restrict its requests.
func NewRegionSet(names ...string) RegionSet {
	if len(names) == 0 {
		return RegionSet{}
	}
	return RestrictedTo(names...)
}

// RestrictedTo returns the set of the named regions. Without a name it allows no region.
func RestrictedTo(names ...string) RegionSet {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return RegionSet{restricted: true, names: slices.Compact(sorted)}
}

// Restricted reports whether some region is not allowed.
func (r RegionSet) Restricted() bool { return r.restricted }

// Allows reports whether a request may be served in a region.
func (r RegionSet) Allows(region string) bool {
	if !r.restricted {
		return true
	}
	_, found := slices.BinarySearch(r.names, region)
	return found
}

// Names are the allowed regions of a restricted set, sorted.
func (r RegionSet) Names() []string { return r.names }

// Equal reports whether both sets allow the same regions.
func (r RegionSet) Equal(other RegionSet) bool {
	return r.restricted == other.restricted && slices.Equal(r.names, other.names)
}

// Intersect returns the set of the regions that both sets allow.
func (r RegionSet) Intersect(other RegionSet) RegionSet {
	switch {
	case !r.restricted:
		return other
	case !other.restricted:
		return r
	}
	both := RegionSet{restricted: true}
	for _, name := range r.names {
		if other.Allows(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}
