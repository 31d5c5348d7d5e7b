package checker

import (
	"slices"
	"strings"
)

// checkRoutes finds routes that can never match and limits that contradict each other.
func (c *check) checkRoutes() {
	type address struct{ host, prefix string }
	byAddress, spelling := map[address]int{}, map[string]int{}
	for i, r := range c.configuration.routes {
		if first, ok := byAddress[address{r.Host(), r.Prefix()}]; ok {
			c.add(Warning, "shadowed-route", Location{section: Routes, index: i}, "remove one of them, or change its host or prefix",
				"the route never matches, as %s has the same host and prefix", c.path(Location{section: Routes, index: first}))
		} else {
			byAddress[address{r.Host(), r.Prefix()}] = i
		}
		l := Location{section: Routes, index: i, field: FieldHost}
		if first, ok := spelling[r.Host()]; !ok {
			spelling[r.Host()] = i
		} else if c.configuration.routes[first].host != r.host {
			c.add(Warning, "host-case", l, "write it in lower case everywhere",
				"host %s differs from that of %s only in case, and VMs treat them as the same",
				c.quote(r.host), c.path(Location{section: Routes, index: first, field: FieldHost}))
		}
		if r.host == "" || strings.ContainsAny(r.host, ":/ ") {
			c.add(Warning, "host-unmatched", l, "give the host name alone", "host %s matches no request: VMs compare names without a port", c.quote(r.host))
		}
		c.checkPrefix(i, r)
		c.checkDestinations(i, r)
		c.checkRouteLimits(i, r)
		c.checkRegions(Location{section: Routes, index: i, field: FieldRegions}, r.Regions().Names())
	}
}

func (c *check) checkPrefix(i int, r Route) {
	l := Location{section: Routes, index: i, field: FieldPrefix}
	begins, ends := strings.HasPrefix(r.Prefix(), "/"), strings.HasSuffix(r.Prefix(), "/")
	const action = "begin and end it with a slash"
	switch {
	case r.Prefix() == "":
		c.add(Warning, "prefix-slash", l, `write "/" if that is meant`, "an empty prefix matches every path")
	case !begins:
		c.add(Warning, "prefix-slash", l, action, "prefix %s has no slash at its beginning and matches no path", c.quote(r.Prefix()))
	case !ends:
		c.add(Warning, "prefix-slash", l, action, "prefix %s has no slash at its end and also matches longer names", c.quote(r.Prefix()))
	}
}

// checkDestinations finds routes whose requests have nowhere to go.
func (c *check) checkDestinations(i int, r Route) {
	at := func(f Field) Location { return Location{section: Routes, index: i, field: f} }
	if r.destinations > 1 {
		c.add(Error, "several-destinations", Location{section: Routes, index: i}, "keep only one of them",
			"the route has more than one of a service, a traffic split and shards; VMs use shards before a split, and a split before a service")
	}
	if r.IsScatterGather() {
		sorted := slices.Sorted(slices.Values(r.Shards()))
		if len(slices.Compact(sorted)) < len(r.Shards()) {
			c.add(Error, "duplicate-shard", at(FieldShards), "name each shard once", "a shard is listed more than once")
		}
		if slices.Contains(r.Shards(), "") {
			c.add(Error, "missing-service", at(FieldShards), "name the service of each shard", "a shard has no name")
		}
		return
	}
	total, seen := 0.0, map[string]bool{}
	for _, t := range r.Targets() {
		switch {
		case t.Service() == "":
			c.add(Error, "missing-service", at(FieldService), "name a service", "the route sends requests to a service without a name")
		case seen[t.Service()]:
			c.add(Error, "duplicate-target", at(FieldTargets), "name each service once and add the weights", "service %s has two weights", c.quote(t.Service()))
		case t.Weight() < 0:
			c.add(Error, "negative-weight", at(FieldTargets), "use 0 or more", "the weight of service %s is negative, and VMs send it nothing", c.quote(t.Service()))
		}
		seen[t.Service()] = true
		total += max(t.Weight(), 0)
	}
	if total == 0 {
		c.add(Error, "zero-weights", at(FieldTargets), "give some service a weight above 0", "the weights add up to zero")
	}
}

func (c *check) checkRouteLimits(i int, r Route) {
	at := func(f Field) Location { return Location{section: Routes, index: i, field: f} }
	if r.Timeout() < 0 || r.LatencyTarget() < 0 {
		c.add(Error, "negative-limit", at(FieldTimeout), "use a time above 0", "the timeout or latency target is negative")
	} else if r.Timeout() < r.LatencyTarget() && r.Timeout() > 0 {
		c.add(Warning, "timeout-below-target", at(FieldTimeout), "raise the timeout or lower the target",
			"the timeout of %s ms is below the latency target of %s ms", c.value(r.Timeout()), c.value(r.LatencyTarget()))
	}
	if r.attempts < 1 {
		c.add(Error, "attempts", at(FieldAttempts), "use 1 or more", "%s attempts can't be made, and VMs make one", c.value(r.attempts))
	}
	if r.IsScatterGather() && (r.MinimumShare() <= 0 || r.MinimumShare() > 1) {
		c.add(Warning, "minimum-share", at(FieldMinimumShare), "use a share above 0 and at most 1",
			"a minimum share of %s can't be meant: an answer has between one and all shards", c.value(r.MinimumShare()))
	}
	if c.leafs == nil {
		return
	}
	for _, s := range r.services() {
		if n := c.leafs[s]; r.attempts > n {
			c.add(Warning, "attempts-above-replicas", at(FieldAttempts), "lower the attempts or add leafs",
				"%s attempts are more than the %s of service %s", c.value(r.attempts), count(n, "leaf"), c.quote(s))
		}
	}
}

// checkRegions finds regions that the deployment does not have.
func (c *check) checkRegions(l Location, names []string) {
	if c.hasRegion == nil {
		return
	}
	for _, name := range names {
		if !c.hasRegion(name) {
			c.add(Warning, "unknown-region", l, "name a region of the settings", "the settings have no region %s", c.quote(name))
		}
	}
}
