package simulator

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"testing"

	"cicadagrade.example/tier"
)

var (
	long = flag.Bool("long", false, "run each scenario for its whole time")
	only = flag.String("only", "", "run only scenarios whose name or way contains this")
)

// TestMeasureLoad prints the table of docs/design/load.md with -long -v. It
// also checks what holds in every scenario.
func TestMeasureLoad(t *testing.T) {
	out := io.Discard
	if *long {
		out = os.Stdout
	}
	if err := PrintHeader(out); err != nil {
		t.Fatal(err)
	}
	for _, s := range scenarios() {
		if !strings.Contains(s.name+" "+s.way.String(), *only) {
			continue
		}
		if !*long {
			s.duration = 2 * tier.Second
		}
		r, err := Run(s)
		if err != nil {
			t.Fatal(err)
		}
		if err := r.Print(out); err != nil {
			t.Fatal(err)
		}
		if s.way == Owner && r.Overbooked() > 0 {
			t.Errorf("%s: an owner overbooked a server by %d", s.name, r.Overbooked())
		}
	}
}

func urgentOnly(load float64) []Option {
	return []Option{WithLoad(tier.Urgent, load), WithLoad(tier.Daily, 0), WithLoad(tier.Reports, 0), WithDuration(200 * tier.Second)}
}

func scenarios() []*Scenario {
	var out []*Scenario
	for _, load := range []float64{0.2, 0.3, 0.4} {
		o := func(name string, opts ...Option) {
			out = append(out, New(fmt.Sprintf("%s, load %.1f", name, load), append(opts, urgentOnly(load)...)...))
		}
		o("no straggler, no hedge", WithHedge(false))
		o("no straggler, hedge")
		o("straggler, no hedge", WithStraggler(20), WithHedge(false))
		o("straggler, hedge", WithStraggler(20))
	}
	flood := WithDuration(40 * tier.Second)
	for _, w := range []SharingMode{Alone, Static, Owner} {
		out = append(out,
			New("no flood", flood, WithSharingMode(w)),
			New("reports flood", flood, WithSharingMode(w), WithLoad(tier.Reports, 10)),
			New("urgent flood", flood, WithSharingMode(w), WithLoad(tier.Urgent, 10)),
			New("both floods", flood, WithSharingMode(w), WithLoad(tier.Urgent, 10), WithLoad(tier.Reports, 10)),
		)
	}
	large := WithShape(Large())
	return append(out,
		New("no flood, large set", flood, large),
		New("reports flood, large set", flood, large, WithLoad(tier.Reports, 10)),
		New("reports flood, large set, reports share 0.75", flood, large, WithLoad(tier.Reports, 10), WithReportsShare(0.75)),
		New("urgent flood, large set", flood, large, WithLoad(tier.Urgent, 10)),
		New("both floods, large set", flood, large, WithLoad(tier.Urgent, 10), WithLoad(tier.Reports, 10)),
		New("reports flood, reports share 1.0", flood, WithLoad(tier.Reports, 10), WithReportsShare(1)),
		New("reports flood through one VM", flood, WithLoad(tier.Reports, 10), WithSingleEntryVM()),
		New("urgent flood, callers leave after 50 ms", flood, WithLoad(tier.Urgent, 10), WithCallerTimeout(50)),
		New("servers shed half of their slots for 10 s of 40", flood, WithShedding(1, 10*tier.Second, 20*tier.Second)),
		New("servers shed everything for 10 s of 40", flood, WithShedding(2, 10*tier.Second, 20*tier.Second)),
	)
}

// targets are the figures that load.md promises.
type targets struct {
	stragglerRatio float64 // p99 with a straggler over p99 without
	extra          float64 // extra leaf calls for each first one
	urgentRatio    float64 // urgent p99 in a reports flood over that without
	urgentRefused  int     // in a reports flood
	reportsUseful  float64 // in an urgent flood
	reportsPartial int     // in an urgent flood
	floodUseful    float64 // of all slot time, in an urgent flood
	reportsFlood   float64 // of all slot time that is useful in a reports flood
	overbooked     int
}

