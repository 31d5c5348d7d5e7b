// Package checker compares answers of the query tier with what the records
// say: one snapshot, true coverage, whole, the right caller's, nothing
// doubled; and bookings with what the backend servers really ran.
package checker

import (
	"encoding/json"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// The outcomes that an answer may state.
const (
	OutcomeAnswered = "answered"
	OutcomeRefused  = "refused-not-run"
	OutcomeUnknown  = "unknown"
)

// Answer is a response of the callers' API.
type Answer struct {
	requestID   string
	outcome     string
	reason      string
	rank        string
	snapshot    *tier.Snapshot
	covered     []string
	missing     []string
	fraction    float64
	records     []tier.Record
	count       int
	digest      string
	leafCalls   int
	extraCalls  int
	receipt     string
	errorCode   string
	hasCoverage bool
}

type answerBody struct {
	RequestID      string        `json:"request-id"`
	Outcome        string        `json:"outcome"`
	Reason         string        `json:"reason"`
	Rank           string        `json:"rank"`
	Snapshot       *snapshotBody `json:"snapshot"`
	Coverage       *coverageBody `json:"coverage"`
	Records        []recordBody  `json:"records"`
	Count          int           `json:"count"`
	Digest         string        `json:"digest"`
	LeafCalls      int           `json:"leaf-calls"`
	ExtraLeafCalls int           `json:"extra-leaf-calls"`
	Receipt        string        `json:"receipt"`
	Error          *errorBody    `json:"error"`
}

type snapshotBody struct {
	Epoch   tier.Epoch   `json:"epoch"`
	Version tier.Version `json:"version"`
}

type coverageBody struct {
	Covered  []string   `json:"covered"`
	Missing  []missBody `json:"missing"`
	Fraction float64    `json:"fraction"`
}

type missBody struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

type recordBody struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

type errorBody struct {
	Code string `json:"code"`
}

// ParseAnswer reads the body of a response to a search or a booking.
func ParseAnswer(body []byte) (*Answer, error) {
	var b answerBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, errors.Wrap(err, "ParseAnswer")
	}
	a := &Answer{
		requestID:  b.RequestID,
		outcome:    b.Outcome,
		reason:     b.Reason,
		rank:       b.Rank,
		count:      b.Count,
		digest:     b.Digest,
		leafCalls:  b.LeafCalls,
		extraCalls: b.ExtraLeafCalls,
		receipt:    b.Receipt,
	}
	if b.Snapshot != nil {
		s := tier.NewSnapshot(b.Snapshot.Epoch, b.Snapshot.Version)
		a.snapshot = &s
	}
	if b.Coverage != nil {
		a.readCoverage(b.Coverage)
	}
	if b.Error != nil {
		a.errorCode = b.Error.Code
	}
	for _, r := range b.Records {
		a.records = append(a.records, tier.NewRecord(r.Key, r.Value))
	}
	return a, nil
}

func (a *Answer) readCoverage(c *coverageBody) {
	a.hasCoverage = true
	a.covered = c.Covered
	a.fraction = c.Fraction
	for _, m := range c.Missing {
		a.missing = append(a.missing, m.Shard)
	}
}

// NewMergedAnswer returns an answer that a caller merged itself.
func NewMergedAnswer(requestID string, rank tier.Rank, o *tier.Answered, leafCalls int) *Answer {
	s := o.Snapshot()
	a := &Answer{
		requestID:   requestID,
		outcome:     OutcomeAnswered,
		rank:        rank.String(),
		snapshot:    &s,
		covered:     o.Coverage().Covered(),
		fraction:    o.Coverage().Fraction(),
		records:     o.Records(),
		count:       len(o.Records()),
		digest:      tier.Digest(o.Records()),
		leafCalls:   leafCalls,
		hasCoverage: true,
	}
	for _, m := range o.Coverage().Missing() {
		a.missing = append(a.missing, m.Shard())
	}
	return a
}

// RequestID is the request that it names.
func (a *Answer) RequestID() string { return a.requestID }

// Outcome is answered, refused-not-run or unknown.
func (a *Answer) Outcome() string { return a.outcome }

// Reason says why it was refused or is unknown, or why it was not accepted.
func (a *Answer) Reason() string {
	if a.reason == "" {
		return a.errorCode
	}
	return a.reason
}

// Accepted reports whether the request was a valid one.
func (a *Answer) Accepted() bool { return a.errorCode == "" }

// CoveredFraction is the covered part of the set.
func (a *Answer) CoveredFraction() float64 { return a.fraction }

// LeafCalls is how many calls to backend servers it took.
func (a *Answer) LeafCalls() int { return a.leafCalls }

// ExtraCalls is how many of them were hedges or retries.
func (a *Answer) ExtraCalls() int { return a.extraCalls }
