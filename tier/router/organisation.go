package router

import "cicadagrade.example/tier"

// Organisation is a customer of a deployment whose callers identify themselves by keys.
type Organisation struct {
	name      string
	keys      []string
	digests   [][]byte
	rank      int
	hasRank   bool
	perSecond float64
	burst     float64
	regions   tier.RegionSet
}

// OrganisationOption sets an optional field of an organisation.
type OrganisationOption func(*Organisation)

// NewOrganisation returns an organisation with its keys.
func NewOrganisation(name string, keys []string, options ...OrganisationOption) *Organisation {
	o := &Organisation{name: name, keys: keys}
	for _, set := range options {
		set(o)
	}
	return o
}

// WithOwnRank sets the rank of the organisation's requests, which goes before that of a route.
func WithOwnRank(rank int) OrganisationOption {
	return func(o *Organisation) { o.rank, o.hasRank = rank, true }
}

// WithQuota limits the requests of the organisation through all VMs together to a rate, in
// requests a second, and a burst. A rate of 0 means no limit.
func WithQuota(perSecond, burst float64) OrganisationOption {
	return func(o *Organisation) { o.perSecond, o.burst = perSecond, burst }
}

// WithKeyDigests adds keys of which only the SHA-256 digests are known.
func WithKeyDigests(digests ...[]byte) OrganisationOption {
	return func(o *Organisation) { o.digests = digests }
}

// ServedIn sets the regions in which the organisation's requests may be served.
func ServedIn(regions tier.RegionSet) OrganisationOption {
	return func(o *Organisation) { o.regions = regions }
}

// Name is the name that leafs get.
func (o *Organisation) Name() string { return o.name }

// Keys are the secrets that identify the organisation's callers. They must not be logged or
// sent to other processes.
func (o *Organisation) Keys() []string { return o.keys }

// KeyDigests are the SHA-256 digests of further keys.
func (o *Organisation) KeyDigests() [][]byte { return o.digests }

// Rank is the rank of its requests. The second result is false if that of the route applies.
func (o *Organisation) Rank() (int, bool) { return o.rank, o.hasRank }

// PerSecond is the quota in requests a second, or 0 if there is none.
func (o *Organisation) PerSecond() float64 { return o.perSecond }

// Burst is the number of requests that may come at once beyond the rate.
func (o *Organisation) Burst() float64 { return o.burst }

// Regions are the regions in which its requests may be served.
func (o *Organisation) Regions() tier.RegionSet { return o.regions }

// Service is what the configuration says of a service.
type Service struct {
	name          string
	coldFor       tier.Millis
	coldPerSecond float64
}

// NewService returns a service whose leafs are cold for a time after their start and take a
// number of requests a second while they are. A rate of 0 means no limit.
func NewService(name string, coldFor tier.Millis, coldPerSecond float64) Service {
	return Service{name: name, coldFor: coldFor, coldPerSecond: coldPerSecond}
}

// Name is the service's name.
func (s Service) Name() string { return s.name }

// ColdFor is how long a leaf is cold after its start.
func (s Service) ColdFor() tier.Millis { return s.coldFor }

// ColdPerSecond is the number of requests a second that a cold leaf takes from all VMs
// together, or 0 if there is no limit.
func (s Service) ColdPerSecond() float64 { return s.coldPerSecond }

// TableOption sets optional content of a table.
type TableOption func(*Table)

// WithOrganisations sets the organisations. If there are any, requests need a key, except on
// public routes.
func WithOrganisations(list ...*Organisation) TableOption {
	return func(t *Table) { t.organisations = list }
}

// WithServices sets the services that the configuration describes.
func WithServices(list ...Service) TableOption {
	return func(t *Table) {
		for _, s := range list {
			t.services[s.name] = s
		}
	}
}

// Organisations are the organisations of the configuration. The caller must not modify the
// slice.
func (t *Table) Organisations() []*Organisation { return t.organisations }

// Service is what the configuration says of a service. The zero value is returned for one
// that it does not describe.
func (t *Table) Service(name string) Service { return t.services[name] }
