// Package router finds the route of a request in one version of the operators' configuration.
// A version is immutable, and a request uses the same version from its start to its end.
package router

import (
	"sort"
	"strings"

	"cicadagrade.example/tier"
)

// Limits are bounds on the requests and connections of callers.
type Limits struct {
	maxHeaderBytes int
	maxBodyBytes   int
	headerTimeout  tier.Millis
	idleTimeout    tier.Millis
}

// NewLimits returns limits on the sizes of header and body, on the time to send a header, and
// on the time that a connection may be idle. 0 means no limit.
func NewLimits(maxHeaderBytes, maxBodyBytes int, headerTimeout, idleTimeout tier.Millis) Limits {
	return Limits{maxHeaderBytes: maxHeaderBytes, maxBodyBytes: maxBodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout}
}

// MaxHeaderBytes is the largest size of a request's header.
func (l Limits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// MaxBodyBytes is the largest size of a request's body.
func (l Limits) MaxBodyBytes() int { return l.maxBodyBytes }

// HeaderTimeout is how long a caller may take to send a header.
func (l Limits) HeaderTimeout() tier.Millis { return l.headerTimeout }

// IdleTimeout is how long a connection may be idle.
func (l Limits) IdleTimeout() tier.Millis { return l.idleTimeout }

// Table is the routing table of one version of the configuration.
type Table struct {
	version      int64
	routesByHost map[string][]*Route
	usedServices map[string]bool // services that some route sends requests to
	shards       map[string]bool // those that are shards of some route
	limits       Limits
	routeCount   int

	organisations []*Organisation
	services      map[string]Service // by name
}

// NewTable returns a table of routes.
func NewTable(version int64, routes []*Route, limits Limits, options ...TableOption) *Table {
	t := &Table{
		version:      version,
		routesByHost: map[string][]*Route{},
		usedServices: map[string]bool{},
		shards:       map[string]bool{},
		limits:       limits,
		routeCount:   len(routes),
		services:     map[string]Service{},
	}
	for _, set := range options {
		set(t)
	}
	for _, r := range routes {
		t.routesByHost[r.host] = append(t.routesByHost[r.host], r)
		for _, s := range r.shards {
			t.usedServices[s], t.shards[s] = true, true
		}
		for _, target := range r.targets {
			t.usedServices[target.service] = true
		}
	}
	for _, list := range t.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
	return t
}

// Version is the operators' number of the configuration version; a higher one is newer.
func (t *Table) Version() int64 { return t.version }

// Limits are the bounds on the requests and connections of callers.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount is the number of routes.
func (t *Table) RouteCount() int { return t.routeCount }

// Uses reports whether some route sends requests to a service.
func (t *Table) Uses(service string) bool { return t.usedServices[service] }

// IsShard reports whether a service is a shard of some route.
func (t *Table) IsShard(service string) bool { return t.shards[service] }

// HostName is the name in a request's Host header, in lower case and without the port.
func HostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of a host, which may be followed by a port, whose prefix is the
// longest one that path begins with.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.routesByHost[HostName(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return nil, false
}
