package loadgenerator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadagrade.example/standin/checker"
	"cicadagrade.example/standin/reporter"
)

// Range of the latency histograms in microseconds, and their precision in significant
// digits.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 3
)

// requestResult is the result of one request.
type requestResult struct {
	phase      int
	stream     int
	latency    time.Duration
	booking    bool
	inTime     bool
	answer     *checker.Answer // nil if no answer came
	notSent    bool
	violations []checker.Violation
}

// tally aggregates the results of a stream or of a rank.
type tally struct {
	row       reporter.Row
	latencies *hdrhistogram.Histogram
	searches  int     // answered searches
	coverage  float64 // sum over the answered searches
}

func newTally(name string) *tally {
	return &tally{
		row:       reporter.Row{Name: name, Reasons: map[string]int{}},
		latencies: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

func (t *tally) add(r requestResult) {
	t.row.Offered++
	if r.notSent {
		t.row.NotSent++
		return
	}
	if r.answer == nil {
		t.row.Failed++
		return
	}
	t.row.LeafCalls += r.answer.LeafCalls()
	t.row.ExtraLeafCalls += r.answer.ExtraCalls()
	if r.answer.Outcome() != checker.OutcomeAnswered {
		t.row.Reasons[r.answer.Reason()]++
	}
	switch {
	case !r.answer.Accepted():
		t.row.Rejected++
	case r.answer.Outcome() == checker.OutcomeAnswered:
		t.addAnswered(r)
	case r.answer.Outcome() == checker.OutcomeRefused:
		t.row.Refused++
	default:
		t.row.Unknown++
	}
}

func (t *tally) addAnswered(r requestResult) {
	t.row.Answered++
	if !r.booking {
		t.searches++
		t.coverage += r.answer.CoveredFraction()
	}
	if r.inTime && len(r.violations) == 0 {
		t.row.InTime++
	}
	_ = t.latencies.RecordValue(min(max(r.latency.Microseconds(), lowestLatency), highestLatency))
}

func (t *tally) buildRow(seconds float64) reporter.Row {
	r := t.row
	r.P50 = t.quantile(50)
	r.P99 = t.quantile(99)
	r.P999 = t.quantile(99.9)
	r.Max = millis(t.latencies.Max())
	r.Goodput = float64(r.InTime) / seconds
	if t.searches > 0 {
		r.Coverage = t.coverage / float64(t.searches)
	}
	return r
}

func (t *tally) quantile(q float64) float64 { return millis(t.latencies.ValueAtQuantile(q)) }

func millis(micros int64) float64 { return float64(micros) / 1000 }
