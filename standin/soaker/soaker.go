// Package soaker is a randomised fault-injection test of a whole deployment. It runs
// the real daemons as processes on loopback, injects the faults of a seeded plan under
// load, and checks the deployment's guarantees against what callers, leafs and the
// operator observed.
package soaker

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/platform"
	"cicadagrade.example/standin/relay"
	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier"
)

// discardLog drops the HTTP servers' messages about closed connections.
var discardLog = stdlog.New(io.Discard, "", 0)

const (
	// startTimeout is how long all VMs may take to become ready at the start.
	startTimeout = 30 * tier.Second
	// checkInterval is how often the checks run over the history.
	checkInterval = 2 * tier.Second
	// recoveryPeriod is how long the load goes on after the last fault, so that the
	// recovery check has requests to look at; untimedEndPeriod replaces it in a run
	// without timed checks.
	recoveryPeriod   = recoveryBound + 3*tier.Second
	untimedEndPeriod = tier.Second
)

// Soak is one run of the test.
type Soak struct {
	program     string
	earlier     string // program of the first processes, or ""
	dir         string
	seed        uint64
	vmCount     int
	faultCount  int
	faultPeriod tier.Millis
	callerCount int
	meanPause   tier.Millis
	drillCount  int
	timed       bool
	log         *log.Logger

	history             *history
	group               *errgroup.Group
	vms                 []*vm
	leafs               []*leaf
	storeServer         *storeserver.Server
	store               *platform.Store
	instanceCount       atomic.Int64
	readyVMs            atomic.Pointer[[]*vm]
	configurationMu     sync.Mutex
	configurationNumber int64 // version of the newest configuration
	newestConfiguration []byte
	quiet               atomic.Bool // leafs only renew their leases
	drillMu             sync.Mutex  // held while a data centre is evacuated, and while the store returns from a copy
	storeMu             sync.Mutex
	storeFaults         storeserver.Faults
}

// Option configures a Soak.
type Option func(*Soak)

// WithVMs sets the number of entry VMs.
func WithVMs(n int) Option { return func(s *Soak) { s.vmCount = n } }

// WithFaults sets the number of faults and the period over which they start.
func WithFaults(n int, period tier.Millis) Option {
	return func(s *Soak) { s.faultCount, s.faultPeriod = n, period }
}

// WithCallers sets the number of callers, and the mean pause of each between requests.
func WithCallers(n int, pause tier.Millis) Option {
	return func(s *Soak) { s.callerCount, s.meanPause = n, pause }
}

// FromEarlier starts the VMs with the program of an earlier build. Processes that take the place of others
// run the new one, so that both run side by side, as during an upgrade.
func FromEarlier(program string) Option { return func(s *Soak) { s.earlier = program } }

// WithDrills sets how often the store returns from a copy after the last fault, each time in a calm time.
func WithDrills(n int) Option { return func(s *Soak) { s.drillCount = n } }

// Untimed leaves out the checks whose verdict depends on the machine's speed.
func Untimed() Option { return func(s *Soak) { s.timed = false } }

// WithLog sets the logger of the run's progress.
func WithLog(l *log.Logger) Option { return func(s *Soak) { s.log = l } }

