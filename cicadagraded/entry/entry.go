// Package entry implements an entry VM: it accepts requests from callers, forwards
// them to the leafs (backend servers) of the route's services, and maintains a view
// of the configuration, leafs and VMs recorded in the platform's metadata store.
package entry

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/acceptor"
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
	"cicadagrade.example/tier/quarantiner"
	"cicadagrade.example/tier/refresher"
	"cicadagrade.example/tier/relayer"
	"cicadagrade.example/tier/searcher"
	"cicadagrade.example/tier/shedder"
	"cicadagrade.example/tier/storer"
)

// Entry is an entry VM: its view of the platform, its connections to leafs and other
// VMs, and the searches in progress. It is safe for concurrent use.
type Entry struct {
	settings         atomic.Pointer[platform.Settings]
	clock            *tier.Clock
	log              *eventlog.Log
	leafClient       *leafclient.Client
	acceptor         *acceptor.Acceptor // of callers' connections
	callers          http.Handler       // of callers' requests
	routeLoad        *routeLoad
	store            *platform.Store
	table            inForce
	keySecret        []byte       // of the authenticators
	storeAnsweredAt  atomic.Int64 // time of the store's answer that the view is based on
	viewOrigin       atomic.Pointer[viewOrigin]
	newer            atomic.Pointer[newerVersion] // of the configuration, that a VM has told of last
	reading          reading                      // how the reads of the view go
	turns            turns                        // how long goroutines wait for the processor
	overload         overload                     // used by RunTurnSamples only
	registered       atomic.Bool                  // this VM's registration is in the store
	storeUnreachable atomic.Bool                  // the last read of the store failed
	isolated         atomic.Bool                  // neither the store nor any other VM answers
	linksLost        atomic.Bool                  // this VM reaches no leaf
	heldByCold       int64                        // calls that logColdChanges has logged, used by RunLimitLog only
	stopping         atomic.Bool
	stoppingAt       atomic.Int64  // when it has begun to stop
	lastAnswerAt     atomic.Int64  // when the last requests are answered, if it stops
	rttFaultLogged   atomic.Bool   // a failure to measure round-trip times has been logged
	loaded           chan struct{} // closed when the VM has a view
	loadedOnce       sync.Once
	unregistered     chan struct{} // gets a value when this VM's registration has ended
	shutdown         chan struct{} // closed when the VM begins to shut down
	lastAnswers      chan struct{} // closed when the last requests are answered
	peers            *peerClients
	shareMemory      shareMemory // of other VMs' requests
	meter            *meter.Meter
	leafCalls        atomic.Int64   // calls to leafs
	extraCalls       atomic.Int64   // hedges and retries among leafCalls
	unknownKeys      atomic.Int64   // requests refused because they have no known key
	missingParts     atomic.Int64   // shard results not received by the end of their request
	crossRegionBytes atomic.Int64   // bytes of replies received from other regions
	shedRequests     atomic.Int64   // callers' requests refused because of overload
	shedShares       atomic.Int64   // shares of other VMs refused because of overload
	refusedRegions   atomic.Int64   // requests refused because no leaf is in their regions
	crashReported    chan struct{}  // gets a value when crashReports has a new one
	crashLease       storer.LeaseID // of reports in the store, used by RunCrashReports only
	crashLeaseAt     tier.Millis    // when it was granted
	crashLeaseEra    int64          // of the store when it was granted
	registeredEra    int64          // of the store when the registration's lease was granted, used by RunRegistration only
	reachMu          sync.Mutex     // serialises reachesLeafs
	unreachedAt      time.Time      // when reachesLeafs last began to find that no leaf can be reached
	background       sync.WaitGroup // calls to leafs and other VMs in progress

	// applyMu serialises the changes of the view, and applying names the source of the present one.
	applyMu  sync.Mutex
	applying string

	// mu serialises the steps of all searches and guards the state they share.
	mu        sync.Mutex
	scheduler *searcher.Scheduler
	// shedder and room decide which requests this VM takes. peerLevels are those of other VMs: of
	// requests over the shards of a set (true), and of those to one leaf.
	shedder    *shedder.Shedder
	room       *shedder.Room
	peerLevels map[bool]*shedder.Peers
	// relayer caches what was read from the store and serves it to other VMs.
	relayer *relayer.Relayer
	// refresher decides where the view is read from.
	refresher *refresher.Refresher
	// followers counts the VMs that copy this VM's view, and fleetHeard is the number of
	// VMs that the one has named from which this VM copies.
	followers  *relayer.Followers
	fleetHeard int
	// viewDiffers says that the view lacks a change that the VM has had from which this VM
	// copies, so that the whole view is needed.
	viewDiffers bool
	// crashReports are the reports on requests under which leafs have ended that are not yet
	// in the store.
	crashReports map[quarantiner.Fingerprint]quarantiner.Report
	// quotas are the organisations' accounts, as far as this VM knows them.
	quotas *quotas
	// delayEstimator estimates how long a caller has already waited for its request.
	delayEstimator *delayestimator.Estimator
	// organisationUse counts what organisations ask for and what becomes of it.
	organisationUse *organisationUse
}

