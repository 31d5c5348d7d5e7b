package checker

import (
	"slices"
	"strings"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/router"
)

const (
	actionNotice  = "tell the callers before it is in force"
	actionConfirm = "check that it is meant"
)

// change adds a difference. Urgent ones are noticed by callers at once.
func (c *check) change(urgent bool, kind string, l Location, problem string, args ...any) {
	action := actionConfirm
	if urgent {
		action = actionNotice
	}
	c.add(Difference, kind, l, action, problem, args...)
	c.findings[len(c.findings)-1].urgent = urgent
}

// compare adds the differences from the configuration in force.
func (c *check) compare() {
	start := len(c.findings)
	c.compareRoutes()
	c.compareServices()
	c.compareOrganisations()
	version, current := c.configuration.version, c.inForce.version
	if version < current || version == current && len(c.findings) > start {
		c.add(Error, "version-not-newer", Location{section: Whole, field: FieldVersion}, "use a higher version",
			"VMs ignore version %s, as version %s is in force", c.value(version), c.value(current))
	}
}

func (c *check) compareRoutes() {
	before := map[string]Route{}
	for _, r := range c.inForce.routes {
		before[r.Name()] = r
	}
	for i, r := range c.configuration.routes {
		old, ok := before[r.Name()]
		if !ok {
			c.change(false, "route-added", Location{section: Routes, index: i}, "route %s is new", c.quote(r.Name()))
			continue
		}
		delete(before, r.Name())
		c.compareRoute(i, old, r)
	}
	for _, r := range c.inForce.routes {
		if _, ok := before[r.Name()]; ok {
			delete(before, r.Name())
			c.change(true, "route-removed", Location{section: Whole, field: Field(Routes)}, "route %s is removed", c.quote(r.Name()))
		}
	}
}

func (c *check) compareRoute(i int, old, r Route) {
	at := func(f Field) Location { return Location{section: Routes, index: i, field: f} }
	if old.Host() != r.Host() || old.Prefix() != r.Prefix() {
		c.change(true, "route-moved", at(FieldHost), "route %s serves %s instead of %s", c.quote(r.Name()),
			c.quote(r.Host()+r.Prefix()), c.quote(old.Host()+old.Prefix()))
	}
	if !slices.Equal(old.Shards(), r.Shards()) {
		added, removed := differences(old.Shards(), r.Shards())
		c.change(false, "shards-changed", at(FieldShards), "the shards go from %d to %d (added %s; removed %s)",
			len(old.Shards()), len(r.Shards()), c.list(added), c.list(removed))
	}
	if !slices.Equal(old.Targets(), r.Targets()) {
		c.change(false, "weights-changed", at(FieldTargets), "the weights go from %s to %s", c.weights(old), c.weights(r))
	}
	c.compareRegions(at(FieldRegions), old.Regions(), r.Regions())
	times := changeList{check: c}
	times.add("timeout in ms", old.Timeout(), r.Timeout())
	times.add("latency target in ms", old.LatencyTarget(), r.LatencyTarget())
	if !times.empty() {
		shorter := r.Timeout() > 0 && (old.Timeout() == 0 || r.Timeout() < old.Timeout())
		c.change(shorter, "timeouts-changed", at(FieldTimeout), "route %s changes: %s", c.quote(r.Name()), times)
	}
	if old.IsPublic() != r.IsPublic() {
		c.change(old.IsPublic(), "public-changed", at(""), "public goes from %t to %t", old.IsPublic(), r.IsPublic())
	}
	others := changeList{check: c}
	others.add("priority", old.Rank(), r.Rank())
	others.add("attempts", old.MaxAttempts(), r.MaxAttempts())
	others.add("records of an answer", old.TopK(), r.TopK())
	others.add("minimum share", old.MinimumShare(), r.MinimumShare())
	others.add("repeatable", old.Idempotent(), r.Idempotent())
	if !others.empty() {
		c.change(false, "route-changed", at(""), "route %s changes: %s", c.quote(r.Name()), others)
	}
}

