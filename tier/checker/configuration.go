package checker

import "cicadagrade.example/tier/router"

// Configuration is a decoded configuration with its entries in the order of the file.
type Configuration struct {
	version       int64
	routes        []Route
	services      []router.Service
	organisations []*router.Organisation
}

// NewConfiguration returns a configuration.
func NewConfiguration(version int64, routes []Route, services []router.Service, organisations []*router.Organisation) *Configuration {
	return &Configuration{version: version, routes: routes, services: services, organisations: organisations}
}

// Route is a route with what its file says and the routing table doesn't keep.
type Route struct {
	*router.Route
	host         string
	attempts     int
	destinations int
}

// RouteOption sets an optional field of a Route.
type RouteOption func(*Route)

// NewRoute returns a route whose file gives its host as it is written in host.
func NewRoute(r *router.Route, host string, options ...RouteOption) Route {
	route := Route{Route: r, host: host, attempts: r.MaxAttempts(), destinations: 1}
	for _, set := range options {
		set(&route)
	}
	return route
}

// WithAttempts sets the number of attempts in the file, which may be invalid.
func WithAttempts(n int) RouteOption { return func(r *Route) { r.attempts = n } }

// WithDestinations sets how many of a service, targets and shards the file gives. Only one of
// them is used.
func WithDestinations(n int) RouteOption { return func(r *Route) { r.destinations = n } }

// services are the services to which a route sends requests.
func (r Route) services() []string {
	if r.IsScatterGather() {
		return r.Shards()
	}
	list := make([]string, 0, len(r.Targets()))
	for _, t := range r.Targets() {
		list = append(list, t.Service())
	}
	return list
}

// Section is a list of a configuration.
type Section string

// The sections. Whole is the configuration itself.
const (
	Whole         Section = "configuration"
	Routes        Section = "routes"
	Services      Section = "services"
	Organisations Section = "organisations"
)

// Field is a field of an entry. An empty one means the entry itself.
type Field string

// The fields at which there are findings.
const (
	FieldVersion      Field = "version"
	FieldName         Field = "name"
	FieldHost         Field = "host"
	FieldPrefix       Field = "prefix"
	FieldTimeout      Field = "timeout"
	FieldAttempts     Field = "attempts"
	FieldService      Field = "service"
	FieldTargets      Field = "targets"
	FieldShards       Field = "shards"
	FieldMinimumShare Field = "minimum-share"
	FieldRegions      Field = "regions"
	FieldKeys         Field = "keys"
	FieldRate         Field = "rate"
	FieldBurst        Field = "burst"
	FieldColdRate     Field = "cold-rate"
)

// Location is a place in a configuration.
type Location struct {
	section Section
	index   int
	field   Field
}

// Section is the list that the entry is in.
func (l Location) Section() Section { return l.section }

// Index is the entry's place in the list, from 0.
func (l Location) Index() int { return l.index }

// Field is the field of the entry.
func (l Location) Field() Field { return l.field }
