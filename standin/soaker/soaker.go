// Package soaker runs the real daemons as processes on loopback, does to them
// what a plan says, and checks the deployment's promises by what callers, leafs
// and the operator see meanwhile.
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

// quiet drops what servers say of connections that end.
var quiet = stdlog.New(io.Discard, "", 0)

const (
	// readyTime is how long the deployment may take to serve at the start.
	readyTime = 30 * tier.Second
	// judgeInterval is how often the ledger is judged.
	judgeInterval = 2 * tier.Second
	// calmEnd is the load after the last fault that shows whether the deployment
	// recovers; shortEnd is that of a run which does not ask.
	calmEnd  = recoverBound + 3*tier.Second
	shortEnd = tier.Second
)

// Soak is one run.
type Soak struct {
	program string
	dir     string
	seed    uint64
	count   int
	faults  int
	over    tier.Millis
	callers int
	pause   tier.Millis
	timed   bool
	log     *log.Logger

	ledger   *ledger
	group    *errgroup.Group
	vms      []*vm
	leafs    []*leaf
	server   *storeserver.Server
	store    *platform.Store
	workers  atomic.Int64
	ready    atomic.Pointer[[]*vm]
	operator sync.Mutex
	number   int64 // of the newest configuration
	storeMu  sync.Mutex
	down     storeserver.Faults
}

// Option sets a part of a soak.
type Option func(*Soak)

// WithVMs sets the number of entry VMs.
func WithVMs(n int) Option { return func(s *Soak) { s.count = n } }

// WithFaults sets how many faults come in a time.
func WithFaults(n int, over tier.Millis) Option {
	return func(s *Soak) { s.faults, s.over = n, over }
}

// WithCallers sets how many callers ask, and the mean pause of each.
func WithCallers(n int, pause tier.Millis) Option {
	return func(s *Soak) { s.callers, s.pause = n, pause }
}

// Untimed leaves out the checks whose verdict depends on the machine's speed.
func Untimed() Option { return func(s *Soak) { s.timed = false } }

// WithLog sets where the soak says what it does.
func WithLog(l *log.Logger) Option { return func(s *Soak) { s.log = l } }