func (c *check) compareServices() {
	before := map[string]router.Service{}
	for _, s := range c.inForce.services {
		before[s.Name()] = s
	}
	for i, s := range c.configuration.services {
		old, ok := before[s.Name()]
		switch {
		case !ok:
			c.change(false, "service-added", Location{section: Services, index: i}, "service %s is new", c.quote(s.Name()))
		case old != s:
			cold := changeList{check: c}
			cold.add("requests a second to a cold leaf", old.ColdPerSecond(), s.ColdPerSecond())
			cold.add("cold time in ms", old.ColdFor(), s.ColdFor())
			c.change(false, "service-changed", Location{section: Services, index: i, field: FieldColdRate}, "service %s changes: %s", c.quote(s.Name()), cold)
		}
		delete(before, s.Name())
	}
	for _, s := range c.inForce.services {
		if _, ok := before[s.Name()]; ok {
			delete(before, s.Name())
			c.change(false, "service-removed", Location{section: Whole, field: Field(Services)}, "service %s is removed", c.quote(s.Name()))
		}
	}
}

func (c *check) compareOrganisations() {
	before := map[string]*router.Organisation{}
	for _, o := range c.inForce.organisations {
		before[o.Name()] = o
	}
	for i, o := range c.configuration.organisations {
		old, ok := before[o.Name()]
		if !ok {
			c.change(false, "organisation-added", Location{section: Organisations, index: i}, "organisation %s is new, with %s", c.quote(o.Name()), count(len(digests(o)), "key"))
			continue
		}
		delete(before, o.Name())
		c.compareOrganisation(i, old, o)
	}
	for _, o := range c.inForce.organisations {
		if _, ok := before[o.Name()]; ok {
			delete(before, o.Name())
			c.change(true, "organisation-removed", Location{section: Whole, field: Field(Organisations)},
				"organisation %s is removed, with %s", c.quote(o.Name()), count(len(digests(o)), "key"))
		}
	}
}

func (c *check) compareOrganisation(i int, old, o *router.Organisation) {
	at := func(f Field) Location { return Location{section: Organisations, index: i, field: f} }
	if added, removed := differences(digests(old), digests(o)); len(added)+len(removed) > 0 {
		c.change(len(removed) > 0, "keys-changed", at(FieldKeys), "organisation %s loses %s and gets %s", c.quote(o.Name()), count(len(removed), "key"), count(len(added), "key"))
	}
	caps := changeList{check: c}
	caps.add("rate", c.rate(old), c.rate(o))
	caps.add("burst", old.Burst(), o.Burst())
	if !caps.empty() {
		lowered, word := isLowered(old, o), "raised"
		if lowered {
			word = "lowered"
		}
		c.change(lowered, "cap-"+word, at(FieldRate), "the cap of organisation %s is %s: %s", c.quote(o.Name()), word, caps)
	}
	c.compareRegions(at(FieldRegions), old.Regions(), o.Regions())
	oldRank, hadRank := old.Rank()
	if rank, has := o.Rank(); has != hadRank || rank != oldRank {
		c.change(false, "priority-changed", at(""), "the priority of organisation %s changes", c.quote(o.Name()))
	}
}

// isLowered reports whether some requests within the old cap may be above the new one.
func isLowered(old, o *router.Organisation) bool {
	return o.PerSecond() > 0 && (old.PerSecond() <= 0 || o.PerSecond() < old.PerSecond() || o.Burst() < old.Burst())
}

func (c *check) compareRegions(l Location, old, current tier.RegionSet) {
	if old.Equal(current) {
		return
	}
	c.change(false, "regions-changed", l, "the allowed regions go from %s to %s", c.regions(old), c.regions(current))
}

func (c *check) regions(set tier.RegionSet) string {
	if !set.Restricted() {
		return "any"
	}
	return c.list(set.Names())
}

func (c *check) weights(r Route) string {
	if r.IsScatterGather() {
		return "shards"
	}
	list := make([]string, 0, len(r.Targets()))
	for _, t := range r.Targets() {
		list = append(list, c.quote(t.Service())+" "+c.value(t.Weight()))
	}
	return strings.Join(list, ", ")
}
