package loadgenerator

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/standin/caller"
	"cicadagrade.example/standin/checker"
	"cicadagrade.example/standin/deployer"
	"cicadagrade.example/standin/leafserver"
	"cicadagrade.example/standin/recordgenerator"
	"cicadagrade.example/standin/reporter"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/queue"
)

// answerGrace is how long after its deadline a request still waits for an answer.
const answerGrace = 2 * tier.Second

// resultQueueSize is the maximum number of request results waiting to be added to the
// summary.
const resultQueueSize = 1024

// Run executes a workload on a deployment once.
type Run struct {
	workload      *Workload
	deployment    *deployer.Deployment
	directVersion tier.Version
	vms           []*caller.VMClient
	balancer      *balancer
	direct        *caller.DirectClient
	records       *recordgenerator.Generator
	checker       *checker.Checker
	bookings      *checker.BookingHistory
	backends      *leafserver.Client
	results       *queue.Queue[requestResult]
	requests      *errgroup.Group
	idPrefix      string // first part of all request IDs, different for each run
}

// Option configures a Run.
type Option func(*Run)

// WithDirectVersion sets the index version that streams marked "bare" request from the
// backend servers.
func WithDirectVersion(v tier.Version) Option { return func(r *Run) { r.directVersion = v } }

// New returns a run. The API addresses of all entry VMs must be loopback addresses.
func New(w *Workload, d *deployer.Deployment, opts ...Option) (*Run, error) {
	r := &Run{
		workload:      w,
		deployment:    d,
		records:       recordgenerator.New(d.RecordSeed()),
		bookings:      checker.NewBookingHistory(),
		backends:      leafserver.NewClient(d.BackendControlAddress()),
		balancer:      newBalancer(d),
		results:       queue.New[requestResult](resultQueueSize),
		directVersion: 1,
	}
	for _, o := range opts {
		o(r)
	}
	r.checker = checker.New(r.records, append(append([]*tier.ShardSet{}, d.Sets()...), w.laterShardMaps...)...)
	r.direct = caller.NewDirectClient(r.directVersion, d.Sets()...)
	for _, v := range d.VMs() {
		r.vms = append(r.vms, caller.NewVMClient(v.APIAddress()))
	}
	return r, errors.Wrap(r.validate(), "New")
}

func (r *Run) validate() error {
	for _, v := range r.deployment.VMs() {
		a, err := netip.ParseAddrPort(v.APIAddress())
		if err != nil || !a.Addr().IsLoopback() {
			return errors.Errorf("%s is not a loopback address", v.APIAddress())
		}
	}
	return nil
}

// Execute runs the workload to its end and returns its result.
func (r *Run) Execute(ctx context.Context) (*reporter.Result, error) {
	r.idPrefix = strconv.FormatInt(time.Now().UnixMilli(), 36)
	before, err := r.backends.Counters(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "Run.Execute")
	}
	s := newSummary(r)
	collectCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var background errgroup.Group
	background.Go(func() error { return s.collect(collectCtx, r.results) })
	for i := range r.vms {
		background.Go(func() error { return r.balancer.poll(collectCtx, i) })
	}
	err = r.send(ctx)
	stop()
	_ = background.Wait()
	if err != nil {
		return nil, errors.Wrap(err, "Run.Execute")
	}
	after, err := r.backends.Counters(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "Run.Execute")
	}
	s.addSetLoads(before, after)
	s.checkAgainstJournal(ctx)
	return s.finish(), nil
}

// send runs the phases one after the other and then waits for all requests in flight.
func (r *Run) send(ctx context.Context) error {
	r.requests = &errgroup.Group{}
	r.requests.SetLimit(r.workload.maxInFlight)
	start := time.Now()
	for i, f := range r.workload.phases {
		end := start.Add(time.Duration(f.seconds * float64(time.Second)))
		if err := r.runPhase(ctx, i, f, start, end); err != nil {
			_ = r.requests.Wait()
			return err
		}
		start = end
	}
	return r.requests.Wait()
}

// runPhase runs one sender for each stream and posts the control commands of the phase.
func (r *Run) runPhase(ctx context.Context, i int, f phase, start, end time.Time) error {
	g, ctx := errgroup.WithContext(ctx)
	for j, x := range f.streams {
		s := &sender{
			run:         r,
			phase:       i,
			streamIndex: j,
			stream:      x,
			random:      rand.New(rand.NewPCG(r.workload.seed, uint64(i)<<32|uint64(j))),
		}
		g.Go(func() error { return s.sendAll(ctx, start, end) })
	}
	g.Go(func() error { return r.postCommands(ctx, f.commands, start) })
	return g.Wait()
}

// postCommands sends each command at its time after the start of the phase.
func (r *Run) postCommands(ctx context.Context, commands []command, start time.Time) error {
	for _, c := range commands {
		if err := sleepUntil(ctx, start.Add(c.after.Duration())); err != nil {
			return err
		}
		if err := r.postCommand(ctx, c); err != nil {
			return errors.Wrap(err, "Run.postCommands")
		}
	}
	return nil
}

func sleepUntil(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
