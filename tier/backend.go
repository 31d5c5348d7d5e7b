package tier

// Upper bounds of a backend server's fields.
const (
	MaxSlots          = 1024
	MaxConnections    = 65536
	MaxConnectionCost = 10 * Second
)

// BackendState is the state of a backend server as an entry VM last learnt it. It decides
// whether, and how many, calls the server is sent.
type BackendState int

// The states of a backend server.
const (
	BackendUnknown  BackendState = iota // not yet probed; least preferred
	BackendCold                         // recently started; gets a growing share of the calls
	BackendLive                         // gets its full share of the calls
	BackendShedding                     // sheds load; gets a reduced share of the calls
	BackendLeaving                      // shutting down; gets no new calls
	BackendLost                         // does not answer; gets only health probes
)

var backendStateNames = [...]string{"unknown", "cold", "live", "shedding", "leaving", "lost"}

// String is the state's name in status pages and logs.
func (s BackendState) String() string {
	if s < BackendUnknown || s > BackendLost {
		return "invalid"
	}
	return backendStateNames[s]
}

// AcceptsCalls reports whether a server in this state may be sent new calls.
func (s BackendState) AcceptsCalls() bool { return s != BackendLeaving && s != BackendLost }

// Backend is a backend server as described in the operators' configuration.
type Backend struct {
	name           string
	address        string
	dataCentre     string
	slots          int
	connections    int
	connectionCost Millis
}

// BackendOption sets one field of a backend server.
type BackendOption func(*Backend)

// WithSlots sets how many calls the server runs at once.
func WithSlots(n int) BackendOption { return func(b *Backend) { b.slots = n } }

// WithConnections sets how many connections the server accepts from all VMs together.
func WithConnections(n int) BackendOption { return func(b *Backend) { b.connections = n } }

// WithConnectionCost sets how long it takes to open a connection to the server.
func WithConnectionCost(m Millis) BackendOption { return func(b *Backend) { b.connectionCost = m } }

// NewBackend returns a backend server, with defaults for the options not given. It is
// validated with the shard set that it belongs to.
func NewBackend(name, address, dataCentre string, opts ...BackendOption) Backend {
	b := Backend{name: name, address: address, dataCentre: dataCentre}
	b.SetDefaults()
	for _, o := range opts {
		o(&b)
	}
	return b
}

// SetDefaults sets slots, connections and connection cost to those of the smallest kind of
// server.
func (b *Backend) SetDefaults() {
	b.slots = 2
	b.connections = 25
	b.connectionCost = 6
}

func (b *Backend) validate(path string, l *problemList) {
	l.check(ValidName(b.name), path+".name", b.name, nameAllowed)
	l.check(validAddress(b.address), path+".address", b.address, "an IP number and port, such as 10.0.0.1:9000")
	l.check(ValidName(b.dataCentre), path+".data-centre", b.dataCentre, nameAllowed)
	l.check(b.slots >= 1 && b.slots <= MaxSlots, path+".slots", b.slots, "1 to 1024")
	l.check(b.connections >= b.slots && b.connections <= MaxConnections, path+".connections", b.connections, "at least slots and at most 65536")
	l.check(b.connectionCost >= 0 && b.connectionCost <= MaxConnectionCost, path+".connection-cost-ms", b.connectionCost, "0 to 10000")
}

// Name is the server's name, unique within its shard set.
func (b Backend) Name() string { return b.name }

// Address is the server's IP address and port.
func (b Backend) Address() string { return b.address }

// DataCentre is the data centre that the server runs in.
func (b Backend) DataCentre() string { return b.dataCentre }

// Slots is how many calls the server runs at once.
func (b Backend) Slots() int { return b.slots }

// Connections is how many connections the server accepts from all VMs together.
func (b Backend) Connections() int { return b.connections }

// ConnectionCost is how long it takes to open a connection to the server.
func (b Backend) ConnectionCost() Millis { return b.connectionCost }
