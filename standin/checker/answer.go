// Package checker checks the answers of the query tier against the generated records:
// all records belong to one snapshot and to the caller's request, none is missing,
// duplicated or corrupted, and the stated coverage is true. It also checks the outcomes
// of bookings against the bookings that the backend servers executed.
package checker

import (
	"encoding/json"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// The possible outcomes of a request.
const (
	OutcomeAnswered = "answered"
	OutcomeRefused  = "refused-not-run"
	OutcomeUnknown  = "unknown"
)

// Answer is a response of the API for callers.
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
	Covered  []string      `json:"covered"`
	Missing  []missingBody `json:"missing"`
	Fraction float64       `json:"fraction"`
}

type missingBody struct {
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

// ParseAnswer parses the body of a response to a search or a booking.
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

// NewMergedAnswer returns the answer to a search whose caller has merged the replies of
// the backend servers itself.
func NewMergedAnswer(requestID string, rank tier.Rank, merged *tier.Answered, leafCalls int) *Answer {
	s := merged.Snapshot()
	a := &Answer{
		requestID:   requestID,
		outcome:     OutcomeAnswered,
		rank:        rank.String(),
		snapshot:    &s,
		covered:     merged.Coverage().Covered(),
		fraction:    merged.Coverage().Fraction(),
		records:     merged.Records(),
		count:       len(merged.Records()),
		digest:      tier.Digest(merged.Records()),
		leafCalls:   leafCalls,
		hasCoverage: true,
	}
	for _, m := range merged.Coverage().Missing() {
		a.missing = append(a.missing, m.Shard())
	}
	return a
}

// RequestID returns the ID of the request that the answer names.
func (a *Answer) RequestID() string { return a.requestID }

// Outcome returns OutcomeAnswered, OutcomeRefused or OutcomeUnknown.
func (a *Answer) Outcome() string { return a.outcome }

// Reason returns why the request was refused or its outcome is unknown, or the error
// code if the request was rejected as invalid.
func (a *Answer) Reason() string {
	if a.reason == "" {
		return a.errorCode
	}
	return a.reason
}

// Accepted reports whether the API accepted the request as valid.
func (a *Answer) Accepted() bool { return a.errorCode == "" }

// CoveredFraction returns the fraction of the set's shards that the answer covers.
func (a *Answer) CoveredFraction() float64 { return a.fraction }

// LeafCalls returns the number of calls to backend servers made for the request.
func (a *Answer) LeafCalls() int { return a.leafCalls }

// ExtraCalls returns how many of these calls were hedges or retries.
func (a *Answer) ExtraCalls() int { return a.extraCalls }
