package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/checker"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

const (
	storeEnv = "CICADAGRADE_STORE"
	vmsEnv   = "CICADAGRADE_VMS"
	whoEnv   = "CICADAGRADE_WHO"
)

const exitCodesHelp = `

Exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict with another
change, 4 unknown whether the change was made.`

// documentCommand holds the flags and the document kind that the configuration commands share.
type documentCommand struct {
	clock  *tier.Clock
	kind   parser.Kind
	store  string
	vms    string
	output string
}

// exitError is an error with the exit code of the command.
type exitError struct {
	message string
	code    int
}

// ExitCode returns the command's exit code.
func (e *exitError) ExitCode() int { return e.code }

// Error returns the message for the operator.
func (e *exitError) Error() string { return e.message }

// exitErrorf returns an *exitError with a formatted message.
func exitErrorf(code int, format string, args ...any) error {
	return errors.WithStack(&exitError{message: fmt.Sprintf(format, args...), code: code})
}

// badInputError returns an *exitError with exitBadInput for an invalid document or flag.
func badInputError(err error) error {
	var invalid *tier.InvalidError
	if !errors.As(err, &invalid) {
		return exitErrorf(exitBadInput, "%v", err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s is rejected as a whole:", invalid.Object())
	for _, p := range invalid.Problems() {
		fmt.Fprintf(&out, "\n  %s", p)
	}
	return exitErrorf(exitBadInput, "%s", out.String())
}

func (dc *documentCommand) register(c *cobra.Command) {
	f := c.PersistentFlags()
	f.StringVar(&dc.store, "store", envOr(storeEnv, "127.0.0.1:2379"), "address of the platform's store ("+storeEnv+")")
	f.StringVar(&dc.vms, "vms", os.Getenv(vmsEnv), "API addresses of entry VMs, separated by commas ("+vmsEnv+")")
	f.StringVar(&dc.output, "output", "text", "text or json")
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInputError(err) })
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// rangeArgs is like cobra.RangeArgs, but its error has the exit code exitBadInput.
func rangeArgs(minimum, maximum int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.RangeArgs(minimum, maximum)(c, args); err != nil {
			return badInputError(err)
		}
		return nil
	}
}

// parentCommand returns the parent of subcommands, which shows its help when run by itself.
func (dc *documentCommand) parentCommand(use, short, long string, subcommands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use: use, Short: short, Long: long,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return exitErrorf(exitBadInput, "unknown command %q: see %s --help", args[0], c.CommandPath())
			}
			return c.Help()
		},
	}
	dc.register(c)
	c.AddCommand(subcommands...)
	return c
}

// validateOutput checks the --output flag.
func (dc *documentCommand) validateOutput() error {
	if dc.output != "text" && dc.output != "json" {
		return exitErrorf(exitBadInput, "--output: %q is not allowed: text or json", dc.output)
	}
	return nil
}

func (dc *documentCommand) openStore() *platform.Store { return platform.NewStore(dc.store) }

// storeKey returns the store key of the document that the command's arguments name.
func (dc *documentCommand) storeKey(args []string) (string, error) {
	if dc.kind == parser.KindProfiles {
		return replicator.Key(dc.kind, ""), nil
	}
	if !tier.ValidName(args[0]) {
		return "", exitErrorf(exitBadInput, "%q is not the name of a shard set", args[0])
	}
	return replicator.Key(dc.kind, args[0]), nil
}

// loadDocument reads a document from the store. It returns nil if the document does not exist.
func loadDocument(ctx context.Context, store storer.Store, key string) (*replicator.State, error) {
	v, err := store.Get(ctx, key)
	if err != nil || !v.Present() {
		return nil, err
	}
	return replicator.Decode(key, v.Data())
}

// loadRequired is like loadDocument, but returns an error if the document does not exist.
func loadRequired(ctx context.Context, store storer.Store, key string) (*replicator.State, error) {
	s, err := loadDocument(ctx, store, key)
	if err == nil && s == nil {
		return nil, exitErrorf(1, "the store holds no document %s", key)
	}
	return s, err
}

// readDocument reads and parses a document from a file, or from standard input for "-".
func (dc *documentCommand) readDocument(c *cobra.Command, name string) (parser.Document, error) {
	body, err := readFile(c.InOrStdin(), name)
	if err != nil {
		return nil, badInputError(err)
	}
	d, err := parser.Parse(dc.kind, body)
	if err != nil {
		return nil, badInputError(err)
	}
	return d, nil
}

// readChecked is like readDocument, but runs the check first. An error of the check is an error
// here, unless it is forced and the document is valid.
func (dc *documentCommand) readChecked(c *cobra.Command, name string, force bool) (parser.Document, error) {
	body, err := readFile(c.InOrStdin(), name)
	if err != nil {
		return nil, badInputError(err)
	}
	draft, err := platform.DecodeDraft(body)
	if err != nil {
		return nil, exitErrorf(exitBadInput, "%s: %v", name, errors.Cause(err))
	}
	findings, d := checker.CheckDocument(dc.kind, body, draft.MaskKeys)
	if d == nil || checker.HasErrors(findings) && !force {
		return nil, findingsError(name, findings)
	}
	for _, f := range findings {
		fmt.Fprintln(c.ErrOrStderr(), f)
	}
	return d, nil
}

// print writes v as JSON, or calls text to write it in a human-readable form.
func (dc *documentCommand) print(c *cobra.Command, v any, text func(io.Writer)) error {
	if dc.output == "json" {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		e.SetEscapeHTML(false)
		return errors.Wrap(e.Encode(v), "print")
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
	text(w)
	return errors.Wrap(w.Flush(), "print")
}

// refBody is a reference to a document state in JSON output and in GET /v1/status.
type refBody struct {
	Key      string `json:"key"`
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

func newRefBody(r replicator.Ref) refBody {
	return refBody{Key: r.Key(), Epoch: r.Epoch(), Revision: r.Revision(), Digest: r.Digest()}
}

func (r refBody) ref() replicator.Ref { return replicator.NewRef(r.Key, r.Epoch, r.Revision, r.Digest) }

// fieldChangeBody is the change of one field in JSON output.
type fieldChangeBody struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

func newFieldChangeBodies(changes []parser.Change) []fieldChangeBody {
	out := make([]fieldChangeBody, 0, len(changes))
	for _, c := range changes {
		out = append(out, fieldChangeBody{Path: c.Path(), Before: json.RawMessage(c.Before()), After: json.RawMessage(c.After())})
	}
	return out
}

// maxPrintedChanges limits the field changes that are printed in text output.
const maxPrintedChanges = 40

func printChanges(w io.Writer, changes []parser.Change) {
	for i, c := range changes {
		if i == maxPrintedChanges {
			fmt.Fprintf(w, "  ... and %d more\n", len(changes)-maxPrintedChanges)
			return
		}
		path := c.Path()
		if path == "" {
			path = "document"
		}
		switch {
		case c.Before() == "":
			fmt.Fprintf(w, "  + %s: %s\n", path, c.After())
		case c.After() == "":
			fmt.Fprintf(w, "  - %s: %s\n", path, c.Before())
		default:
			fmt.Fprintf(w, "  ~ %s: %s -> %s\n", path, c.Before(), c.After())
		}
	}
}
