package measurer

import (
	"flag"
	"fmt"
	"os"
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
	if err := PrintHeader(os.Stdout); err != nil {
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
		if err := r.Print(os.Stdout); err != nil {
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
	for _, w := range []Way{Alone, Static, Owner} {
		out = append(out,
			New("no flood", flood, WithWay(w)),
			New("reports flood", flood, WithWay(w), WithLoad(tier.Reports, 10)),
			New("urgent flood", flood, WithWay(w), WithLoad(tier.Urgent, 10)),
			New("both floods", flood, WithWay(w), WithLoad(tier.Urgent, 10), WithLoad(tier.Reports, 10)),
		)
	}
	return append(out,
		New("reports flood, reports share 1.0", flood, WithLoad(tier.Reports, 10), WithReportsShare(1)),
		New("reports flood through one VM", flood, WithLoad(tier.Reports, 10), WithOneEntry()),
		New("urgent flood, callers leave after 50 ms", flood, WithLoad(tier.Urgent, 10), WithPatience(50)),
		New("servers shed half of their slots for 10 s of 40", flood, WithShedding(10*tier.Second, 20*tier.Second)),
	)
}
