package reporter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// maxListed bounds the violations that are printed.
const maxListed = 20

// Print writes a result as plain tables.
func Print(w io.Writer, r *Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := printer{w: t}
	p.line("workload %s, deployment %s, seed %d", r.Workload, r.Deployment, r.Seed)
	p.line("phase\trank or stream\toffered\tanswered\tin time/s\trefused\tunknown\trejected\tfailed\tnot sent\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\textra calls\t")
	for _, f := range r.Phases {
		for _, x := range f.Ranks {
			p.row(f.Name, x)
		}
		for _, x := range f.Streams {
			p.row(f.Name, x)
		}
	}
	p.line("")
	p.added(r)
	p.reasons(r)
	p.line("set\tcalls\toverbooked\tshed\trefused\tcancelled\tat once\tconnections\tmade\trefused\t")
	for _, s := range r.Sets {
		p.line("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", s.Set, s.Calls, s.Overbooked, s.Shed, s.Refused, s.Cancelled, s.OfferedMax, s.ConnectionsMax, s.ConnectionsMade, s.ConnectionsRefused)
	}
	p.line("")
	p.line("violations: %d", r.ViolationCount)
	for _, k := range slices.Sorted(maps.Keys(r.ViolationKinds)) {
		p.line("%s: %d", k, r.ViolationKinds[k])
	}
	for _, v := range r.Violations[:min(len(r.Violations), maxListed)] {
		p.line("%s %s: %s", v.Kind, v.RequestID, v.Detail)
	}
	for _, u := range r.Unchecked {
		p.line("not checked: %s", u)
	}
	return p.flush(t)
}

// Compare writes the ratios of b to a for the ranks and streams that both
// have.
func Compare(w io.Writer, a, b *Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := printer{w: t}
	p.line("workload %s to workload %s", b.Workload, a.Workload)
	p.line("phase\trank or stream\tp50\tp99\tp99.9\tin time/s\tcoverage\tleaf calls\textra calls before\tafter\t")
	for _, f := range a.Phases {
		for _, x := range append(f.Ranks, f.Streams...) {
			if y, ok := b.find(f.Name, x.Name); ok {
				p.line("%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.4f\t%.4f\t", f.Name, x.Name, ratio(y.P50, x.P50), ratio(y.P99, x.P99), ratio(y.P999, x.P999), ratio(y.Goodput, x.Goodput), ratio(y.Coverage, x.Coverage), ratio(y.callsPerAnswer(), x.callsPerAnswer()), x.ExtraCallRatio(), y.ExtraCallRatio())
			}
		}
	}
	p.line("violations: %d before, %d after", a.ViolationCount, b.ViolationCount)
	return p.flush(t)
}

func (r *Result) find(phase, name string) (Row, bool) {
	for _, f := range r.Phases {
		if f.Name != phase {
			continue
		}
		for _, x := range append(f.Ranks, f.Streams...) {
			if x.Name == name {
				return x, true
			}
		}
	}
	return Row{}, false
}

func (r Row) callsPerAnswer() float64 { return ratio(float64(r.LeafCalls), float64(r.Answered)) }

// printer writes lines and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err != nil {
		return
	}
	_, p.err = fmt.Fprintf(p.w, strings.TrimSuffix(format, "\n")+"\n", args...)
}

func (p *printer) row(phase string, x Row) {
	p.line("%s\t%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.4f\t%.4f\t", phase, x.Name, x.Offered, x.Answered, x.Goodput, x.Refused, x.Unknown, x.Rejected, x.Failed, x.NotSent, x.P50, x.P99, x.P999, x.Coverage, x.ExtraCallRatio())
}

// added compares each stream with its bare twin.
func (p *printer) added(r *Result) {
	for _, f := range r.Phases {
		for _, x := range f.Streams {
			if y, ok := r.find(f.Name, x.Name+DirectSuffix); ok {
				p.line("%s, %s to bare: p50 %.3f, p99 %.3f, p99.9 %.3f", f.Name, x.Name, ratio(x.P50, y.P50), ratio(x.P99, y.P99), ratio(x.P999, y.P999))
			}
		}
	}
}

// reasons lists why requests of each stream were refused, not accepted or
// ended unknown.
func (p *printer) reasons(r *Result) {
	for _, f := range r.Phases {
		for _, x := range f.Streams {
			for _, name := range slices.Sorted(maps.Keys(x.Reasons)) {
				p.line("%s, %s: %s %d", f.Name, x.Name, name, x.Reasons[name])
			}
		}
	}
}

func (p *printer) flush(t *tabwriter.Writer) error {
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}
