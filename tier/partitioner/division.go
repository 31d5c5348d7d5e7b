package partitioner

import (
	"math"
	"slices"
	"sort"
)

// Share is what one VM is to ask.
type Share struct {
	member Member
	self   bool
	parts  []int
}

// NewShare returns parts of a request that another VM is to ask.
func NewShare(m Member, parts []int) Share { return Share{member: m, parts: parts} }

// Member is the VM to ask the shards.
func (s Share) Member() Member { return s.member }

// Self reports whether it is the VM itself.
func (s Share) Self() bool { return s.self }

// Parts are the places of the shards in the request.
func (s Share) Parts() []int { return s.parts }

// Location is where a leaf lies.
type Location struct {
	DataCentre, Region string
}

// Partition gives each shard of a request to a VM. A shard with a leaf in this
// VM's region goes to the VM that owns it there. The others go to one VM in each
// further region, which divides them again. placesOf lists where a shard has
// leafs; draw returns numbers uniform in [0, 1).
func (s *Partitioner) Partition(class string, shards []string, placesOf func(string) []Location, draw func() float64) []Share {
	d := division{at: map[string]int{}, self: s.self.vm.Name()}
	var away []int
	able := s.able(s.self.region)
	for i, shard := range shards {
		places := placesOf(shard)
		switch {
		case !hasRegion(places, s.self.region):
			away = append(away, i)
		case len(able) == 0:
			d.give(s.self, i)
		default:
			d.give(pick(shard, s.self.region, beside(able, hasDataCentre(places))), i)
		}
	}
	for len(away) > 0 {
		region, found := s.region(class, shards, away, placesOf, draw())
		var left []int
		member := s.self
		if others := s.gateways(region); found && len(others) > 0 {
			member = others[int(draw()*float64(len(others)))%len(others)]
		}
		for _, i := range away {
			if found && !hasRegion(placesOf(shards[i]), region) {
				left = append(left, i)
				continue
			}
			d.give(member, i)
		}
		away = left
	}
	return d.list
}

func hasRegion(places []Location, region string) bool {
	return slices.ContainsFunc(places, func(p Location) bool { return p.Region == region })
}

func hasDataCentre(places []Location) func(string) bool {
	return func(dataCentre string) bool {
		return slices.ContainsFunc(places, func(p Location) bool { return p.DataCentre == dataCentre })
	}
}

// beside leaves those VMs of a region that lie in a leaf's own data centre, if
// there are any: whole parts stay within it, and only merged records leave.
func beside(able []Member, leafIn func(dataCentre string) bool) []Member {
	var list []Member
	for _, m := range able {
		if leafIn(m.vm.DataCentre()) {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return able
	}
	return list
}

// division is a list of shares that grows.
type division struct {
	self string
	at   map[string]int
	list []Share
}

func (d *division) give(m Member, part int) {
	name := m.vm.Name()
	at, ok := d.at[name]
	if !ok {
		at = len(d.list)
		d.at[name] = at
		d.list = append(d.list, Share{member: m, self: name == d.self})
	}
	d.list[at].parts = append(d.list[at].parts, part)
}

// region chooses where shards without a leaf at home are asked: where most of
// them have one, the usually faster region more often. It finds none if no
// shard has a leaf.
func (s *Partitioner) region(class string, shards []string, away []int, placesOf func(string) []Location, draw float64) (string, bool) {
	count := map[string]int{}
	most := 0
	for _, i := range away {
		for _, p := range placesOf(shards[i]) {
			count[p.Region]++
			most = max(most, count[p.Region])
		}
	}
	var names []string
	for r, n := range count {
		if float64(n) >= nearlyMost*float64(most) {
			names = append(names, r)
		}
	}
	if len(names) == 0 {
		return "", false
	}
	sort.Strings(names)
	total := 0.0
	weights := make([]float64, len(names))
	for i, r := range names {
		usual, ok := s.usual[regionKey{class, r}]
		if !ok {
			usual = priorFarTrip
		}
		weights[i] = math.Pow(1/max(1, usual), regionBias)
		total += weights[i]
	}
	at := draw * total
	for i, r := range names {
		if at < weights[i] {
			return r, true
		}
		at -= weights[i]
	}
	return names[len(names)-1], true
}
