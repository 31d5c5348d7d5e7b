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
	long = flag.Bool("long", false, "run each scenario for its full duration")
	only = flag.String("only", "", "run only scenarios whose name or sharing mode contains this text")
)

// TestScenarios runs all scenarios and checks that an owner never overbooks a server. With
// -long -v it prints the table of results of docs/design/load.md.
func TestScenarios(t *testing.T) {
	out := io.Discard
	if *long {
		out = os.Stdout
	}
	if err := PrintHeader(out); err != nil {
		t.Fatal(err)
	}
	for _, s := range scenarios() {
		if !strings.Contains(s.name+" "+s.sharing.String(), *only) {
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
		if s.sharing == Owner && r.Overbooked() > 0 {
			t.Errorf("%s: an owner overbooked a server by %d", s.name, r.Overbooked())
		}
	}
}

func urgentLoadOnly(load float64) []Option {
	return []Option{WithLoad(tier.Urgent, load), WithLoad(tier.Daily, 0), WithLoad(tier.Reports, 0), WithDuration(200 * tier.Second)}
}

func scenarios() []*Scenario {
	var out []*Scenario
	for _, load := range []float64{0.2, 0.3, 0.4} {
		add := func(name string, opts ...Option) {
			out = append(out, New(fmt.Sprintf("%s, load %.1f", name, load), append(opts, urgentLoadOnly(load)...)...))
		}
		add("no straggler, no hedge", WithHedge(false))
		add("no straggler, hedge")
		add("straggler, no hedge", WithStraggler(20), WithHedge(false))
		add("straggler, hedge", WithStraggler(20))
	}
	floodDuration := WithDuration(40 * tier.Second)
	for _, sharing := range []SharingMode{Alone, Static, Owner} {
		out = append(out,
			New("no flood", floodDuration, WithSharingMode(sharing)),
			New("reports flood", floodDuration, WithSharingMode(sharing), WithLoad(tier.Reports, 10)),
			New("urgent flood", floodDuration, WithSharingMode(sharing), WithLoad(tier.Urgent, 10)),
			New("both floods", floodDuration, WithSharingMode(sharing), WithLoad(tier.Urgent, 10), WithLoad(tier.Reports, 10)),
		)
	}
	large := WithShape(Large())
	return append(out,
		New("no flood, large set", floodDuration, large),
		New("reports flood, large set", floodDuration, large, WithLoad(tier.Reports, 10)),
		New("reports flood, large set, reports share 0.75", floodDuration, large, WithLoad(tier.Reports, 10), WithReportsShare(0.75)),
		New("urgent flood, large set", floodDuration, large, WithLoad(tier.Urgent, 10)),
		New("both floods, large set", floodDuration, large, WithLoad(tier.Urgent, 10), WithLoad(tier.Reports, 10)),
		New("reports flood, reports share 1.0", floodDuration, WithLoad(tier.Reports, 10), WithReportsShare(1)),
		New("reports flood through one VM", floodDuration, WithLoad(tier.Reports, 10), WithSingleEntryVM()),
		New("urgent flood, callers leave after 50 ms", floodDuration, WithLoad(tier.Urgent, 10), WithCallerTimeout(50)),
		New("servers shed half of their slots for 10 s of 40", floodDuration, WithShedding(1, 10*tier.Second, 20*tier.Second)),
		New("servers shed everything for 10 s of 40", floodDuration, WithShedding(2, 10*tier.Second, 20*tier.Second)),
	)
}

// figures are the measured figures for which docs/design/load.md states targets.
type figures struct {
	stragglerRatio     float64 // urgent p99 with a straggler over that without
	extraFraction      float64 // extra leaf calls per first attempt
	urgentRatio        float64 // urgent p99 in a flood of reports over that without
	urgentRefused      int     // urgent queries, in a flood of reports
	reportsUseful      float64 // fraction of all slot time, in a flood of urgent queries
	reportsPartial     int     // reports queries, in a flood of urgent queries
	urgentFloodUseful  float64 // fraction of all slot time, of all ranks, in a flood of urgent queries
	reportsFloodUseful float64 // the same in a flood of reports
	overbooked         int
}

func measureFigures(t *testing.T, seed uint64, duration tier.Millis, sharing SharingMode, hedge bool, load float64) figures {
	run := func(opts ...Option) *Result {
		r, err := Run(New("target", append([]Option{WithSeed(seed), WithDuration(duration), WithSharingMode(sharing)}, opts...)...))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	urgentOnly := append(urgentLoadOnly(load), WithDuration(4*duration), WithHedge(hedge))
	noStraggler := run(urgentOnly...)
	straggler := run(append(urgentOnly, WithStraggler(20))...)
	noFlood := run()
	reportsFlood := run(WithLoad(tier.Reports, 10))
	urgentFlood := run(WithLoad(tier.Urgent, 10), WithLoad(tier.Reports, 0.2))
	p99 := func(r *Result) float64 { return float64(r.Quantile(tier.Urgent, 0.99)) }
	return figures{
		stragglerRatio:     p99(straggler) / p99(noStraggler),
		extraFraction:      straggler.ExtraFraction(),
		urgentRatio:        p99(reportsFlood) / p99(noFlood),
		urgentRefused:      reportsFlood.Refused(tier.Urgent),
		reportsUseful:      urgentFlood.UsefulFraction(tier.Reports),
		reportsPartial:     urgentFlood.Partial(tier.Reports),
		urgentFloodUseful:  urgentFlood.TotalUsefulFraction(),
		reportsFloodUseful: reportsFlood.TotalUsefulFraction(),
		overbooked:         max(reportsFlood.Overbooked(), urgentFlood.Overbooked()),
	}
}

// missedTargets returns the names of the targets that are not met.
func (f figures) missedTargets() string {
	var out []string
	for name, ok := range map[string]bool{
		"straggler": f.stragglerRatio <= 1.5, "extra": f.extraFraction <= 0.05, "urgent-p99": f.urgentRatio <= 1.25,
		"urgent-refused": f.urgentRefused == 0, "reports-floor": f.reportsUseful >= tier.DefaultReportsFloor, "reports-finish": f.reportsPartial == 0,
		"useful": f.urgentFloodUseful >= 0.9, "overbooked": f.overbooked == 0,
	} {
		if !ok {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// TestTargets checks that the mode Owner meets the targets. To show that the check can fail,
// it also expects the mode Alone without hedging, at a load that makes calls queue, to miss
// them.
func TestTargets(t *testing.T) {
	seeds, duration := uint64(1), 10*tier.Second
	if *long {
		seeds, duration = 5, 40*tier.Second
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		measured := measureFigures(t, seed, duration, Owner, true, 0.3)
		t.Logf("seed %d: %+v", seed, measured)
		if s := measured.missedTargets(); s != "" {
			t.Errorf("seed %d missed the targets %s", seed, s)
		}
	}
	alone := measureFigures(t, 1, 5*tier.Second, Alone, false, 0.4)
	t.Logf("alone: %+v", alone)
	if s := alone.missedTargets(); s != "overbooked reports-floor straggler urgent-p99 urgent-refused" {
		t.Errorf("the mode Alone missed the targets %q", s)
	}
}

// TestRetryAfterSpreadsRetries simulates a burst of daily work of three times what the servers
// can handle. Refused queries are retried up to three times. In the end most queries are
// accepted if callers wait for the retry-after time, and about half if they retry at once.
func TestRetryAfterSpreadsRetries(t *testing.T) {
	for _, c := range []struct {
		impatient bool
		minimum   float64
		maximum   float64
	}{{false, 0.75, 1}, {true, 0, 0.6}} {
		r, err := Run(New("burst", WithDuration(10*tier.Second), WithBurst(2*tier.Second), WithRetries(3, c.impatient)))
		if err != nil {
			t.Fatal(err)
		}
		n := r.Offered(tier.Daily)
		accepted := 1 - float64(r.Refused(tier.Daily))/float64(n)
		t.Logf("impatient %v: %d queries were retried %d times, %.3f accepted, %d partial", c.impatient, n, r.Retries(tier.Daily), accepted, r.Partial(tier.Daily))
		if accepted < c.minimum || accepted > c.maximum {
			t.Errorf("impatient %v: a fraction of %.3f was accepted", c.impatient, accepted)
		}
	}
}
