// Package entry is the entry VM on the users' platform: it takes callers'
// requests, has the leafs of the route's services answer them, and keeps the
// view of configuration, leafs and VMs that the store tells.
package entry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/cicadagraded/leafclient"
	"cicadagrade.example/cicadagraded/meter"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/budgeter"
	"cicadagrade.example/tier/delayestimator"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/relayer"
	"cicadagrade.example/tier/router"
	"cicadagrade.example/tier/searcher"
)

// Entry is one VM.
type Entry struct {
	settings atomic.Pointer[platform.Settings]
	clock    *tier.Clock
	log      *eventlog.Log
	courier  *leafclient.Client
	store    *platform.Store
	table    atomic.Pointer[router.Table]
	seen     atomic.Int64 // when the store last answered, on the clock
	listed   atomic.Bool  // the VM's own registration is in the store
	away     atomic.Bool  // the store did not answer the last call
	isolated atomic.Bool  // neither the store nor any VM answers
	stopping atomic.Bool
	tripless atomic.Bool   // the system does not tell round trips; said once
	stopped  chan struct{} // closed when the VM begins to stop
	peers    *peers
	meter    *meter.Meter
	sent     atomic.Int64 // calls to leafs
	extra    atomic.Int64 // hedges and retries among them
	missing  atomic.Int64 // parts that were not in when their request ended
	far      atomic.Int64 // bytes of replies from other regions
	calls    sync.WaitGroup

	// mu guards what decides: one search steps at a time.
	mu   sync.Mutex
	core *searcher.Scheduler
	// relayer holds what has been read of the store, for other VMs.
	relayer *relayer.Relayer
	// timekeeper tells how long callers have waited already.
	timekeeper *delayestimator.Estimator
}

// New returns a VM that is not yet serving.
func New(s *platform.Settings, clock *tier.Clock, log *eventlog.Log) (*Entry, error) {
	m, err := meter.New()
	if err != nil {
		return nil, errors.Wrap(err, "New")
	}
	e := &Entry{
		meter: m, clock: clock, log: log, courier: leafclient.New(), peers: newPeers(),
		stopped: make(chan struct{}), relayer: relayer.New(), timekeeper: delayestimator.New(),
	}
	e.settings.Store(s)
	e.store = platform.NewStore(s.StoreAddress(), platform.WithTimeout(callTimeout))
	vm := tier.NewVM(s.Name(), s.DataCentre(), s.PeerAddress(),
		tier.WithIncarnation(tier.Incarnation(rand.Uint64())), tier.WithVMState(tier.VMLive))
	self := partitioner.NewMember(vm, s.Region(s.DataCentre()), s.Cores())
	e.core = searcher.NewScheduler(lister.New(), balancer.New(e.place),
		budgeter.New(s.RetryBudgetRatio(), s.RetryBudgetSlack(), assumedMembers), partitioner.New(self))
	return e, errors.Wrap(e.observe(), "New")
}

// assumedMembers is how many VMs divide the slack of extra calls until the
// store has told who there is.
const assumedMembers = 10

func (e *Entry) place(dataCentre string) balancer.Distance {
	s := e.settings.Load()
	switch {
	case dataCentre == s.DataCentre():
		return balancer.SameDataCentre
	case s.Region(dataCentre) == s.Region(s.DataCentre()):
		return balancer.SameRegion
	}
	return balancer.OtherRegion
}

// Reload takes new settings. Addresses and the store's client stay as they
// were at the start: they are the process's own.
func (e *Entry) Reload(s *platform.Settings) {
	e.settings.Store(s)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Budgeter().Configure(s.RetryBudgetRatio(), s.RetryBudgetSlack())
}

// Ready reports whether callers may be sent to this VM.
func (e *Entry) Ready() bool {
	return e.table.Load() != nil && !e.stopping.Load() && !e.isolated.Load()
}

// BeginShutdown makes the VM fail its readiness check and ask callers to leave.
func (e *Entry) BeginShutdown() {
	e.stopping.Store(true)
	close(e.stopped)
	e.log.Info("stopping", "reason", "SIGTERM")
}

// Close drops the connections to leafs, after the servers have stopped.
func (e *Entry) Close() { e.courier.Close() }
