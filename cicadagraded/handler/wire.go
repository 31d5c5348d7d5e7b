package handler

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// searchRequest is the body of POST /v1/search.
type searchRequest struct {
	RequestID  string       `json:"request-id"`
	Profile    string       `json:"profile"`
	Set        string       `json:"set"`
	Term       string       `json:"term"`
	DeadlineMs *tier.Millis `json:"deadline-ms"`
}

// bookRequest is the body of POST /v1/book.
type bookRequest struct {
	RequestID      string       `json:"request-id"`
	Profile        string       `json:"profile"`
	Set            string       `json:"set"`
	RecordKey      string       `json:"record-key"`
	Body           string       `json:"body"`
	IdempotencyKey string       `json:"idempotency-key"`
	FirstSending   bool         `json:"first-sending"`
	DeadlineMs     *tier.Millis `json:"deadline-ms"`
}

// commonFields are the fields that every response to a search or booking has.
type commonFields struct {
	RequestID    string      `json:"request-id"`
	Outcome      string      `json:"outcome"`
	Reason       string      `json:"reason,omitempty"`
	Rank         string      `json:"rank,omitempty"`
	VM           string      `json:"vm"`
	RetryAfterMs tier.Millis `json:"retry-after-ms,omitempty"`
}

// searchResponse is the response to a search.
type searchResponse struct {
	commonFields
	Snapshot       *snapshot `json:"snapshot,omitempty"`
	Coverage       *coverage `json:"coverage,omitempty"`
	Records        []record  `json:"records"`
	Count          int       `json:"count"`
	Digest         string    `json:"digest"`
	LeafCalls      int       `json:"leaf-calls"`
	ExtraLeafCalls int       `json:"extra-leaf-calls"`
}

// bookResponse is the response to a booking.
type bookResponse struct {
	commonFields
	Snapshot       *snapshot `json:"snapshot,omitempty"`
	Coverage       *coverage `json:"coverage,omitempty"`
	IdempotencyKey string    `json:"idempotency-key,omitempty"`
	Receipt        string    `json:"receipt,omitempty"`
	Repeated       bool      `json:"repeated"`
}

type snapshot struct {
	Epoch   tier.Epoch   `json:"epoch"`
	Version tier.Version `json:"version"`
}

type coverage struct {
	Covered  []string       `json:"covered"`
	Missing  []missingShard `json:"missing"`
	Fraction float64        `json:"fraction"`
}

type missingShard struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

type record struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// errorResponse is the response to a request that was not accepted. This VM has not run it.
type errorResponse struct {
	commonFields
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code    string       `json:"code"`
	Message string       `json:"message"`
	Fields  []fieldError `json:"fields,omitempty"`
}

type fieldError struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// decode decodes exactly one JSON object without unknown fields. The error is a *malformedError.
func decode(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return errors.WithStack(&malformedError{cause: err})
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.WithStack(&malformedError{cause: errors.New("data after the object")})
	}
	return nil
}

// malformedError reports a body that is not the expected JSON object.
type malformedError struct{ cause error }

func (e *malformedError) Error() string { return "malformed body: " + e.cause.Error() }

func (e *malformedError) Unwrap() error { return e.cause }

func wireSnapshot(s tier.Snapshot) *snapshot {
	return &snapshot{Epoch: s.Epoch(), Version: s.Version()}
}

func wireCoverage(c tier.Coverage) *coverage {
	w := &coverage{Covered: c.Covered(), Missing: []missingShard{}, Fraction: c.Fraction()}
	if w.Covered == nil {
		w.Covered = []string{}
	}
	for _, m := range c.Missing() {
		w.Missing = append(w.Missing, missingShard{Shard: m.Shard(), Reason: string(m.Reason())})
	}
	return w
}

func wireRecords(records []tier.Record) []record {
	w := make([]record, 0, len(records))
	for _, r := range records {
		w = append(w, record{Key: r.Key(), Value: r.Value()})
	}
	return w
}
