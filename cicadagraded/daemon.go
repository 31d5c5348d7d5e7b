package main

import (
	"context"
	"io"
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"

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

// daemon is one entry VM with its duties.
type daemon struct {
	settings *settings
	logger   *log.Logger
	clock    *tier.Clock
	self     tier.VM
	inflight *inflight
	meter    *meter.Meter
	gossip   *exchanger.Exchanger
	seeder   *seeder
	store    *storeHealth
	config   *watcher.Watcher
	booker   *booker.Booker
	locator  *locator.Locator
	registry *owner.Registry
	control  *control
	client   *messenger.Client
	api      *http.Server
	peers    *http.Server
	replaced *queue.Queue[tier.VM] // who took this VM's name, for the planned stop
	ctx      context.Context
	cancel   context.CancelFunc
}

// Bytes of gossip that a VM sends: a second on average, and at once when it has
// been quiet, as when VMs are replaced one after the other.
const (
	gossipRate  = 2400
	gossipBurst = 192 << 10
)

// newLogger writes one line of key=value pairs for each event.
func newLogger(w io.Writer, s *settings) *log.Logger {
	l := log.NewWithOptions(w, log.Options{
		Level:           s.logLevel,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
	return l.With("self", s.name)
}

// newDaemon puts the parts of a VM together; nothing runs yet.
func newDaemon(ctx context.Context, s *settings, clock *tier.Clock, logger *log.Logger) (*daemon, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &daemon{
		settings: s, logger: logger, clock: clock, ctx: ctx, cancel: cancel,
		inflight: newInflight(s.maxRequests),
		locator:  locator.New(clock),
		replaced: queue.New[tier.VM](1),
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

// buildControl makes gossip, configuration, claims and owners.
func (d *daemon) buildControl() error {
	changes := queue.New[gossiper.Action](changesSize)
	gossip, err := exchanger.New(d.self, d.clock,
		exchanger.WithChanges(changes),
		exchanger.WithAddresses(d.settings.dial),
		exchanger.WithGossip(
			gossiper.WithSeed(uint64(d.self.Incarnation())),
			gossiper.WithSendRate(gossipRate, gossipBurst)))
	if err != nil {
		return errors.Wrap(err, "buildControl")
	}
	gossip.SetSeeds(d.settings.seeds)
	d.gossip = gossip
	d.store = &storeHealth{clock: d.clock, logger: d.logger}
	store := platform.NewStore(d.settings.dialled(d.settings.storeAddress), platform.WithObserver(d.store.observe))
	d.seeder = &seeder{
		store: store, key: d.settings.vmListPrefix + d.self.DataCentre(),
		seeds: d.settings.seeds, gossip: gossip, logger: d.logger,
	}
	d.config = watcher.New(d.self, store, d.clock,
		watcher.WithPeers(d.peer),
		watcher.WithPublisher(gossip.Publish),
		watcher.WithAlertHandler(d.warn),
		watcher.WithReplicatorOptions(replicator.WithSeeds(d.otherSeeds())))
	d.booker = booker.New(store, d.self.Name(), d.self.Incarnation(), d.clock, booker.WithLive(d.live))
	d.control = &control{
		self: d.self, logger: d.logger, gossip: gossip, changes: changes,
		config: d.config, locator: d.locator, clock: d.clock, join: d.join, replaced: d.replaced,
	}
	id := owner.NewIdentity(d.self.Name(), d.self.DataCentre(), d.self.Incarnation())
	d.registry = owner.NewRegistry(d.ctx, id, d.clock, d.locator.Set, d.control)
	d.control.registry = d.registry
	return nil
}

// peer finds the peer service of a VM.
func (d *daemon) peer(vm string) (watcher.Peer, bool) {
	for _, m := range d.gossip.Members() {
		if m.Name() == vm && m.State() != tier.VMDead {
			return d.client.Service(m.Address()), true
		}
	}
	return nil, false
}

// live reports whether a life of a VM is believed to go on. A VM that has not
// heard from its peers yet believes so of all.
func (d *daemon) live(vm string, i tier.Incarnation) bool {
	for _, m := range d.gossip.Members() {
		if m.Name() == vm {
			return m.Incarnation() == i && m.State() != tier.VMDead
		}
	}
	return !d.gossip.Fresh()
}

// otherSeeds counts the seeds that are not this VM.
func (d *daemon) otherSeeds() int {
	n := 0
	for _, a := range d.settings.seeds {
		if a != d.self.Address() {
			n++
		}
	}
	return n
}

// warn logs a trouble of the configuration.
func (d *daemon) warn(f replicator.Alert) {
	d.logger.Warn("configuration", "trouble", f.Kind(), "key", f.Served().Key(), "served", f.Served().Revision(), "seen", f.Offered().Revision(), "source", f.Source())
}

// buildServers makes the front and the servers of callers and peers.
func (d *daemon) buildServers() error {
	m, err := meter.New()
	if err != nil {
		return errors.Wrap(err, "buildServers")
	}
	d.meter = m
	if err := d.observe(); err != nil {
		return errors.Wrap(err, "buildServers")
	}
	c := &claims{booker: d.booker}
	f := &forwarded{claims: c, registry: d.registry}
	server := messenger.NewServer(d.clock, d.registry, f, d.gossip, d.config, d.inflight.enterPeer)
	d.client = messenger.NewClient(d.self, server, d.clock, messenger.WithDialAddress(d.settings.dialled), messenger.WithThresholdHandler(d.locator.UpdateThreshold))
	front := coordinator.New(d.self.DataCentre(), d.clock, d.locator, d.client, c)
	h := handler.New(d.self.Name(), d.clock, d.config, front, d.inflight, d,
		handler.WithMetrics(m.Handler()),
		handler.WithRequestObserver(m.RecordRequest),
		handler.WithMaxBodyBytes(int64(d.settings.maxBodyBytes)))
	d.api = &http.Server{Addr: d.settings.apiAddress, Handler: h.Routes(), ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration()}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	d.peers = &http.Server{Addr: d.settings.peerAddress, Handler: server.Handler(), Protocols: protocols, ReadHeaderTimeout: headerTimeout.Duration()}
	return nil
}

// Bounds of the servers' connections.
const (
	headerTimeout = 5 * tier.Second // to read a request's header
	idleTimeout   = 2 * tier.Minute // between a caller's requests
)

// run runs every duty until the planned stop is over or one of them fails.
func (d *daemon) run() error {
	defer d.cancel()
	var g run.Group
	d.addDuty(&g, d.gossip.Run)
	d.addDuty(&g, d.seeder.Run)
	d.addDuty(&g, d.config.Run)
	d.addDuty(&g, d.booker.Run)
	d.addDuty(&g, d.control.Run)
	d.addServer(&g, d.api)
	d.addServer(&g, d.peers)
	s := &stopper{
		logger: d.logger, clock: d.clock, gossip: d.gossip, inflight: d.inflight, booker: d.booker,
		servers:     []*http.Server{d.api, d.peers},
		replaced:    d.replaced,
		balancerLag: d.settings.balancerLag, stopLimit: d.settings.stopLimit,
	}
	d.addDuty(&g, s.Run)
	d.logger.Info("started", "data-centre", d.self.DataCentre(), "api", d.settings.apiAddress, "peer", d.settings.peerAddress, "incarnation", d.self.Incarnation())
	err := g.Run()
	d.cancel()
	if waitErr := d.registry.Wait(); err == nil {
		err = waitErr
	}
	return errors.Wrap(err, "daemon.run")
}

// join has the VM own sets and take callers' requests, unless a planned stop
// has begun.
func (d *daemon) join() {
	if d.inflight.join() {
		d.gossip.SetState(tier.VMLive)
		d.logger.Info("joined")
	}
}

// addDuty adds a duty that ends when its context does.
func (d *daemon) addDuty(g *run.Group, duty func(context.Context) error) {
	ctx, cancel := context.WithCancel(d.ctx)
	g.Add(func() error { return duty(ctx) }, func(error) { cancel() })
}

// addServer adds a server; the planned stop shuts it down first.
func (d *daemon) addServer(g *run.Group, h *http.Server) {
	stopped := make(chan struct{})
	g.Add(func() error {
		err := h.ListenAndServe()
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
