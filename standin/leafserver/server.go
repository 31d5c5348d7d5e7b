// Package leafserver is a stand-in for the backend servers of the query tier. It has slots,
// bounded connections, service times with a tail, index versions, changes of the shard map,
// server states, and faults that can be set while it runs. For checks it keeps a journal of
// the calls that ran.
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
	tailSlowdown        = 8
	coldDuration        = 10 * tier.Second
	coldSlowdown        = 5
	shedFraction        = 0.5 // of the calls to a server in state shedding
)

var errShed = errors.New("no slot free")

// Server is one backend server.
type Server struct {
	backend      tier.Backend
	set          string
	seed         uint64
	median       time.Duration
	spread       float64
	tail         float64
	queueTimeout time.Duration
	clock        *tier.Clock
	records      *recordgenerator.Generator
	journal      *Journal

	slots         *slotPool
	listener      atomic.Pointer[boundedListener]
	holdings      *holdings
	healthHistory healthHistory
	faults        faultSettings
	counters      counters

	mu            sync.Mutex
	random        *rand.Rand
	state         backendv1.ServerState
	stateSince    tier.Millis
	previousReply *backendv1.SearchReply
}

// counters count calls by outcome.
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

// WithSeed sets the seed of the random numbers behind service times and faults.
func WithSeed(n uint64) Option { return func(s *Server) { s.seed = n } }

// WithServiceTime sets the distribution of service times: log-normal with this median and
// spread (the standard deviation of the logarithm). The fraction tail of the calls takes
// eight times as long.
func WithServiceTime(median time.Duration, spread, tail float64) Option {
	return func(s *Server) { s.median, s.spread, s.tail = median, spread, tail }
}

// WithQueueTimeout sets how long a call waits for a free slot before it is refused.
func WithQueueTimeout(d time.Duration) Option { return func(s *Server) { s.queueTimeout = d } }

// WithClock sets the clock.
func WithClock(c *tier.Clock) Option { return func(s *Server) { s.clock = c } }

// New returns a server in state live that holds version 1 of its shards of the set.
func New(b tier.Backend, set *tier.ShardSet, records *recordgenerator.Generator, j *Journal, opts ...Option) *Server {
	s := &Server{backend: b, set: set.Name(), records: records, journal: j}
	s.Defaults()
	for _, o := range opts {
		o(s)
	}
	s.slots = newSlotPool(b.Slots(), s.queueTimeout)
	s.holdings = newHoldings(b.Name(), set)
	s.faults.state = noFaults()
	s.random = rand.New(rand.NewPCG(s.seed, tier.HashKey(b.Name())))
	s.state = backendv1.ServerState_SERVER_STATE_LIVE
	s.recordHealth()
	return s
}

// Defaults sets the seed, the service times, the queue timeout and the clock.
func (s *Server) Defaults() {
	s.seed = 1
	s.median = DefaultMedian
	s.spread = DefaultSpread
	s.tail = DefaultTail
	s.queueTimeout = DefaultQueueTimeout
	s.clock = tier.NewClock()
}

// Name is the server's name.
func (s *Server) Name() string { return s.backend.Name() }

// Set is the name of the shard set that the server belongs to.
func (s *Server) Set() string { return s.set }

// DataCentre is the data centre that the server runs in.
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
	mux.Handle(backendv1connect.NewLeafServiceHandler(&service{server: s}))
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
	s.recordHealth()
}

// State is the true state, which Health may misreport. A cold server becomes live after
// coldDuration.
func (s *Server) State() backendv1.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == backendv1.ServerState_SERVER_STATE_COLD && s.clock.Now()-s.stateSince >= coldDuration {
		s.state = backendv1.ServerState_SERVER_STATE_LIVE
	}
	return s.state
}

// recordHealth adds a snapshot of the present to the health history.
func (s *Server) recordHealth() {
	m := healthSnapshot{
		at:       s.clock.Now(),
		state:    s.State(),
		inUse:    s.slots.inUse(),
		holdings: s.holdings.all(),
	}
	s.healthHistory.add(m, s.faults.get().healthLag)
}

// recordLoad adds a snapshot for a change of load, if Health lags and the last snapshot is
// old enough.
func (s *Server) recordLoad() {
	if s.faults.get().healthLag > 0 && s.healthHistory.due(s.clock.Now()) {
		s.recordHealth()
	}
}

// drawServiceTime draws the service time of a call. A cold server is slower, less so with
// its age.
func (s *Server) drawServiceTime() time.Duration {
	f := s.faults.get()
	state := s.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.median) * math.Exp(s.spread*s.random.NormFloat64())
	if s.random.Float64() < s.tail {
		d *= tailSlowdown
	}
	if state == backendv1.ServerState_SERVER_STATE_COLD {
		age := float64(s.clock.Now()-s.stateSince) / float64(coldDuration)
		d *= 1 + (coldSlowdown-1)*(1-min(age, 1))
	}
	return time.Duration(d * f.slowFactor)
}

// chance returns true with the given probability.
func (s *Server) chance(fraction float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < fraction
}
