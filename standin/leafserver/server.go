// Package leafserver plays backend servers of the query tier: slots, bounded
// connections, service times with a tail, index versions, repartition,
// states, and faults that are set while it runs. It keeps a journal of what
// really ran, for checks.
package leafserver

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	backendv1 "cicadagrade.example/api/backend/v1"
	"cicadagrade.example/api/backend/v1/backendv1connect"
	"cicadagrade.example/standin/recordgenerator"
	"cicadagrade.example/tier"
)

// Defaults of a server.
const (
	DefaultMedian       = 3 * time.Millisecond
	DefaultSpread       = 0.4
	DefaultTail         = 0.01
	DefaultQueueTimeout = 20 * time.Millisecond
	tailFactor          = 8
	coldSpan            = 10 * tier.Second
	coldFactor          = 5
	shedFraction        = 0.5 // of the calls to a shedding server
)

var errShed = errors.New("no slot free")

// Server is one backend server.
type Server struct {
	backend  tier.Backend
	set      string
	seed     uint64
	median   time.Duration
	spread   float64
	tail     float64
	patience time.Duration
	clock    *tier.Clock
	records  *recordgenerator.Generator
	journal  *Journal

	gate     *gate
	listener atomic.Pointer[boundedListener]
	holdings *holdings
	timeline timeline
	faults   faults
	counters counters

	mu         sync.Mutex
	random     *rand.Rand
	state      backendv1.ServerState
	stateSince tier.Millis
	previous   *backendv1.SearchReply
}

// counters count what happened to calls.
type counters struct {
	searches  atomic.Int64
	bookings  atomic.Int64
	served    atomic.Int64
	booked    atomic.Int64
	cancelled atomic.Int64
	refused   atomic.Int64
	receipts  atomic.Int64
}

// Option sets one field of a server.
type Option func(*Server)

// WithSeed sets what service times and fault choices are drawn from.
func WithSeed(n uint64) Option { return func(s *Server) { s.seed = n } }

// WithServiceTime sets the service times' distribution: log-normal with this
// median and spread (the logarithm's standard deviation), and a fraction
// tail of calls that take eight times as long.
func WithServiceTime(median time.Duration, spread, tail float64) Option {
	return func(s *Server) { s.median, s.spread, s.tail = median, spread, tail }
}

// WithQueueTimeout sets how long a call waits for a slot before it is shed.
func WithQueueTimeout(d time.Duration) Option { return func(s *Server) { s.patience = d } }

// WithClock sets the clock.
func WithClock(c *tier.Clock) Option { return func(s *Server) { s.clock = c } }

// New returns a live server that holds version 1 of its shards of the set.
func New(b tier.Backend, set *tier.ShardSet, records *recordgenerator.Generator, j *Journal, opts ...Option) *Server {
	s := &Server{backend: b, set: set.Name(), records: records, journal: j}
	s.Defaults()
	for _, o := range opts {
		o(s)
	}
	s.gate = newGate(b.Slots(), s.patience)
	s.holdings = newHoldings(b.Name(), set)
	s.faults.state = noFaults()
	s.random = rand.New(rand.NewPCG(s.seed, tier.HashKey(b.Name())))
	s.state = backendv1.ServerState_SERVER_STATE_LIVE
	s.note()
	return s
}

// Defaults sets the seed, the service times, the patience and the clock.
func (s *Server) Defaults() {
	s.seed = 1
	s.median = DefaultMedian
	s.spread = DefaultSpread
	s.tail = DefaultTail
	s.patience = DefaultQueueTimeout
	s.clock = tier.NewClock()
}

// Name is the server's name.
func (s *Server) Name() string { return s.backend.Name() }

// Set is the set whose shards it holds.
func (s *Server) Set() string { return s.set }

// DataCentre is where it runs.
func (s *Server) DataCentre() string { return s.backend.DataCentre() }

// Serve listens at the server's address until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", s.backend.Address())
	if err != nil {
		return errors.Wrap(err, "Server.Serve")
	}
	return s.ServeOn(ctx, l)
}

// ServeOn serves on a listener until ctx ends, and closes it.
func (s *Server) ServeOn(ctx context.Context, l net.Listener) error {
	bounded := newBoundedListener(l, s.backend.Connections(), s.backend.ConnectionCost().Duration())
	s.listener.Store(bounded)
	mux := http.NewServeMux()
	mux.Handle(backendv1connect.NewLeafServiceHandler(&service{s: s}))
	h := &http.Server{Handler: mux}
	var g run.Group
	g.Add(func() error { return h.Serve(bounded) }, func(error) { _ = h.Close() })
	done, stop := context.WithCancel(ctx)
	g.Add(func() error { <-done.Done(); return nil }, func(error) { stop() })
	if err := g.Run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "Server.ServeOn")
	}
	return nil
}

// SetState changes the server's state.
func (s *Server) SetState(state backendv1.ServerState) {
	s.mu.Lock()
	s.state = state
	s.stateSince = s.clock.Now()
	s.mu.Unlock()
	s.note()
}

// State is the true state now. A cold server becomes live by itself.
func (s *Server) State() backendv1.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == backendv1.ServerState_SERVER_STATE_COLD && s.clock.Now()-s.stateSince >= coldSpan {
		s.state = backendv1.ServerState_SERVER_STATE_LIVE
	}
	return s.state
}

// note adds a moment to the timeline of the health page.
func (s *Server) note() {
	m := moment{
		at:       s.clock.Now(),
		state:    s.State(),
		inUse:    s.gate.inUse(),
		holdings: s.holdings.all(),
	}
	s.timeline.add(m, s.faults.get().healthLag)
}

// noteLoad notes a moment for its load alone.
func (s *Server) noteLoad() {
	if s.faults.get().healthLag > 0 && s.timeline.due(s.clock.Now()) {
		s.note()
	}
}

// serviceTime draws how long a call takes.
func (s *Server) serviceTime() time.Duration {
	f := s.faults.get()
	state := s.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.median) * math.Exp(s.spread*s.random.NormFloat64())
	if s.random.Float64() < s.tail {
		d *= tailFactor
	}
	if state == backendv1.ServerState_SERVER_STATE_COLD {
		age := float64(s.clock.Now()-s.stateSince) / float64(coldSpan)
		d *= 1 + (coldFactor-1)*(1-min(age, 1))
	}
	return time.Duration(d * f.slowFactor)
}

// strikes draws whether a fault of this fraction hits a call.
func (s *Server) strikes(fraction float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < fraction
}
