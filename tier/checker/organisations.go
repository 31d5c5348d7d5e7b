package checker

import (
	"crypto/sha256"
	"strings"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/router"
)

// digest is the SHA-256 digest of a key.
type digest string

// digests are the digests of an organisation's keys, whichever form the file has them in.
func digests(o *router.Organisation) []digest {
	list := make([]digest, 0, len(o.Keys())+len(o.KeyDigests()))
	for _, key := range o.Keys() {
		d := sha256.Sum256([]byte(key))
		list = append(list, digest(d[:]))
	}
	for _, d := range o.KeyDigests() {
		list = append(list, digest(d))
	}
	return list
}

// checkOrganisations finds keys that don't identify one organisation, and unusable quotas.
func (c *check) checkOrganisations() {
	owner, groups := map[digest]int{}, c.routeGroups()
	for i, o := range c.configuration.organisations {
		c.checkKeys(i, o, owner)
		c.checkQuota(i, o)
		regions := Location{section: Organisations, index: i, field: FieldRegions}
		c.checkRegions(regions, o.Regions().Names())
		c.checkCommonRegions(regions, o, groups)
	}
}

func (c *check) checkKeys(i int, o *router.Organisation, owner map[digest]int) {
	l := Location{section: Organisations, index: i, field: FieldKeys}
	keys := digests(o)
	if len(keys) == 0 {
		c.add(Warning, "no-keys", l, "add a key or remove the organisation", "the organisation has no keys, so that no request is its own")
	}
	for n, key := range keys {
		switch first, ok := owner[key]; {
		case !ok:
			owner[key] = i
		case first == i:
			c.add(Error, "duplicate-key", l, "remove it", "key %d is listed twice", n+1)
		default:
			c.add(Error, "shared-key", l, "give each organisation its own keys",
				"key %d belongs to %s as well, whose requests VMs take it for", n+1, c.path(Location{section: Organisations, index: first}))
		}
	}
}

func (c *check) checkQuota(i int, o *router.Organisation) {
	at := func(f Field) Location { return Location{section: Organisations, index: i, field: f} }
	window := float64(c.quotaWindow) / 1000
	switch {
	case o.PerSecond() < 0 || o.Burst() < 0:
		c.add(Error, "negative-limit", at(FieldRate), "use 0 for no limit, or a number above 0", "the rate or burst is negative, and VMs ignore it")
	case o.PerSecond() == 0 && o.Burst() > 0:
		c.add(Error, "burst-without-rate", at(FieldBurst), "add a rate or remove the burst", "VMs ignore a burst without a rate")
	case o.PerSecond() == 0:
	default:
		if o.PerSecond()*window+o.Burst() < 1 {
			c.add(Warning, "rate-too-low", at(FieldRate), "raise the rate or the burst",
				"a rate of %s a second admits no request in a window of %g s", c.value(o.PerSecond()), window)
		}
		if o.Burst() < 1 {
			c.add(Warning, "burst-below-one", at(FieldBurst), "use a burst of 1 or more", "a burst of %s is below one request", c.value(o.Burst()))
		}
	}
}

// routeGroup is the routes that may be served in the same regions.
type routeGroup struct {
	regions tier.RegionSet
	first   int
	size    int
}

// routeGroups groups the routes with restricted regions, in their order. Configurations have
// many routes and few sets of regions.
func (c *check) routeGroups() []*routeGroup {
	var groups []*routeGroup
	byNames := map[string]*routeGroup{}
	for i, r := range c.configuration.routes {
		if !r.Regions().Restricted() {
			continue
		}
		names := strings.Join(r.Regions().Names(), "\x00")
		if byNames[names] == nil {
			byNames[names] = &routeGroup{regions: r.Regions(), first: i}
			groups = append(groups, byNames[names])
		}
		byNames[names].size++
	}
	return groups
}

// checkCommonRegions finds the routes that an organisation can't use. Their number may be
// large, so there is one finding for each organisation.
func (c *check) checkCommonRegions(l Location, o *router.Organisation, groups []*routeGroup) {
	first, without := 0, 0
	for _, g := range groups {
		both := o.Regions().Intersect(g.regions)
		if len(both.Names()) > 0 {
			continue
		}
		if without == 0 {
			first = g.first
		}
		without += g.size
	}
	if without > 0 {
		c.add(Warning, "no-common-region", l, "add a region to one of the lists",
			"the organisation has no region in common with %s, the first of which is %s", count(without, "route"), c.path(Location{section: Routes, index: first}))
	}
}
