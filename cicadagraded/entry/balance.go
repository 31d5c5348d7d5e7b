package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/budgeter"
	"cicadagrade.example/tier/searcher"
)

// Balance is how the leaf of a call is chosen.
type Balance string

// Values of Balance.
const (
	// LatencyBalance picks the leaf with the least expected latency.
	LatencyBalance Balance = "latency"
	// EvenBalance draws a leaf by what the leafs can do.
	EvenBalance Balance = "even"
)

// Valid reports whether the value is known.
func (b Balance) Valid() bool { return b == LatencyBalance || b == EvenBalance }

// options are what the arguments of New set.
type options struct{ balance Balance }

// Option changes an Entry.
type Option func(*options)

// WithBalance sets how leafs are chosen. Without it, it is LatencyBalance.
func WithBalance(b Balance) Option { return func(o *options) { o.balance = b } }

func (o options) balancerOptions() []balancer.Option {
	if o.balance == EvenBalance {
		return []balancer.Option{balancer.WithEvenLoad()}
	}
	return nil
}

func (o options) budgeterOptions(s *platform.Settings) []budgeter.Option {
	if o.balance == EvenBalance {
		return []budgeter.Option{budgeter.WithRefill(s.RetryBudgetWindow())}
	}
	return nil
}

func (o options) schedulerOptions() []searcher.SchedulerOption {
	if o.balance == EvenBalance {
		return []searcher.SchedulerOption{searcher.WithEvenLoad()}
	}
	return nil
}

// leafDelays are the leafs that other VMs should know to be slow, or to have recovered.
func (e *Entry) leafDelays() []*gatherv1.LeafDelay {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*gatherv1.LeafDelay
	for _, t := range e.scheduler.Balancer().DelayReports(e.clock.Now()) {
		list = append(list, &gatherv1.LeafDelay{Leaf: t.LeafID(), DelayMs: t.DelayMs(), AgeMs: int64(t.Age()), Slow: t.Slow()})
	}
	return list
}

// hearLeafDelays handles the same of another VM.
func (e *Entry) hearLeafDelays(list []*gatherv1.LeafDelay) {
	if len(list) == 0 {
		return
	}
	reports := make([]balancer.DelayReport, 0, len(list))
	for _, d := range list {
		reports = append(reports, balancer.NewDelayReport(d.GetLeaf(), d.GetDelayMs(), d.GetSlow(), tier.Millis(d.GetAgeMs())))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scheduler.Balancer().HeardDelayReports(e.clock.Now(), reports)
}

// unevenInterval is the interval of the log lines on services whose leafs differ.
const unevenInterval = tier.Second

// RunUnevenLog logs the services to whose slowest leaf this VM sends calls although another one
// is much faster, until ctx ends.
func (e *Entry) RunUnevenLog(ctx context.Context) error {
	return every(ctx, unevenInterval, func() {
		e.mu.Lock()
		list := e.scheduler.Balancer().TakeUneven(e.clock.Now())
		e.mu.Unlock()
		if len(list) > 0 {
			e.log.RateLimitedInfo("leaf-load-uneven", "services", len(list), "leafs", describeUneven(list))
		}
	})
}

// maxUneven is how many services one line names.
const maxUneven = 4

// describeUneven lists the services with the most calls to their slowest leaf, as
// SERVICE:SLOWEST=CALLS/LATENCY,FASTEST=CALLS/LATENCY, with latencies in milliseconds.
func describeUneven(list []balancer.Uneven) string {
	slices.SortFunc(list, func(a, b balancer.Uneven) int {
		return cmp.Or(cmp.Compare(b.Slowest().Calls(), a.Slowest().Calls()), cmp.Compare(a.Service(), b.Service()))
	})
	var texts []string
	for _, u := range list[:min(len(list), maxUneven)] {
		texts = append(texts, fmt.Sprintf("%s:%s,%s", u.Service(), describeUse(u.Slowest()), describeUse(u.Fastest())))
	}
	return strings.Join(texts, " ")
}

func describeUse(u balancer.LeafUse) string {
	return fmt.Sprintf("%s=%d/%.0f", u.ID(), u.Calls(), u.LatencyMs())
}
