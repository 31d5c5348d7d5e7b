package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/cicadagrade/requester"
	"cicadagrade.example/tier"
)

const searchHelp = `Sends a search to one entry VM for the records of a shard set that match a term,
under a profile. It prints the records with the snapshot that they come from and
the shards that they cover.

The response is verified before it is printed: missing or altered records are an
error. The exit code is 0 if the request was answered, 3 if it was refused and
not run, and 4 if it ran without an answer, for instance with too little coverage.

  cicadagrade search --vm 127.0.0.1:7070 --profile gate --set portao grower-17`

// clientGrace is how long after a request's deadline the client times out.
const clientGrace = 2 * time.Second

// requestFlags holds the flags that search and book share.
type requestFlags struct {
	vm         string
	profile    string
	set        string
	requestID  string
	output     string
	deadlineMs int64
}

func (f *requestFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.vm, "vm", "127.0.0.1:7070", "API address of an entry VM")
	c.Flags().StringVar(&f.profile, "profile", "", "name of the profile")
	c.Flags().StringVar(&f.set, "set", "", "name of the shard set")
	c.Flags().StringVar(&f.requestID, "request-id", "", "request id; empty: a generated one")
	c.Flags().Int64Var(&f.deadlineMs, "deadline-ms", 0, "deadline in milliseconds; 0: the profile's")
	c.Flags().StringVar(&f.output, "output", "text", "text or json")
	_ = c.MarkFlagRequired("profile")
	_ = c.MarkFlagRequired("set")
}

// deadline returns the request's deadline field, nil if no deadline was given.
func (f *requestFlags) deadline() *int64 {
	if f.deadlineMs == 0 {
		return nil
	}
	return &f.deadlineMs
}

// id returns the request id, and generates one if none was given.
func (f *requestFlags) id() string {
	if f.requestID == "" {
		f.requestID = fmt.Sprintf("cli-%d", time.Now().UnixNano())
	}
	return f.requestID
}

// searchBody is the body of POST /v1/search.
type searchBody struct {
	RequestID  string `json:"request-id"`
	Profile    string `json:"profile"`
	Set        string `json:"set"`
	Term       string `json:"term"`
	DeadlineMs *int64 `json:"deadline-ms,omitempty"`
}

// responseBody holds the fields of a response that search and book read.
type responseBody struct {
	RequestID    string `json:"request-id"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Rank         string `json:"rank"`
	VM           string `json:"vm"`
	RetryAfterMs int64  `json:"retry-after-ms"`
	Snapshot     *struct {
		Epoch   uint64 `json:"epoch"`
		Version uint64 `json:"version"`
	} `json:"snapshot"`
	Coverage *struct {
		Covered []string `json:"covered"`
		Missing []struct {
			Shard  string `json:"shard"`
			Reason string `json:"reason"`
		} `json:"missing"`
		Fraction float64 `json:"fraction"`
	} `json:"coverage"`
	Records []struct {
		Key   string `json:"key"`
		Value string `json:"value"`
	} `json:"records"`
	Count          int    `json:"count"`
	Digest         string `json:"digest"`
	LeafCalls      int    `json:"leaf-calls"`
	ExtraLeafCalls int    `json:"extra-leaf-calls"`
	IdempotencyKey string `json:"idempotency-key"`
	Receipt        string `json:"receipt"`
	Repeated       bool   `json:"repeated"`
	Error          *struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

func searchCommand() *cobra.Command {
	f := &requestFlags{}
	c := &cobra.Command{
		Use:   "search TERM",
		Short: "Search a shard set",
		Long:  searchHelp,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			body := searchBody{RequestID: f.id(), Profile: f.profile, Set: f.set, Term: args[0], DeadlineMs: f.deadline()}
			return f.run(c, "/v1/search", body, printSearch)
		},
	}
	f.register(c)
	return c
}

// run sends a request and prints its response. It returns an error for an outcome other than
// answered.
func (f *requestFlags) run(c *cobra.Command, path string, body any, show func(io.Writer, *responseBody)) error {
	timeout := clientGrace + time.Duration(f.deadlineMs)*time.Millisecond
	if f.deadlineMs == 0 {
		timeout += tier.MaxDeadlineAllowed.Duration()
	}
	ctx, cancel := context.WithTimeout(c.Context(), timeout)
	defer cancel()
	response, err := requester.New(f.vm).Post(ctx, path, body)
	if err != nil {
		return errors.Wrap(err, "no response")
	}
	b := &responseBody{}
	if err := response.Decode(b); err != nil {
		return errors.Wrap(err, "malformed response")
	}
	if b.RequestID != f.requestID && b.Error == nil {
		return errors.Errorf("the response is for request %q, not %q", b.RequestID, f.requestID)
	}
	if path == "/v1/search" && b.Error == nil {
		if err := requester.CheckComplete(b.records(), b.Count, b.Digest); err != nil {
			return err
		}
	}
	if f.output == "json" {
		var indented strings.Builder
		e := json.NewEncoder(&indented)
		e.SetIndent("", "  ")
		_ = e.Encode(json.RawMessage(response.Body()))
		_, _ = io.WriteString(c.OutOrStdout(), indented.String())
	} else {
		show(c.OutOrStdout(), b)
	}
	return newRequestError(b)
}

func (b *responseBody) records() []tier.Record {
	out := make([]tier.Record, 0, len(b.Records))
	for _, r := range b.Records {
		out = append(out, tier.NewRecord(r.Key, r.Value))
	}
	return out
}

func printSearch(out io.Writer, b *responseBody) {
	printOutcome(out, b)
	_, _ = fmt.Fprintf(out, "records %d digest %s leaf-calls %d extra %d\n", b.Count, b.Digest, b.LeafCalls, b.ExtraLeafCalls)
	for _, r := range b.Records {
		_, _ = fmt.Fprintf(out, "  %s  %s\n", r.Key, r.Value)
	}
}

// printOutcome prints the fields that searches and bookings share.
func printOutcome(out io.Writer, b *responseBody) {
	_, _ = fmt.Fprintf(out, "request %s: %s", b.RequestID, b.Outcome)
	if b.Reason != "" {
		_, _ = fmt.Fprintf(out, " (%s)", b.Reason)
	}
	_, _ = fmt.Fprintf(out, " rank %s by %s\n", b.Rank, b.VM)
	if b.Snapshot != nil {
		_, _ = fmt.Fprintf(out, "snapshot epoch %d version %d\n", b.Snapshot.Epoch, b.Snapshot.Version)
	}
	if b.Coverage == nil {
		return
	}
	_, _ = fmt.Fprintf(out, "coverage %.3f: %d shards\n", b.Coverage.Fraction, len(b.Coverage.Covered))
	for _, m := range b.Coverage.Missing {
		_, _ = fmt.Fprintf(out, "  missing %s: %s\n", m.Shard, m.Reason)
	}
}
