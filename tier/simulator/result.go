package simulator

import (
	"fmt"
	"io"
	"slices"

	"cicadagrade.example/tier"
)

// rankResult is what the queries of a rank got.
type rankResult struct {
	offered   int
	refused   int
	atFront   int // of those refused
	gone      int // their callers went away first
	returned  int // times that a refused query came again
	partial   int // ended at the deadline without some shards
	latencies []tier.Millis
	useful    tier.Millis // slot time of complete answers
}

// Result is the outcome of a scenario.
type Result struct {
	scenario   *Scenario
	ranks      [len(tier.Ranks)]rankResult
	calls      int
	extra      int
	shed       int // calls that a server shed
	overbooked int
}

func newResult(s *Scenario) *Result { return &Result{scenario: s} }

// Offered is how many queries of a rank arrived.
func (r *Result) Offered(k tier.Rank) int { return r.ranks[k].offered }

// Refused is how many of them were refused before any leaf call.
func (r *Result) Refused(k tier.Rank) int { return r.ranks[k].refused }

// Retries is how many times refused queries came again.
func (r *Result) Retries(k tier.Rank) int { return r.ranks[k].returned }

// Partial is how many of them were accepted but not answered whole in time.
func (r *Result) Partial(k tier.Rank) int { return r.ranks[k].partial }

// Quantile is a latency quantile of a rank's complete answers.
func (r *Result) Quantile(k tier.Rank, q float64) tier.Millis {
	l := slices.Sorted(slices.Values(r.ranks[k].latencies))
	if len(l) == 0 {
		return 0
	}
	return l[min(len(l)-1, int(q*float64(len(l))))]
}

// UsefulFraction is the slot time spent on a rank's complete answers, as a fraction
// of all slot time while queries arrived.
func (r *Result) UsefulFraction(k tier.Rank) float64 {
	return float64(r.ranks[k].useful) / (float64(r.scenario.duration) * float64(r.scenario.shape.all()))
}

// TotalUsefulFraction is the useful fraction of all ranks.
func (r *Result) TotalUsefulFraction() float64 {
	sum := 0.0
	for _, k := range tier.Ranks {
		sum += r.UsefulFraction(k)
	}
	return sum
}

// ExtraFraction is the hedges and retries for each first attempt.
func (r *Result) ExtraFraction() float64 {
	return float64(r.extra) / float64(max(1, r.calls-r.extra))
}

// Overbooked is the most calls that a server held beyond its slots.
func (r *Result) Overbooked() int { return r.overbooked }

// PrintHeader writes the head of a Markdown table of results.
func PrintHeader(w io.Writer) error {
	_, err := fmt.Fprint(w, "| scenario | way | rank | offered | refused (at front) | callers gone | partial | p50 | p99 | p99.9 | useful | all useful | extra calls | shed calls | over-booked |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	return err
}

// Print writes a row for each rank that asked for anything.
func (r *Result) Print(w io.Writer) error {
	for _, k := range tier.Ranks {
		v := &r.ranks[k]
		if v.offered == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "| %s | %s | %s | %d | %d (%d) | %d | %d | %d | %d | %d | %.1f%% | %.1f%% | %.1f%% | %d | %d |\n",
			r.scenario.name, r.scenario.way, k, v.offered, v.refused, v.atFront, v.gone, v.partial,
			r.Quantile(k, 0.5), r.Quantile(k, 0.99), r.Quantile(k, 0.999),
			100*r.UsefulFraction(k), 100*r.TotalUsefulFraction(), 100*r.ExtraFraction(), r.shed, r.overbooked); err != nil {
			return err
		}
	}
	return nil
}
