package checker

import (
	"fmt"
	"strconv"

	"cicadagrade.example/tier"
)

// defaultQuotaWindow is the window of quotas where no settings give one.
const defaultQuotaWindow = 5 * tier.Second

// check holds the inputs of a check and collects its findings.
type check struct {
	configuration *Configuration
	path          func(Location) string
	mask          func(string) string
	quotaWindow   tier.Millis
	hasRegion     func(string) bool
	inForce       *Configuration
	leafs         map[string]int
	findings      []Finding
}

// Option sets optional input of Check.
type Option func(*check)

// WithPaths sets how a location is written.
func WithPaths(path func(Location) string) Option { return func(c *check) { c.path = path } }

// WithMask sets a function through which all text from the file goes, to remove keys.
func WithMask(mask func(string) string) Option { return func(c *check) { c.mask = mask } }

// WithQuotaWindow sets the window of quotas. 0 means the default.
func WithQuotaWindow(window tier.Millis) Option {
	return func(c *check) {
		if window > 0 {
			c.quotaWindow = window
		}
	}
}

// WithRegions sets a function that reports whether the deployment has a region.
func WithRegions(has func(string) bool) Option { return func(c *check) { c.hasRegion = has } }

// WithLeafs sets the number of leafs of each service.
func WithLeafs(count map[string]int) Option { return func(c *check) { c.leafs = count } }

// Against sets the configuration in force.
func Against(inForce *Configuration) Option { return func(c *check) { c.inForce = inForce } }

// Check returns the findings on a configuration, sorted.
func Check(configuration *Configuration, options ...Option) []Finding {
	c := &check{
		configuration: configuration,
		path:          defaultPath,
		mask:          func(s string) string { return s },
		quotaWindow:   defaultQuotaWindow,
	}
	for _, set := range options {
		set(c)
	}
	c.checkNames()
	c.checkRoutes()
	c.checkServices()
	c.checkOrganisations()
	if c.inForce != nil {
		c.compare()
	}
	Sort(c.findings)
	return c.findings
}

func defaultPath(l Location) string {
	return string(l.section) + "[" + strconv.Itoa(l.index) + "]." + string(l.field)
}

func (c *check) add(severity Severity, kind string, l Location, action, problem string, args ...any) {
	c.findings = append(c.findings, NewFinding(severity, kind, c.path(l), fmt.Sprintf(problem, args...), action))
}

// quote prepares text of the file for output.
func (c *check) quote(text string) string { return strconv.Quote(c.mask(text)) }

// checkNames finds names that are missing or used twice.
func (c *check) checkNames() {
	var routes, services, organisations []string
	for _, r := range c.configuration.routes {
		routes = append(routes, r.Name())
	}
	for _, s := range c.configuration.services {
		services = append(services, s.Name())
	}
	for _, o := range c.configuration.organisations {
		organisations = append(organisations, o.Name())
	}
	c.checkNamesOf(Routes, routes)
	c.checkNamesOf(Services, services)
	c.checkNamesOf(Organisations, organisations)
}

func (c *check) checkNamesOf(section Section, names []string) {
	first := map[string]int{}
	for i, name := range names {
		l := Location{section: section, index: i, field: FieldName}
		if name == "" {
			c.add(Error, "missing-name", l, "give it a name", "the entry has no name")
			continue
		}
		if j, ok := first[name]; ok {
			at := c.path(Location{section: section, index: j, field: FieldName})
			c.add(Error, "duplicate-name", l, "rename or remove one of them", "%s is also the name of %s", c.quote(name), at)
			continue
		}
		first[name] = i
	}
}

// checkServices finds services that nothing refers to.
func (c *check) checkServices() {
	used := map[string]bool{}
	for _, r := range c.configuration.routes {
		for _, s := range r.services() {
			used[s] = true
		}
	}
	for i, s := range c.configuration.services {
		l := Location{section: Services, index: i, field: FieldName}
		switch {
		case s.ColdPerSecond() < 0 || s.ColdFor() < 0:
			c.add(Error, "negative-limit", Location{section: Services, index: i, field: FieldColdRate}, "use 0 for no limit, or a number above 0",
				"the time or rate of cold leafs is negative, and VMs ignore it")
		case s.Name() == "" || used[s.Name()]:
		case c.leafs == nil:
			c.add(Warning, "unused-service", l, "remove it, or name it in a route; check against the store to include leafs",
				"no route refers to service %s; its leafs aren't known here", c.quote(s.Name()))
		case c.leafs[s.Name()] == 0:
			c.add(Error, "unused-service", l, "remove it, or name it in a route", "no route or leaf refers to service %s", c.quote(s.Name()))
		}
	}
}
