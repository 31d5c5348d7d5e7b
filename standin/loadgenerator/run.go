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

// grace is how long after its deadline an answer is still awaited.
const grace = 2 * tier.Second

// ringSize bounds the ended requests that wait to be summed up.
const ringSize = 1024

// Run is one run of a workload on a deployment.
type Run struct {
	workload   *Workload
	deployment *deployer.Deployment
	version    tier.Version
	vms        []*caller.VMClient
	balancer   *balancer
	straight   *caller.DirectClient
	records    *recordgenerator.Generator
	checker    *checker.Checker
	ledger     *checker.BookingHistory
	backends   *leafserver.Client
	ends       *queue.Queue[ended]
	requests   *errgroup.Group
	started    string
}

// Option sets one field of a run.
type Option func(*Run)

// WithDirectVersion sets the index version that bare streams ask for.
func WithDirectVersion(v tier.Version) Option { return func(r *Run) { r.version = v } }

// New returns a run. All its addresses must be loopback ones.
func New(w *Workload, d *deployer.Deployment, opts ...Option) (*Run, error) {
	r := &Run{
		workload:   w,
		deployment: d,
		records:    recordgenerator.New(d.RecordSeed()),
		ledger:     checker.NewBookingHistory(),
		backends:   leafserver.NewClient(d.BackendControlAddress()),
		balancer:   newBalancer(d),
		ends:       queue.New[ended](ringSize),
		version:    1,
	}
	for _, o := range opts {
		o(r)
	}
	r.checker = checker.New(r.records, append(append([]*tier.ShardSet{}, d.Sets()...), w.maps...)...)
	r.straight = caller.NewDirectClient(r.version, d.Sets()...)
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
	r.started = strconv.FormatInt(time.Now().UnixMilli(), 36)
	before, err := r.backends.Counters(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "Run.Go")
	}
	s := newSummary(r)
	collected, stop := context.WithCancel(context.Background())
	defer stop()
	var collecting errgroup.Group
	collecting.Go(func() error { return s.collect(collected, r.ends) })
	for i := range r.vms {
		collecting.Go(func() error { return r.balancer.watch(collected, i) })
	}
	err = r.send(ctx)
	stop()
	_ = collecting.Wait()
	if err != nil {
		return nil, errors.Wrap(err, "Run.Go")
	}
	after, err := r.backends.Counters(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "Run.Go")
	}
	s.sets(before, after)
	s.compareWithJournal(ctx)
	return s.result(), nil
}

// send runs the phases one after the other, then waits for every request.
func (r *Run) send(ctx context.Context) error {
	r.requests = &errgroup.Group{}
	r.requests.SetLimit(r.workload.maxInFlight)
	start := time.Now()
	for i, f := range r.workload.phases {
		end := start.Add(time.Duration(f.seconds * float64(time.Second)))
		if err := r.phase(ctx, i, f, start, end); err != nil {
			_ = r.requests.Wait()
			return err
		}
		start = end
	}
	return r.requests.Wait()
}

// phase runs a duty for each stream and one for the orders.
func (r *Run) phase(ctx context.Context, i int, f phase, start, end time.Time) error {
	g, ctx := errgroup.WithContext(ctx)
	for j, s := range f.streams {
		d := &duty{
			run:    r,
			phase:  i,
			index:  j,
			stream: s,
			random: rand.New(rand.NewPCG(r.workload.seed, uint64(i)<<32|uint64(j))),
		}
		g.Go(func() error { return d.send(ctx, start, end) })
	}
	g.Go(func() error { return r.orders(ctx, f.orders, start) })
	return g.Wait()
}

func (r *Run) orders(ctx context.Context, list []order, start time.Time) error {
	for _, o := range list {
		if err := sleepUntil(ctx, start.Add(o.after.Duration())); err != nil {
			return err
		}
		if err := r.post(ctx, o); err != nil {
			return errors.Wrap(err, "Run.orders")
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