// New returns a soak that runs program, the cicadagraded daemon, with a plan drawn from
// seed. Settings and logs of the VMs are written below dir.
func New(program, dir string, seed uint64, options ...Option) *Soak {
	s := &Soak{
		program: program, dir: dir, seed: seed, vmCount: 6, faultCount: 12, faultPeriod: 20 * tier.Second,
		callerCount: 24, meanPause: 60, drillCount: 3, timed: true, log: log.New(io.Discard), history: newHistory(),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Result sums up a run: requests by outcome, faults, and violated guarantees.
type Result struct {
	Requests, Served, Refused, Failed int
	Faults                            int
	Violations                        []Violation
}

// Run executes the plan and returns the violations found.
func (s *Soak) Run(outer context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	s.group, ctx = errgroup.WithContext(ctx)
	err := s.execute(ctx)
	cancel()
	for _, v := range s.vms {
		v.signal(syscall.SIGKILL)
	}
	if groupErr := s.group.Wait(); err == nil {
		err = groupErr
	}
	if outer.Err() != nil {
		err = errors.New("interrupted")
	}
	if err != nil {
		return Result{}, errors.Wrap(err, "Soak.Run")
	}
	return s.result(), nil
}

// execute starts the deployment and its load, injects the plan's faults, and keeps the
// load up for a while after the last one.
func (s *Soak) execute(ctx context.Context) error {
	if err := s.setUp(ctx); err != nil {
		return err
	}
	if err := s.putConfiguration(ctx, "a"); err != nil {
		return err
	}
	for _, v := range s.vms {
		if err := s.startProcess(v); err != nil {
			return err
		}
	}
	s.group.Go(func() error { return s.pollReadiness(ctx) })
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	for i := range s.callerCount {
		s.group.Go(func() error { return s.runCaller(ctx, i) })
	}
	s.group.Go(func() error { return s.monitor(ctx) })
	start := time.Now()
	plan := makePlan(s.seed, s.faultCount, len(s.vms), len(s.leafs), s.faultPeriod)
	s.injectAll(ctx, append(plan, makeOperations(s.seed, 1, len(s.leafs), s.faultPeriod)...))
	s.log.Info("the last fault is over", "after", time.Since(start).Round(time.Millisecond))
	s.history.update(func() { s.history.lastFaultEnd = time.Now() })
	drills := makeDrills(s.seed, s.drillCount, len(s.vms), len(s.leafs))
	if !s.timed {
		s.runDrills(ctx, drills)
		sleep(ctx, untimedEndPeriod)
		return nil
	}
	var end sync.WaitGroup
	end.Go(func() { sleep(ctx, recoveryPeriod) })
	s.injectAll(ctx, makeOperations(s.seed, 2, len(s.leafs), calmPeriod))
	end.Wait()
	s.runDrills(ctx, drills)
	return nil
}

// injectAll injects the faults of a plan, and waits until all have ended.
func (s *Soak) injectAll(ctx context.Context, plan []step) {
	start := time.Now()
	var injections sync.WaitGroup
	for _, t := range plan {
		injections.Go(func() {
			sleep(ctx, t.at-tier.Millis(time.Since(start).Milliseconds()))
			if err := s.inject(ctx, t); err != nil {
				s.log.Error("fault not inflicted", "fault", t.fault, "error", err)
			}
		})
	}
	injections.Wait()
}

// awaitReady waits until all VMs are ready.
func (s *Soak) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout.Duration())
	for ctx.Err() == nil {
		if r := s.readyVMs.Load(); r != nil && len(*r) == len(s.vms) && s.stillReady(ctx) {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("Soak.awaitReady: the VMs did not become ready in time")
		}
		sleep(ctx, readinessInterval)
	}
	return ctx.Err()
}

// stillReady gives ready VMs time to discover all leafs, and reports whether all VMs are
// ready after that.
func (s *Soak) stillReady(ctx context.Context) bool {
	sleep(ctx, 2*readinessInterval)
	return len(*s.readyVMs.Load()) == len(s.vms)
}

// monitor runs the checks and samples the VMs' memory while the load runs. It leaves
// out the recovery check, which only holds at the end of the run.
func (s *Soak) monitor(ctx context.Context) error {
	reported := map[Violation]bool{}
	for ctx.Err() == nil {
		sleep(ctx, checkInterval)
		for _, v := range s.vms {
			mb := v.peakMB()
			s.history.update(func() { s.history.peakMemoryMB[v.name] = max(s.history.peakMemoryMB[v.name], mb) })
		}
		for _, v := range s.history.runChecks(s.timed) {
			if !reported[v] && v.check != "recovery" {
				reported[v] = true
				s.log.Warn("violation", "check", v.check, "detail", v.detail)
			}
		}
	}
	return nil
}

