package tier

// Bounds of a backend server's fields.
const (
	MaxSlots          = 1024
	MaxConnections    = 65536
	MaxConnectionCost = 10 * Second
)

// BackendState is what the tier believes of a backend server.
type BackendState int

// The states of a backend server.
const (
	BackendUnknown  BackendState = iota // not yet probed; used last
	BackendCold                         // started lately; gets a growing share
	BackendLive                         // takes its full share
	BackendShedding                     // sheds load; gets a reduced share
	BackendLeaving                      // gets no new work
	BackendLost                         // does not answer; only probed
)

var backendStateNames = [...]string{"unknown", "cold", "live", "shedding", "leaving", "lost"}

// String is the state's name in status pages and logs.
func (s BackendState) String() string {
	if s < BackendUnknown || s > BackendLost {
		return "invalid"
	}
	return backendStateNames[s]
}

// AcceptsCalls reports whether new calls may be sent in this state.
func (s BackendState) AcceptsCalls() bool { return s != BackendLeaving && s != BackendLost }

// Backend is a backend server as the operators describe it.
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

// WithSlots sets how many calls it runs at once.
func WithSlots(n int) BackendOption { return func(b *Backend) { b.slots = n } }

// WithConnections sets how many connections it accepts.
func WithConnections(n int) BackendOption { return func(b *Backend) { b.connections = n } }

// WithConnectionCost sets how long a new connection takes.
func WithConnectionCost(m Millis) BackendOption { return func(b *Backend) { b.connectionCost = m } }

// NewBackend returns a backend server; the shard set that holds it checks it.
func NewBackend(name, address, dataCentre string, opts ...BackendOption) Backend {
	b := Backend{name: name, address: address, dataCentre: dataCentre}
	b.SetDefaults()
	for _, o := range opts {
		o(&b)
	}
	return b
}

// SetDefaults sets slots, connections and connection cost to those of the
// smallest server.
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

// Name is unique among the servers of a set.
func (b Backend) Name() string { return b.name }

// Address is an IP number and port.
func (b Backend) Address() string { return b.address }

// DataCentre is the data centre it runs in.
func (b Backend) DataCentre() string { return b.dataCentre }

// Slots is how many calls it runs at once.
func (b Backend) Slots() int { return b.slots }

// Connections is how many connections it accepts from all VMs together.
func (b Backend) Connections() int { return b.connections }

// ConnectionCost is how long a new connection takes.
func (b Backend) ConnectionCost() Millis { return b.connectionCost }
