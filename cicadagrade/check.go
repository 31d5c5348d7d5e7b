package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/checker"
	"cicadagrade.example/tier/parser"
)

const checkHelp = `Checks a configuration before VMs read it: an operator's configuration in the
platform's format, a document of profiles, or a shard set. FILE may be "-" for
standard input. Each line of the output is a finding: its severity, its path in
the file, what was found and what to do. Keys are never printed.

With --against, differences from the version in force are findings too. That
version is in a file, or in the store whose address the settings file has
("store"); then the leafs that the store lists are known as well. With
--settings, the regions and bounds of the deployment are known.

Exit codes: 0 no errors, 1 errors, 2 a file or the store cannot be read.`

// againstStore is the value of --against that means the store.
const againstStore = "store"

// maxCheckedBytes bounds a file that is read. The store takes 1 MB.
const maxCheckedBytes = 4 << 20

// checkCommand holds the flags of check.
type checkCommand struct {
	against  string
	settings string
	json     bool
}

func newCheckCommand() *cobra.Command {
	ch := &checkCommand{}
	c := &cobra.Command{
		Use: "check FILE", Short: "Check a configuration before VMs read it", Long: checkHelp, Args: rangeArgs(1, 1),
		RunE: func(c *cobra.Command, args []string) error { return ch.run(c, args[0]) },
	}
	c.Flags().StringVar(&ch.against, "against", "", `file with the version in force, or "store"`)
	c.Flags().StringVar(&ch.settings, "settings", "", "settings file of a VM")
	c.Flags().BoolVar(&ch.json, "json", false, "print JSON")
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInputError(err) })
	return c
}

func (ch *checkCommand) run(c *cobra.Command, file string) error {
	raw, err := readFile(c.InOrStdin(), file)
	if err != nil {
		return badInputError(err)
	}
	var settings *platform.Settings
	if ch.settings != "" {
		if settings, err = platform.LoadSettings(ch.settings); err != nil {
			return exitErrorf(exitBadInput, "--settings: %s", settingsProblem(err))
		}
	}
	if ch.against == againstStore && settings == nil {
		return exitErrorf(exitBadInput, "--against store: give the settings file that has the store's address (--settings)")
	}
	source := &versionSource{against: ch.against, settings: settings, stdin: c.InOrStdin()}
	defer source.close()
	draft, err := platform.DecodeDraft(raw)
	if err != nil {
		return exitErrorf(exitBadInput, "%s: %v", file, errors.Cause(err))
	}
	var findings []checker.Finding
	if kind, own := documentKind(raw); own {
		findings, err = checkDocument(c.Context(), source, kind, raw, draft)
	} else {
		findings, err = checkConfiguration(c.Context(), source, len(raw), draft)
	}
	checker.Sort(findings)
	if printErr := ch.print(c.OutOrStdout(), findings); printErr != nil {
		return printErr
	}
	if err != nil {
		return exitErrorf(exitBadInput, "--against %s: %v", ch.against, err)
	}
	if n := countOf(findings, checker.Error); n > 0 {
		return exitErrorf(1, "%s has errors: %d", file, n)
	}
	return nil
}

// settingsProblem says what is wrong with a settings file without showing any of its content,
// as another file may have been named by mistake.
func settingsProblem(err error) string {
	var invalid *tier.InvalidError
	if !errors.As(err, &invalid) {
		return errors.Cause(err).Error()
	}
	var list []string
	for _, p := range invalid.Problems() {
		list = append(list, p.Path()+" needs "+p.Allowed())
	}
	return strings.Join(list, "; ")
}

// readFile reads a file of bounded size, or standard input for "-".
func readFile(stdin io.Reader, name string) ([]byte, error) {
	from := stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		from = f
	}
	raw, err := io.ReadAll(io.LimitReader(from, maxCheckedBytes+1))
	if err == nil && len(raw) > maxCheckedBytes {
		err = errors.Errorf("%s has more than %d bytes", name, maxCheckedBytes)
	}
	return raw, err
}

// documentKind is the kind of a document of the project's own interface, and false for a
// configuration in the platform's format.
func documentKind(raw []byte) (parser.Kind, bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil {
		return "", false
	}
	has := func(name string) bool { return fields[name] != nil }
	switch {
	case has("version") || has("routes"):
		return "", false
	case has("profiles"):
		return parser.KindProfiles, true
	case has("shards") || has("servers"):
		return parser.KindSet, true
	}
	return "", false
}

// findingBody is a finding in JSON output.
type findingBody struct {
	Severity string `json:"severity"`
	Kind     string `json:"kind"`
	Path     string `json:"path"`
	Problem  string `json:"problem"`
	Action   string `json:"action"`
}

// checkBody is the JSON output of check.
type checkBody struct {
	Errors      int           `json:"errors"`
	Warnings    int           `json:"warnings"`
	Differences int           `json:"differences"`
	Findings    []findingBody `json:"findings"`
}

func (ch *checkCommand) print(w io.Writer, findings []checker.Finding) error {
	if !ch.json {
		for _, f := range findings {
			if _, err := fmt.Fprintln(w, f); err != nil {
				return errors.Wrap(err, "print")
			}
		}
		return nil
	}
	body := checkBody{
		Errors: countOf(findings, checker.Error), Warnings: countOf(findings, checker.Warning),
		Differences: countOf(findings, checker.Difference), Findings: []findingBody{},
	}
	for _, f := range findings {
		body.Findings = append(body.Findings, findingBody{
			Severity: string(f.Severity()), Kind: f.Kind(), Path: f.Path(), Problem: f.Problem(), Action: f.Action(),
		})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return errors.Wrap(e.Encode(body), "print")
}

func countOf(findings []checker.Finding, s checker.Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity() == s {
			n++
		}
	}
	return n
}
