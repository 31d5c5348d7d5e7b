// Package reporter keeps the results of load runs as JSON files, and prints
// them and comparisons of two of them as plain tables.
package reporter

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"cicadagrade.example/standin/checker"
)

// DirectSuffix ends the name of a stream that went straight to the backend
// servers, for comparison with the stream of the same name without it.
const DirectSuffix = "/bare"

// Result is the result of one run of a workload.
type Result struct {
	Workload       string              `json:"workload"`
	Deployment     string              `json:"deployment"`
	Seed           uint64              `json:"seed"`
	Phases         []Phase             `json:"phases"`
	Sets           []SetLoad           `json:"sets"`
	ViolationCount int                 `json:"violation-count"`
	ViolationKinds map[string]int      `json:"violation-kinds"`
	Violations     []checker.Violation `json:"violations"` // the first of them
	Unchecked      []string            `json:"unchecked"`  // checks that could not be made, and why
}

// Phase is the result of one phase. Requests count in the phase in which
// they were sent.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	Ranks   []Row   `json:"ranks"`
	Streams []Row   `json:"streams"`
}

// Row sums up the requests of a rank or of a stream. Latencies, of answered
// requests only, are in milliseconds from the time at which the request was
// due to be sent.
type Row struct {
	Name           string         `json:"name"`
	Offered        int            `json:"offered"`
	Answered       int            `json:"answered"`
	InTime         int            `json:"in-time"` // answered within the deadline, without violation
	Refused        int            `json:"refused"`
	Unknown        int            `json:"unknown"`
	Rejected       int            `json:"rejected"` // not accepted: 4xx with an error
	Failed         int            `json:"failed"`   // no answer came
	NotSent        int            `json:"not-sent"` // the load tool was at its own limit
	Reasons        map[string]int `json:"reasons"`
	P50            float64        `json:"p50-ms"`
	P99            float64        `json:"p99-ms"`
	P999           float64        `json:"p999-ms"`
	Max            float64        `json:"max-ms"`
	Goodput        float64        `json:"goodput"`  // in time, each second
	Coverage       float64        `json:"coverage"` // mean over answered searches
	LeafCalls      int            `json:"leaf-calls"`
	ExtraLeafCalls int            `json:"extra-leaf-calls"`
}

// ExtraCallRatio is the hedges and retries to one other leaf call.
func (r Row) ExtraCallRatio() float64 {
	return ratio(float64(r.ExtraLeafCalls), float64(r.LeafCalls-r.ExtraLeafCalls))
}

// SetLoad is what a set's backend servers counted during the run. Maxima are
// since their start.
type SetLoad struct {
	Set                string `json:"set"`
	Calls              int64  `json:"calls"`
	Overbooked         int64  `json:"overbooked"` // calls that found no slot free
	Shed               int64  `json:"shed"`
	Refused            int64  `json:"refused"`
	Cancelled          int64  `json:"cancelled"`
	OfferedMax         int64  `json:"offered-max"` // calls at once at one server
	ConnectionsMax     int64  `json:"connections-max"`
	ConnectionsMade    int64  `json:"connections-made"`
	ConnectionsRefused int64  `json:"connections-refused"`
}

// Write writes a result's file.
func Write(path string, r *Result) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "Write")
	}
	return errors.Wrap(os.WriteFile(path, append(b, '\n'), 0o644), "Write")
}

// Read reads a result's file.
func Read(path string) (*Result, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "Read")
	}
	r := &Result{}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, errors.Wrap(err, "Read "+path)
	}
	return r, nil
}

// ratio is 0 when there is nothing to divide by.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
