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

const searchHelp = `Asks one entry VM for the records of a shard set that match a term, under a
profile, and prints them with the snapshot that they come from and the shards
that they cover.

The answer is checked before it is shown: a cut answer is an error. The exit
code is 0 when the request was answered, 3 when it was refused and not run, and
4 when it ran without an answer, for instance with too little coverage.

  cicadagrade search --vm 127.0.0.1:7070 --profile gate --set portao grower-17`

// clientGrace is added to a request's deadline before the client gives up.
const clientGrace = 2 * time.Second

// callFlags are the flags of a caller's request.
type callFlags struct {
	vm         string
	profile    string
	set        string
	requestID  string
	output     string
	deadlineMs int64
}

func (f *callFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.vm, "vm", "127.0.0.1:7070", "API address of an entry VM")
	c.Flags().StringVar(&f.profile, "profile", "", "name of the profile")
	c.Flags().StringVar(&f.set, "set", "", "name of the shard set")
	c.Flags().StringVar(&f.requestID, "request-id", "", "request id; empty: one is made")
	c.Flags().Int64Var(&f.deadlineMs, "deadline-ms", 0, "deadline; 0: the profile's")
	c.Flags().StringVar(&f.output, "output", "text", "text or json")
	_ = c.MarkFlagRequired("profile")
	_ = c.MarkFlagRequired("set")
}

// deadline is the request's deadline field, absent for 0.
func (f *callFlags) deadline() *int64 {
	if f.deadlineMs == 0 {
		return nil
	}
	return &f.deadlineMs
}

func (f *callFlags) id() string {
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

// answerBody is what this command reads of an answer.
type answerBody struct {
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
	f := &callFlags{}
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

// run sends a request, prints its answer and returns an error for an outcome
// other than answered.
func (f *callFlags) run(c *cobra.Command, path string, body any, show func(io.Writer, *answerBody)) error {
	limit := clientGrace + time.Duration(f.deadlineMs)*time.Millisecond
	if f.deadlineMs == 0 {
		limit += tier.MaxDeadlineAllowed.Duration()
	}
	ctx, cancel := context.WithTimeout(c.Context(), limit)
	defer cancel()
	a, err := requester.New(f.vm).Post(ctx, path, body)
	if err != nil {
		return errors.Wrap(err, "no answer")
	}
	w := &answerBody{}
	if err := a.Decode(w); err != nil {
		return errors.Wrap(err, "the answer is not whole")
	}
	if w.RequestID != f.requestID && w.Error == nil {
		return errors.Errorf("the answer is for request %q, not %q", w.RequestID, f.requestID)
	}
	if path == "/v1/search" && w.Error == nil {
		if err := requester.CheckComplete(w.records(), w.Count, w.Digest); err != nil {
			return err
		}
	}
	if f.output == "json" {
		var indented strings.Builder
		e := json.NewEncoder(&indented)
		e.SetIndent("", "  ")
		_ = e.Encode(json.RawMessage(a.Body()))
		_, _ = io.WriteString(c.OutOrStdout(), indented.String())
	} else {
		show(c.OutOrStdout(), w)
	}
	return outcomeError(w)
}

func (w *answerBody) records() []tier.Record {
	out := make([]tier.Record, 0, len(w.Records))
	for _, r := range w.Records {
		out = append(out, tier.NewRecord(r.Key, r.Value))
	}
	return out
}

func printSearch(out io.Writer, w *answerBody) {
	printOutcome(out, w)
	_, _ = fmt.Fprintf(out, "records %d digest %s leaf-calls %d extra %d\n", w.Count, w.Digest, w.LeafCalls, w.ExtraLeafCalls)
	for _, r := range w.Records {
		_, _ = fmt.Fprintf(out, "  %s  %s\n", r.Key, r.Value)
	}
}

// printOutcome prints what every answer states.
func printOutcome(out io.Writer, w *answerBody) {
	_, _ = fmt.Fprintf(out, "request %s: %s", w.RequestID, w.Outcome)
	if w.Reason != "" {
		_, _ = fmt.Fprintf(out, " (%s)", w.Reason)
	}
	_, _ = fmt.Fprintf(out, " rank %s by %s\n", w.Rank, w.VM)
	if w.Snapshot != nil {
		_, _ = fmt.Fprintf(out, "snapshot epoch %d version %d\n", w.Snapshot.Epoch, w.Snapshot.Version)
	}
	if w.Coverage == nil {
		return
	}
	_, _ = fmt.Fprintf(out, "coverage %.3f: %d shards\n", w.Coverage.Fraction, len(w.Coverage.Covered))
	for _, m := range w.Coverage.Missing {
		_, _ = fmt.Fprintf(out, "  missing %s: %s\n", m.Shard, m.Reason)
	}
}
