package loadgenerator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadagrade.example/standin/checker"
	"cicadagrade.example/standin/reporter"
)

// Range and precision of the latency histograms, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 60_000_000
	latencyDigits  = 3
)

// ended is the end of one request.
type ended struct {
	phase      int
	stream     int
	latency    time.Duration
	booking    bool
	inTime     bool
	answer     *checker.Answer // nil when none came
	notSent    bool
	violations []checker.Violation
}

// tally sums up the requests of a stream or of a rank.
type tally struct {
	row       reporter.Row
	latencies *hdrhistogram.Histogram
	searches  int // answered ones
	coverage  float64
}

func newTally(name string) *tally {
	return &tally{
		row:       reporter.Row{Name: name, Reasons: map[string]int{}},
		latencies: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

func (t *tally) add(e ended) {
	t.row.Offered++
	if e.notSent {
		t.row.NotSent++
		return
	}
	if e.answer == nil {
		t.row.Failed++
		return
	}
	t.row.LeafCalls += e.answer.LeafCalls()
	t.row.ExtraLeafCalls += e.answer.ExtraCalls()
	if e.answer.Outcome() != checker.OutcomeAnswered {
		t.row.Reasons[e.answer.Reason()]++
	}
	switch {
	case !e.answer.Accepted():
		t.row.Rejected++
	case e.answer.Outcome() == checker.OutcomeAnswered:
		t.answered(e)
	case e.answer.Outcome() == checker.OutcomeRefused:
		t.row.Refused++
	default:
		t.row.Unknown++
	}
}

func (t *tally) answered(e ended) {
	t.row.Answered++
	if !e.booking {
		t.searches++
		t.coverage += e.answer.CoveredFraction()
	}
	if e.inTime && len(e.violations) == 0 {
		t.row.InTime++
	}
	_ = t.latencies.RecordValue(min(max(e.latency.Microseconds(), lowestLatency), highestLatency))
}

func (t *tally) finish(seconds float64) reporter.Row {
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