func (s *Soak) result() Result {
	s.log.Info("judged", s.history.restrictionCoverage()...)
	r := Result{Violations: s.history.runChecks(s.timed), Faults: s.faultCount}
	for _, q := range s.history.sent {
		r.Requests++
		switch {
		case q.served():
			r.Served++
		case q.status == 429 || q.status == 503:
			r.Refused++
		default:
			r.Failed++
		}
	}
	return r
}

// subnet is the loopback network of this run. It depends on the process ID and the seed,
// so that runs at the same time do not collide.
func (s *Soak) subnet() string {
	return fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, 1+s.seed%250)
}

// setUp creates the store, the leafs, the VMs and the links between them.
func (s *Soak) setUp(ctx context.Context) error {
	s.storeServer = storeserver.New(tier.NewClock())
	peerAddresses := map[string]string{}
	vmStoreServer := httptest.NewUnstartedServer(addressRewriter{store: s.storeServer, links: peerAddresses})
	directServer := httptest.NewServer(s.storeServer)
	s.store = platform.NewStore(directServer.URL)
	vmStoreServer.Start()
	s.group.Go(func() error {
		<-ctx.Done()
		s.store.Close()
		vmStoreServer.CloseClientConnections()
		vmStoreServer.Close()
		directServer.CloseClientConnections()
		directServer.Close()
		return nil
	})
	normal := relay.NewCondition(relay.CutNone, 0, false)
	for i := range s.vmCount {
		v := &vm{
			name: fmt.Sprintf("vm-%d", i), zone: zoneNames[i%len(zoneNames)],
			address: s.subnet() + "." + strconv.Itoa(10+i),
		}
		v.dir = filepath.Join(s.dir, v.name)
		storeListen := s.subnet() + "." + strconv.Itoa(10+i) + ":8200"
		v.peerListen = s.subnet() + "." + strconv.Itoa(10+i) + ":8201"
		v.storeLink = relay.NewLink(v.name+"-store", v.name, "store", storeListen, vmStoreServer.Listener.Addr().String(), normal)
		v.peerLink = relay.NewLink("peers-"+v.name, "peers", v.name, v.peerListen, v.endpoint(peerPort), normal)
		peerAddresses[v.name] = v.peerListen
		if err := os.MkdirAll(v.dir, 0o750); err != nil {
			return errors.Wrap(err, "Soak.setUp")
		}
		if err := s.writeSettings(v); err != nil {
			return err
		}
		for _, l := range []*relay.Link{v.storeLink, v.peerLink} {
			if err := s.serveLink(ctx, l); err != nil {
				return err
			}
		}
		s.vms = append(s.vms, v)
	}
	return s.setUpLeafs(ctx)
}

func (s *Soak) writeSettings(v *vm) error {
	storeAddress, _ := v.storeLink.Addresses()
	return errors.Wrap(os.WriteFile(filepath.Join(v.dir, "settings.toml"), []byte(v.settings(storeAddress)), 0o600), "Soak.writeSettings")
}

// setUpLeafs starts two leafs of each service, in different data centres.
func (s *Soak) setUpLeafs(ctx context.Context) error {
	services := []string{"orders", "ledger"}
	for i := range shardCount {
		services = append(services, "a"+strconv.Itoa(i), "b"+strconv.Itoa(i))
	}
	for i, service := range append(services, services...) {
		server := httptest.NewUnstartedServer(nil)
		target := server.Listener.Addr().String()
		server.Close() // only a free address was needed
		f := &leaf{number: i, zone: zoneNames[(i+i/len(services))%len(zoneNames)]}
		f.listen = fmt.Sprintf("%s.200:%d", s.subnet(), 9000+i)
		f.link = relay.NewLink(fmt.Sprintf("leaf-%d", i), "vms", "leaf", f.listen, target, relay.NewCondition(relay.CutNone, 0, false))
		f.replaceInstance(s.newInstance(f.zone, service))
		if err := s.serve(ctx, target, f); err != nil {
			return err
		}
		if err := s.serveLink(ctx, f.link); err != nil {
			return err
		}
		s.leafs = append(s.leafs, f)
		s.group.Go(func() error { return s.keepRegistered(ctx, f) })
	}
	return nil
}
