package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/acceptor"
	"cicadagrade.example/cicadagraded/booker"
	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/cicadagraded/exchanger"
	"cicadagrade.example/cicadagraded/handler"
	"cicadagrade.example/cicadagraded/locator"
	"cicadagrade.example/cicadagraded/messenger"
	"cicadagrade.example/cicadagraded/meter"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/cicadagraded/watcher"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/gossiper"
	"cicadagrade.example/tier/queue"
	"cicadagrade.example/tier/replicator"
)

// daemon holds the components of one entry VM.
type daemon struct {
	settings    *settings
	logger      *log.Logger
	clock       *tier.Clock
	self        tier.VM
	inflight    *inflight
	meter       *meter.Meter
	gossip      *exchanger.Exchanger
	seeder      *seeder
	storeHealth *storeHealth
	config      *watcher.Watcher
	booker      *booker.Booker
	locator     *locator.Locator
	registry    *owner.Registry
	control     *control
	peerClient  *messenger.Client
	callers     *acceptor.Acceptor
	apiServer   *http.Server
	peerServer  *http.Server
	replacedBy  *queue.Queue[tier.VM] // the VM that took this VM's name, if any
	ctx         context.Context
	cancel      context.CancelFunc
}

// Limits on the gossip that a VM sends: the average rate, and the burst that is allowed after
// a quiet time, such as while VMs are replaced one after the other.
const (
	gossipBytesPerSecond = 2400
	gossipBurstBytes     = 192 << 10
)