// New returns a soak of a program, cicadagraded, with a seed; its files go to a
// directory.
func New(program, dir string, seed uint64, options ...Option) *Soak {
	s := &Soak{
		program: program, dir: dir, seed: seed, count: 6, faults: 12, over: 20 * tier.Second,
		callers: 24, pause: 60, timed: true, log: log.New(io.Discard), ledger: newLedger(),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Result is what a run has shown.
type Result struct {
	Requests, Served, Refused, Failed int
	Faults                            int
	Violations                        []Violation
}

// Run plays the plan and returns what was broken.
func (s *Soak) Run(outer context.Context) (Result, error) {
	ctx, end := context.WithCancel(outer)
	defer end()
	s.group, ctx = errgroup.WithContext(ctx)
	err := s.play(ctx)
	end()
	for _, v := range s.vms {
		v.signal(syscall.SIGKILL)
	}
	if other := s.group.Wait(); err == nil {
		err = other
	}
	if outer.Err() != nil {
		err = errors.New("interrupted")
	}
	if err != nil {
		return Result{}, errors.Wrap(err, "Soak.Run")
	}
	return s.result(), nil
}

func (s *Soak) play(ctx context.Context) error {
	if err := s.build(ctx); err != nil {
		return err
	}
	if err := s.configure(ctx, "a"); err != nil {
		return err
	}
	for _, v := range s.vms {
		if err := s.start(v); err != nil {
			return err
		}
	}
	s.group.Go(func() error { return s.balance(ctx) })
	if err := s.await(ctx); err != nil {
		return err
	}
	for i := range s.callers {
		s.group.Go(func() error { return s.call(ctx, i) })
	}
	s.group.Go(func() error { return s.watch(ctx) })
	began := time.Now()
	var faults sync.WaitGroup
	for _, step := range makePlan(s.seed, s.faults, len(s.vms), len(s.leafs), s.over) {
		faults.Go(func() {
			sleep(ctx, step.at-tier.Millis(time.Since(began).Milliseconds()))
			if err := s.inflict(ctx, step); err != nil {
				s.log.Error("fault not inflicted", "fault", step.fault, "error", err)
			}
		})
	}
	faults.Wait()
	s.log.Info("the last fault is over", "after", time.Since(began).Round(time.Millisecond))
	s.ledger.update(func() { s.ledger.lastEnd = time.Now() })
	if s.timed {
		sleep(ctx, calmEnd)
	} else {
		sleep(ctx, shortEnd)
	}
	return nil
}

// await waits until all VMs are ready.
func (s *Soak) await(ctx context.Context) error {
	limit := time.Now().Add(readyTime.Duration())
	for ctx.Err() == nil {
		if r := s.ready.Load(); r != nil && len(*r) == len(s.vms) && s.settled(ctx) {
			return nil
		}
		if time.Now().After(limit) {
			return errors.New("Soak.await: the VMs are not ready")
		}
		sleep(ctx, readinessPoll)
	}
	return ctx.Err()
}

// settled gives VMs that are ready the time to hear of all leafs, and reports
// whether they still are.
func (s *Soak) settled(ctx context.Context) bool {
	sleep(ctx, 2*readinessPoll)
	return len(*s.ready.Load()) == len(s.vms)
}

// watch judges the ledger and measures memory while the load runs.
func (s *Soak) watch(ctx context.Context) error {
	said := map[Violation]bool{}
	for ctx.Err() == nil {
		sleep(ctx, judgeInterval)
		for _, v := range s.vms {
			mb := v.memory()
			s.ledger.update(func() { s.ledger.memory[v.name] = max(s.ledger.memory[v.name], mb) })
		}
		for _, v := range s.ledger.judge(s.timed) {
			if !said[v] && v.check != "recovery" {
				said[v] = true
				s.log.Warn("violation", "check", v.check, "detail", v.detail)
			}
		}
	}
	return nil
}

func (s *Soak) result() Result {
	r := Result{Violations: s.ledger.judge(s.timed), Faults: s.faults}
	for _, q := range s.ledger.order {
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

// subnet is the loopback network of a run, apart from those of other runs.
func (s *Soak) subnet() string {
	return fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, 1+s.seed%250)
}

// build sets up the store, the leafs, the VMs and the links between them.
func (s *Soak) build(ctx context.Context) error {
	s.server = storeserver.New(tier.NewClock())
	members := map[string]string{}
	seen := httptest.NewUnstartedServer(rewritten{store: s.server, links: members})
	raw := httptest.NewServer(s.server)
	s.store = platform.NewStore(raw.URL)
	seen.Start()
	s.group.Go(func() error {
		<-ctx.Done()
		s.store.Close()
		seen.CloseClientConnections()
		seen.Close()
		raw.CloseClientConnections()
		raw.Close()
		return nil
	})
	calm := relay.NewCondition(relay.CutNone, 0, false)
	for i := range s.count {
		v := &vm{
			name: fmt.Sprintf("vm-%d", i), zone: zoneNames[i%len(zoneNames)],
			address: s.subnet() + "." + strconv.Itoa(10+i),
		}
		v.dir = filepath.Join(s.dir, v.name)
		storeListen := s.subnet() + "." + strconv.Itoa(10+i) + ":8200"
		v.peerListen = s.subnet() + "." + strconv.Itoa(10+i) + ":8201"
		v.storeLink = relay.NewLink(v.name+"-store", v.name, "store", storeListen, seen.Listener.Addr().String(), calm)
		v.peerLink = relay.NewLink("peers-"+v.name, "peers", v.name, v.peerListen, v.at(peerPort), calm)
		members[v.name] = v.peerListen
		if err := os.MkdirAll(v.dir, 0o750); err != nil {
			return errors.Wrap(err, "Soak.build")
		}
		if err := s.writeSettings(v); err != nil {
			return err
		}
		for _, l := range []*relay.Link{v.storeLink, v.peerLink} {
			if err := s.join(ctx, l); err != nil {
				return err
			}
		}
		s.vms = append(s.vms, v)
	}
	return s.buildLeafs(ctx)
}

func (s *Soak) writeSettings(v *vm) error {
	store, _ := v.storeLink.Addresses()
	return errors.Wrap(os.WriteFile(filepath.Join(v.dir, "settings.toml"), []byte(v.settings(store)), 0o600), "Soak.writeSettings")
}

// buildLeafs starts two leafs of each service, in different data centres.
func (s *Soak) buildLeafs(ctx context.Context) error {
	services := []string{"orders", "ledger"}
	for i := range shardCount {
		services = append(services, "a"+strconv.Itoa(i), "b"+strconv.Itoa(i))
	}
	for i, service := range append(services, services...) {
		server := httptest.NewUnstartedServer(nil)
		target := server.Listener.Addr().String()
		server.Close() // only its free address was wanted
		f := &leaf{number: i, zone: zoneNames[(i+i/len(services))%len(zoneNames)]}
		f.listen = fmt.Sprintf("%s.200:%d", s.subnet(), 9000+i)
		f.link = relay.NewLink(fmt.Sprintf("leaf-%d", i), "vms", "leaf", f.listen, target, relay.NewCondition(relay.CutNone, 0, false))
		f.put(s.newWorker(service))
		if err := s.serve(ctx, target, f); err != nil {
			return err
		}
		if err := s.join(ctx, f.link); err != nil {
			return err
		}
		s.leafs = append(s.leafs, f)
		s.group.Go(func() error { return s.register(ctx, f) })
	}
	return nil
}