func measureTargets(t *testing.T, seed uint64, span tier.Millis, way SharingMode, hedge bool, load float64) targets {
	run := func(opts ...Option) *Result {
		r, err := Run(New("target", append([]Option{WithSeed(seed), WithDuration(span), WithSharingMode(way)}, opts...)...))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	alone := append(urgentOnly(load), WithDuration(4*span), WithHedge(hedge))
	calm := run(alone...)
	straggler := run(append(alone, WithStraggler(20))...)
	base := run()
	reports := run(WithLoad(tier.Reports, 10))
	urgent := run(WithLoad(tier.Urgent, 10), WithLoad(tier.Reports, 0.2))
	p99 := func(r *Result) float64 { return float64(r.Quantile(tier.Urgent, 0.99)) }
	return targets{
		stragglerRatio: p99(straggler) / p99(calm),
		extra:          straggler.ExtraFraction(),
		urgentRatio:    p99(reports) / p99(base),
		urgentRefused:  reports.Refused(tier.Urgent),
		reportsUseful:  urgent.UsefulFraction(tier.Reports),
		reportsPartial: urgent.Partial(tier.Reports),
		floodUseful:    urgent.TotalUsefulFraction(),
		reportsFlood:   reports.TotalUsefulFraction(),
		overbooked:     max(reports.Overbooked(), urgent.Overbooked()),
	}
}

// missed names the targets that are not met.
func (m targets) missed() string {
	var out []string
	for name, ok := range map[string]bool{
		"straggler": m.stragglerRatio <= 1.5, "extra": m.extra <= 0.05, "urgent-p99": m.urgentRatio <= 1.25,
		"urgent-refused": m.urgentRefused == 0, "reports-floor": m.reportsUseful >= tier.DefaultReportsFloor, "reports-finish": m.reportsPartial == 0,
		"useful": m.floodUseful >= 0.9, "overbooked": m.overbooked == 0,
	} {
		if !ok {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// TestTargets checks an owner, and sees the check object to VMs by
// themselves and to a straggler without hedges at a load that queues.
func TestTargets(t *testing.T) {
	seeds, span := uint64(1), 10*tier.Second
	if *long {
		seeds, span = 5, 40*tier.Second
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		m := measureTargets(t, seed, span, Owner, true, 0.3)
		t.Logf("seed %d: %+v", seed, m)
		if s := m.missed(); s != "" {
			t.Errorf("seed %d missed %s", seed, s)
		}
	}
	broken := measureTargets(t, 1, 5*tier.Second, Alone, false, 0.4)
	t.Logf("alone: %+v", broken)
	if s := broken.missed(); s != "overbooked reports-floor straggler urgent-p99 urgent-refused" {
		t.Errorf("VMs by themselves missed %q", s)
	}
}

// TestRetryAfterMeansSomething lets a burst of daily work come, three times
// what the servers take. Those refused come again at most three times: most
// are accepted if they wait as told, and half if they don't.
func TestRetryAfterMeansSomething(t *testing.T) {
	for _, c := range []struct {
		impatient bool
		least     float64
		most      float64
	}{{false, 0.75, 1}, {true, 0, 0.6}} {
		r, err := Run(New("burst", WithDuration(10*tier.Second), WithBurst(2*tier.Second), WithRetries(3, c.impatient)))
		if err != nil {
			t.Fatal(err)
		}
		n := r.Offered(tier.Daily)
		accepted := 1 - float64(r.Refused(tier.Daily))/float64(n)
		t.Logf("impatient %v: %d queries came again %d times, %.3f accepted, %d partial", c.impatient, n, r.Retries(tier.Daily), accepted, r.Partial(tier.Daily))
		if accepted < c.least || accepted > c.most {
			t.Errorf("impatient %v: %.3f accepted", c.impatient, accepted)
		}
	}
}
