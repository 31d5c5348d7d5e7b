// Package router finds the route of a request in one version of the operator's
// configuration. A version never changes once built: a request keeps the one
// that it began with.
package router

import (
	"sort"
	"strings"

	"cicadagrade.example/tier"
)

// Limits bound what a caller may send.
type Limits struct {
	headerBytes int
	bodyBytes   int
	headerTime  tier.Millis
	idleTime    tier.Millis
}

// NewLimits returns the sizes in bytes, the time to send a header, and the
// time that a connection may be idle. 0 is no limit.
func NewLimits(headerBytes, bodyBytes int, headerTime, idleTime tier.Millis) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTime: headerTime, idleTime: idleTime}
}

// MaxHeaderBytes is the most that a request's header may have.
func (l Limits) MaxHeaderBytes() int { return l.headerBytes }

// MaxBodyBytes is the most that a request's body may have.
func (l Limits) MaxBodyBytes() int { return l.bodyBytes }

// HeaderTimeout is how long a caller may take to send a header.
func (l Limits) HeaderTimeout() tier.Millis { return l.headerTime }

// IdleTimeout is how long a connection may be idle.
func (l Limits) IdleTimeout() tier.Millis { return l.idleTime }

// Table is one version of the configuration.
type Table struct {
	version int64
	routes  map[string][]*Route
	used    map[string]bool // services that routes lead to
	limits  Limits
	count   int
}

// NewTable returns a table of routes.
func NewTable(version int64, routes []*Route, limits Limits) *Table {
	t := &Table{
		version: version,
		routes:  map[string][]*Route{},
		used:    map[string]bool{},
		limits:  limits,
		count:   len(routes),
	}
	for _, r := range routes {
		t.routes[r.host] = append(t.routes[r.host], r)
		for _, s := range r.shards {
			t.used[s] = true
		}
		for _, target := range r.targets {
			t.used[target.service] = true
		}
	}
	for _, list := range t.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
	return t
}

// Version is the operator's number of the table; higher is newer.
func (t *Table) Version() int64 { return t.version }

// Limits bound what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount is the number of routes.
func (t *Table) RouteCount() int { return t.count }

// Uses reports whether some route leads to a service.
func (t *Table) Uses(service string) bool { return t.used[service] }

// Match finds the route with the longest prefix of path among those of host,
// which may carry a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return nil, false
}
