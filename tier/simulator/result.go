package simulator

import (
	"fmt"
	"io"
	"slices"

	"cicadagrade.example/tier"
)

// rankResult counts what became of the queries of one rank.
type rankResult struct {
	offered        int
	refused        int
	refusedByFront int // those of refused that the front refused
	abandoned      int // their callers left before the end
	retries        int // of refused queries
	partial        int // without a reply of some shard at the deadline
	latencies      []tier.Millis
	usefulSlotTime tier.Millis // slot time spent on complete answers
}

// Result holds the figures that one run of a scenario gave.
type Result struct {
	scenario   *Scenario
	ranks      [len(tier.Ranks)]rankResult
	calls      int
	extraCalls int
	shedCalls  int // leaf calls that a server shed
	overbooked int // most calls held at a server beyond its slots
}

func newResult(s *Scenario) *Result { return &Result{scenario: s} }

// Offered is how many queries of a rank arrived.
func (r *Result) Offered(k tier.Rank) int { return r.ranks[k].offered }

// Refused is how many queries of a rank were refused for good, without a leaf call.
func (r *Result) Refused(k tier.Rank) int { return r.ranks[k].refused }

// Retries is how often refused queries of a rank were retried.
func (r *Result) Retries(k tier.Rank) int { return r.ranks[k].retries }

// Partial is how many queries of a rank were admitted, but answered without some shards.
func (r *Result) Partial(k tier.Rank) int { return r.ranks[k].partial }

// Quantile is the q-quantile of the latencies of a rank's complete answers, or 0 if there are
// none.
func (r *Result) Quantile(k tier.Rank, q float64) tier.Millis {
	l := slices.Sorted(slices.Values(r.ranks[k].latencies))
	if len(l) == 0 {
		return 0
	}
	return l[min(len(l)-1, int(q*float64(len(l))))]
}

// UsefulFraction is the slot time spent on a rank's complete answers, as a fraction of the
// slot time of all servers while queries arrived.
func (r *Result) UsefulFraction(k tier.Rank) float64 {
	return float64(r.ranks[k].usefulSlotTime) / (float64(r.scenario.duration) * float64(r.scenario.shape.totalSlots()))
}

// TotalUsefulFraction is the sum of the useful fractions of all ranks.
func (r *Result) TotalUsefulFraction() float64 {
	sum := 0.0
	for _, k := range tier.Ranks {
		sum += r.UsefulFraction(k)
	}
	return sum
}

// ExtraFraction is the number of hedged and retried leaf calls per first attempt.
func (r *Result) ExtraFraction() float64 {
	return float64(r.extraCalls) / float64(max(1, r.calls-r.extraCalls))
}

// Overbooked is the largest number of calls that a server held beyond its slots.
func (r *Result) Overbooked() int { return r.overbooked }

// PrintHeader writes the header of a Markdown table of results.
func PrintHeader(w io.Writer) error {
	_, err := fmt.Fprint(w, "| scenario | sharing mode | rank | offered | refused (at front) | callers gone | partial | p50 | p99 | p99.9 | useful | all useful | extra calls | shed calls | over-booked |\n"+
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	return err
}

// Print writes a table row for each rank with any queries.
func (r *Result) Print(w io.Writer) error {
	for _, k := range tier.Ranks {
		v := &r.ranks[k]
		if v.offered == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "| %s | %s | %s | %d | %d (%d) | %d | %d | %d | %d | %d | %.1f%% | %.1f%% | %.1f%% | %d | %d |\n",
			r.scenario.name, r.scenario.sharing, k, v.offered, v.refused, v.refusedByFront, v.abandoned, v.partial,
			r.Quantile(k, 0.5), r.Quantile(k, 0.99), r.Quantile(k, 0.999),
			100*r.UsefulFraction(k), 100*r.TotalUsefulFraction(), 100*r.ExtraFraction(), r.shedCalls, r.overbooked); err != nil {
			return err
		}
	}
	return nil
}
