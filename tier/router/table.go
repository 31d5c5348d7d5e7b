// Package router finds the route of a request in one version of the operator's
// configuration. A version never changes once built: a request keeps the one
// that it began with.
package router

import (
	"sort"
	"strings"

	"cicadagrade.example/tier"
)

// Service is what the operator says of the leafs of one service.
type Service struct {
	name           string
	healthPath     string
	maxConnections int
}

// NewService returns a service with the path of its health check and the most
// connections that each of its leafs accepts from all VMs.
func NewService(name, healthPath string, maxConnections int) Service {
	return Service{name: name, healthPath: healthPath, maxConnections: maxConnections}
}

// Name is the service's name.
func (s Service) Name() string { return s.name }

// HealthPath is the path of the health check.
func (s Service) HealthPath() string { return s.healthPath }

// MaxConnections is the limit of each leaf over all VMs; 0 is unknown.
func (s Service) MaxConnections() int { return s.maxConnections }

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

// HeaderBytes is the most that a request's header may have.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes is the most that a request's body may have.
func (l Limits) BodyBytes() int { return l.bodyBytes }

// HeaderTime is how long a caller may take to send a header.
func (l Limits) HeaderTime() tier.Millis { return l.headerTime }

// IdleTime is how long a connection may be idle.
func (l Limits) IdleTime() tier.Millis { return l.idleTime }

// Table is one version of the configuration.
type Table struct {
	version  int64
	routes   map[string][]*Route
	services map[string]Service
	limits   Limits
	count    int
}

// NewTable returns a table of routes and services.
func NewTable(version int64, routes []*Route, services []Service, limits Limits) *Table {
	t := &Table{
		version:  version,
		routes:   map[string][]*Route{},
		services: make(map[string]Service, len(services)),
		limits:   limits,
		count:    len(routes),
	}
	for _, r := range routes {
		t.routes[r.host] = append(t.routes[r.host], r)
	}
	for _, list := range t.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].prefix) > len(list[j].prefix) })
	}
	for _, s := range services {
		t.services[s.name] = s
	}
	return t
}

// Version is the operator's number of the table; higher is newer.
func (t *Table) Version() int64 { return t.version }

// Limits bound what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Routes is the number of routes.
func (t *Table) Routes() int { return t.count }

// Service finds a service by name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

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