// newLogger returns a logger that writes one line of key=value pairs per event.
func newLogger(w io.Writer, s *settings) *log.Logger {
	l := log.NewWithOptions(w, log.Options{
		Level:           s.logLevel,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
	return l.With("self", s.name)
}

// newDaemon builds the components of a VM without starting any of them.
func newDaemon(ctx context.Context, s *settings, clock *tier.Clock, logger *log.Logger) (*daemon, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &daemon{
		settings: s, logger: logger, clock: clock, ctx: ctx, cancel: cancel,
		inflight:   newInflight(s.maxRequests),
		locator:    locator.New(clock),
		replacedBy: queue.New[tier.VM](1),
		self: tier.NewVM(s.name, s.dataCentre, s.peerAdvertise,
			tier.WithIncarnation(tier.Incarnation(clock.WallTime())), tier.WithVMState(tier.VMJoining)),
	}
	for _, build := range []func() error{d.buildControl, d.buildServers} {
		if err := build(); err != nil {
			cancel()
			return nil, errors.Wrap(err, "newDaemon")
		}
	}
	return d, nil
}

// buildControl creates gossip, the configuration watcher, the booker and the owner registry.
func (d *daemon) buildControl() error {
	changes := queue.New[gossiper.Action](changeBufferSize)
	gossip, err := exchanger.New(d.self, d.clock,
		exchanger.WithChanges(changes),
		exchanger.WithAddresses(d.settings.dialOverrides),
		exchanger.WithGossip(
			gossiper.WithSeed(uint64(d.self.Incarnation())),
			gossiper.WithSendRate(gossipBytesPerSecond, gossipBurstBytes)))
	if err != nil {
		return errors.Wrap(err, "buildControl")
	}
	gossip.SetSeeds(d.settings.seeds)
	d.gossip = gossip
	d.storeHealth = &storeHealth{clock: d.clock, logger: d.logger}
	store := platform.NewStore(d.settings.dialAddress(d.settings.storeAddress), platform.WithObserver(d.storeHealth.observe))
	d.seeder = &seeder{
		store: store, key: d.settings.vmListPrefix + d.self.DataCentre(),
		seeds: d.settings.seeds, gossip: gossip, logger: d.logger,
	}
	d.config = watcher.New(d.self, store, d.clock,
		watcher.WithPeers(d.peerService),
		watcher.WithPublisher(gossip.Publish),
		watcher.WithAlertHandler(d.logAlert),
		watcher.WithReplicatorOptions(replicator.WithSeeds(d.otherSeedCount())))
	d.booker = booker.New(store, d.self.Name(), d.self.Incarnation(), d.clock, booker.WithLive(d.isLive))
	d.control = &control{
		self: d.self, logger: d.logger, gossip: gossip, changes: changes,
		config: d.config, locator: d.locator, clock: d.clock, onJoin: d.join, replacedBy: d.replacedBy,
	}
	id := owner.NewIdentity(d.self.Name(), d.self.DataCentre(), d.self.Incarnation())
	d.registry = owner.NewRegistry(d.ctx, id, d.clock, d.locator.Set, d.control)
	d.control.registry = d.registry
	return nil
}

// peerService returns the peer service of a VM that gossip does not believe dead.
func (d *daemon) peerService(vm string) (watcher.Peer, bool) {
	for _, m := range d.gossip.Members() {
		if m.Name() == vm && m.State() != tier.VMDead {
			return d.peerClient.Service(m.Address()), true
		}
	}
	return nil, false
}

// isLive reports whether an incarnation of a VM is believed to be running. Until gossip has
// heard from peers, unknown VMs count as running.
func (d *daemon) isLive(vm string, incarnation tier.Incarnation) bool {
	for _, m := range d.gossip.Members() {
		if m.Name() == vm {
			return m.Incarnation() == incarnation && m.State() != tier.VMDead
		}
	}
	return !d.gossip.Fresh()
}

// otherSeedCount returns the number of seeds other than this VM.
func (d *daemon) otherSeedCount() int {
	n := 0
	for _, a := range d.settings.seeds {
		if a != d.self.Address() {
			n++
		}
	}
	return n
}

// logAlert logs a configuration problem that needs an operator.
func (d *daemon) logAlert(a replicator.Alert) {
	d.logger.Warn("configuration", "trouble", a.Kind(), "key", a.Served().Key(), "served", a.Served().Revision(), "seen", a.Offered().Revision(), "source", a.Source())
}

// buildServers creates the coordinator of searches and bookings, and the HTTP servers for
// callers and for other VMs.
func (d *daemon) buildServers() error {
	m, err := meter.New()
	if err != nil {
		return errors.Wrap(err, "buildServers")
	}
	d.meter = m
	d.callers = d.newAcceptor()
	if err := d.registerGauges(); err != nil {
		return errors.Wrap(err, "buildServers")
	}
	claims := &bookingClaims{booker: d.booker}
	forwarded := &forwardedBookings{claims: claims, registry: d.registry}
	server := messenger.NewServer(d.clock, d.registry, forwarded, d.gossip, d.config, d.inflight.beginPeer)
	d.peerClient = messenger.NewClient(d.self, server, d.clock, messenger.WithDialAddress(d.settings.dialAddress), messenger.WithThresholdHandler(d.locator.UpdateThreshold))
	coord := coordinator.New(d.self.DataCentre(), d.clock, d.locator, d.peerClient, claims)
	h := handler.New(d.self.Name(), d.clock, d.config, coord, d.inflight, d,
		handler.WithMetrics(m.Handler()),
		handler.WithRequestObserver(m.RecordRequest),
		handler.WithMaxBodyBytes(int64(d.settings.maxBodyBytes)))
	d.apiServer = &http.Server{
		Addr: d.settings.apiAddress, Handler: d.callers.Handler(h.Routes()),
		ConnContext: d.callers.ConnContext, ConnState: d.callers.ConnState,
		ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	d.peerServer = &http.Server{Addr: d.settings.peerAddress, Handler: server.Handler(), Protocols: protocols, ReadHeaderTimeout: headerTimeout.Duration()}
	return nil
}

// newAcceptor returns the acceptor of callers' connections.
func (d *daemon) newAcceptor() *acceptor.Acceptor {
	descriptors := d.settings.descriptors
	if descriptors == 0 {
		descriptors = acceptor.DescriptorLimit()
	}
	return acceptor.New(d.clock, acceptor.LimitsFor(int64(d.settings.memoryMB)<<20, descriptors))
}

// Timeouts of the servers' connections.
const (
	headerTimeout = 5 * tier.Second // for reading a request's header
	idleTimeout   = 2 * tier.Minute // between two requests of a caller
)

// run runs all components until the graceful shutdown is finished or one of them fails.
func (d *daemon) run() error {
	defer d.cancel()
	debug.SetMemoryLimit(int64(float64(d.settings.memoryMB) * memoryLimitRatio * (1 << 20)))
	var g run.Group
	d.addTask(&g, d.gossip.Run)
	d.addTask(&g, d.seeder.Run)
	d.addTask(&g, d.config.Run)
	d.addTask(&g, d.booker.Run)
	d.addTask(&g, d.control.Run)
	d.addServer(&g, d.apiServer, d.callers.Listener)
	d.addServer(&g, d.peerServer, func(l net.Listener) net.Listener { return l })
	s := &stopper{
		logger: d.logger, clock: d.clock, gossip: d.gossip, inflight: d.inflight, booker: d.booker,
		servers:     []*http.Server{d.apiServer, d.peerServer},
		replacedBy:  d.replacedBy,
		balancerLag: d.settings.balancerLag, stopLimit: d.settings.stopLimit,
	}
	d.addTask(&g, s.Run)
	d.logger.Info("started", "data-centre", d.self.DataCentre(), "api", d.settings.apiAddress, "peer", d.settings.peerAddress, "incarnation", d.self.Incarnation())
	err := g.Run()
	d.cancel()
	if waitErr := d.registry.Wait(); err == nil {
		err = waitErr
	}
	return errors.Wrap(err, "daemon.run")
}

// join makes the VM live, so that it owns sets and accepts callers' requests, unless a
// shutdown has begun.
func (d *daemon) join() {
	if d.inflight.markReady() {
		d.gossip.SetState(tier.VMLive)
		d.logger.Info("joined")
	}
}

// addTask adds a function to the run group; it has to return when its context ends.
func (d *daemon) addTask(g *run.Group, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(d.ctx)
	g.Add(func() error { return task(ctx) }, func(error) { cancel() })
}

// addServer adds an HTTP server to the run group, which accepts connections from what wrap returns. The server's
// function returns only when the group ends: a graceful shutdown closes the server before that.
func (d *daemon) addServer(g *run.Group, h *http.Server, wrap func(net.Listener) net.Listener) {
	stopped := make(chan struct{})
	g.Add(func() error {
		l, err := net.Listen("tcp", h.Addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		err = h.Serve(wrap(l))
		if errors.Is(err, http.ErrServerClosed) {
			<-stopped
			return nil
		}
		return errors.Wrap(err, "listen")
	}, func(error) {
		close(stopped)
		_ = h.Close()
	})
}