// New returns an entry VM that has read nothing from the store and serves no requests yet.
func New(s *platform.Settings, clock *tier.Clock, log *eventlog.Log, arguments ...Option) (*Entry, error) {
	m, err := meter.New()
	if err != nil {
		return nil, errors.Wrap(err, "New")
	}
	e := &Entry{
		meter: m, clock: clock, log: log, leafClient: leafclient.New(leafclient.WithBodyMemory(int64(s.MemoryMB()) << 20 / bodyMemoryFraction)), peers: newPeerClients(),
		shutdown: make(chan struct{}), lastAnswers: make(chan struct{}), loaded: make(chan struct{}), unregistered: make(chan struct{}, 1),
		crashReported: make(chan struct{}, 1), crashReports: map[quarantiner.Fingerprint]quarantiner.Report{}, relayer: relayer.New(),
		followers: relayer.NewFollowers(), delayEstimator: delayestimator.New(), keySecret: newKeySecret(),
		organisationUse: newOrganisationUse(), shedder: shedder.New(), room: shedder.NewRoom(),
		peerLevels: map[bool]*shedder.Peers{false: shedder.NewPeers(), true: shedder.NewPeers()},
	}
	e.settings.Store(s)
	e.shareMemory.limit = int64(s.MemoryMB()) << 20 / shareMemoryFraction
	limits := callerLimits(s)
	e.acceptor, e.routeLoad = e.newAcceptor(limits), newRouteLoad(limits.Connections())
	e.callers = e.acceptor.Handler(http.HandlerFunc(e.serveCaller))
	e.store = platform.NewStore(s.StoreAddress(), platform.WithTimeout(storeCallTimeout), platform.WithValueBytes(s.ValueBytes()))
	vm := tier.NewVM(s.Name(), s.DataCentre(), s.PeerAddress(),
		tier.WithIncarnation(tier.Incarnation(rand.Uint64())), tier.WithVMState(tier.VMLive))
	e.quotas = newQuotas(vm, quotaBound(s))
	self := partitioner.NewMember(vm, s.Region(s.DataCentre()), s.Cores())
	var o options
	for _, set := range arguments {
		set(&o)
	}
	e.scheduler = searcher.NewScheduler(lister.New(), balancer.New(e.proximity, o.balancerOptions()...),
		budgeter.New(s.RetryBudgetRatio(), s.RetryBudgetSlack(), minBudgetVMs, o.budgeterOptions(s)...), partitioner.New(self),
		append(o.schedulerOptions(),
			searcher.WithRegions(func(dataCentre string) string { return e.settings.Load().Region(dataCentre) }),
			searcher.WithKnownRegions(func(region string) bool { return e.settings.Load().HasRegion(region) }))...)
	e.limitCold()
	options := []refresher.Option{refresher.WithSeeds(s.SeedAddresses())}
	if s.Bootstrap() {
		options = append(options, refresher.AtBootstrap())
	}
	e.refresher = refresher.New(e.scheduler.Partitioner(), options...)
	return e, errors.Wrap(e.registerGauges(), "New")
}

// bodyMemoryFraction is the part of the VM's memory, as its inverse, that large replies of
// leafs may take while they are read.
const bodyMemoryFraction = 8

// minBudgetVMs is the least number of VMs among which the fixed part of the retry budget
// is divided. It is also the number assumed until the list of VMs has been read.
const minBudgetVMs = 10

// proximity returns how close a data centre is to this VM.
func (e *Entry) proximity(dataCentre string) balancer.Distance {
	s := e.settings.Load()
	switch {
	case dataCentre == s.DataCentre():
		return balancer.SameDataCentre
	case s.Region(dataCentre) == s.Region(s.DataCentre()):
		return balancer.SameRegion
	}
	return balancer.OtherRegion
}

// Reload applies new settings. Listen addresses and the store's client keep their initial
// settings; changing them needs a restart.
func (e *Entry) Reload(s *platform.Settings) {
	e.settings.Store(s)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scheduler.Budgeter().Configure(s.RetryBudgetRatio(), s.RetryBudgetSlack())
	e.limitCold()
	e.quotas.reporter.Configure(quotaBound(s))
	e.quotas.ledger.Configure(quotaBound(s))
}

// Ready reports whether the balancer may send callers to this VM.
func (e *Entry) Ready() bool {
	return e.serves() && !e.isolated.Load() && (!e.linksLost.Load() || e.knowsOtherVM())
}

// knowsOtherVM reports whether there is another VM that may take shares.
func (e *Entry) knowsOtherVM() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.scheduler.Partitioner().HealthyPeers()) > 0
}

// Close closes the connections to leafs. The servers must have stopped.
func (e *Entry) Close() { e.leafClient.Close() }
