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

Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with another change, 4
unknown whether the change was made.`

// configurer holds what the configuration commands share.
type configurer struct {
	clock  *tier.Clock
	kind   parser.Kind
	store  string
	vms    string
	output string
}

// configurationError ends a command with an exit code of its own.
type configurationError struct {
	message string
	code    int
}

// ExitCode is the command's exit code.
func (e *configurationError) ExitCode() int { return e.code }

// Error tells the operator what happened.
func (e *configurationError) Error() string { return e.message }

func fail(code int, format string, args ...any) error {
	return errors.WithStack(&configurationError{message: fmt.Sprintf(format, args...), code: code})
}

// badInput turns the error of a document or a flag into one with its code.
func badInput(err error) error {
	var invalid *tier.InvalidError
	if !errors.As(err, &invalid) {
		return fail(exitBadInput, "%v", err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s is rejected whole:", invalid.Object())
	for _, p := range invalid.Problems() {
		fmt.Fprintf(&out, "\n  %s", p)
	}
	return fail(exitBadInput, "%s", out.String())
}

func (o *configurer) register(c *cobra.Command) {
	f := c.PersistentFlags()
	f.StringVar(&o.store, "store", envOr(storeEnv, "127.0.0.1:2379"), "address of the platform's store ("+storeEnv+")")
	f.StringVar(&o.vms, "vms", os.Getenv(vmsEnv), "API addresses of entry VMs, separated by commas ("+vmsEnv+")")
	f.StringVar(&o.output, "output", "text", "text or json")
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInput(err) })
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

// arguments checks the number of arguments.
func arguments(least, most int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.RangeArgs(least, most)(c, args); err != nil {
			return badInput(err)
		}
		return nil
	}
}

// group is the parent of subcommands: alone it shows its help.
func (o *configurer) group(use, short, long string, list ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use: use, Short: short, Long: long,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fail(exitBadInput, "unknown command %q: see %s --help", args[0], c.CommandPath())
			}
			return c.Help()
		},
	}
	o.register(c)
	c.AddCommand(list...)
	return c
}

// check looks at the shared flags.
func (o *configurer) check() error {
	if o.output != "text" && o.output != "json" {
		return fail(exitBadInput, "--output: %q is not allowed: text or json", o.output)
	}
	return nil
}

func (o *configurer) open() *platform.Store { return platform.NewStore(o.store) }

// key is the store's key of the document that a command names.
func (o *configurer) key(args []string) (string, error) {
	if o.kind == parser.KindProfiles {
		return replicator.Key(o.kind, ""), nil
	}
	if !tier.ValidName(args[0]) {
		return "", fail(exitBadInput, "%q is not the name of a shard set", args[0])
	}
	return replicator.Key(o.kind, args[0]), nil
}

// load reads a document from the store, nil when it is absent.
func load(ctx context.Context, store storer.Store, key string) (*replicator.State, error) {
	v, err := store.Get(ctx, key)
	if err != nil || !v.Present() {
		return nil, err
	}
	return replicator.Decode(key, v.Data())
}

// need is load for commands that can't do without the document.
func need(ctx context.Context, store storer.Store, key string) (*replicator.State, error) {
	s, err := load(ctx, store, key)
	if err == nil && s == nil {
		return nil, fail(1, "the store holds no document %s", key)
	}
	return s, err
}

// readFile reads a document from a file, or from standard input for "-".
func (o *configurer) readFile(c *cobra.Command, name string) (parser.Document, error) {
	var body []byte
	var err error
	if name == "-" {
		body, err = io.ReadAll(c.InOrStdin())
	} else {
		body, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, badInput(err)
	}
	d, err := parser.Parse(o.kind, body)
	if err != nil {
		return nil, badInput(err)
	}
	return d, nil
}

// print writes v as JSON, or has text write it for a person.
func (o *configurer) print(c *cobra.Command, v any, text func(io.Writer)) error {
	if o.output == "json" {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		e.SetEscapeHTML(false)
		return errors.Wrap(e.Encode(v), "print")
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
	text(w)
	return errors.Wrap(w.Flush(), "print")
}

// refBody is a document's state in answers of this command.
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

// changeBody is one difference in answers of this command.
type changeBody struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

func newChangeBodies(list []parser.Change) []changeBody {
	out := make([]changeBody, 0, len(list))
	for _, c := range list {
		out = append(out, changeBody{Path: c.Path(), Before: json.RawMessage(c.Before()), After: json.RawMessage(c.After())})
	}
	return out
}

// maxShown is how many changes are shown to a person at once.
const maxShown = 40

func printChanges(w io.Writer, list []parser.Change) {
	for i, c := range list {
		if i == maxShown {
			fmt.Fprintf(w, "  ... and %d more\n", len(list)-maxShown)
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
