package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/deployer"
	"cicadagrade.example/standin/leafserver"
	"cicadagrade.example/standin/reporter"
)

const experimentHelp = `experiment runs several workloads one after the other on a running deployment.
It writes each result to a file in the output directory and prints the result
and its ratios to the result of the first run.

The experiment file lists "runs". Each has a "name", a "workload" (a path
relative to the experiment file), and "before" and "after": lists of fault
commands for the backend servers (see backends --help).`

// maxRuns is the maximum number of runs of an experiment.
const maxRuns = 32

type experimentDocument struct {
	Name string        `json:"name"`
	Runs []runDocument `json:"runs"`
}

type runDocument struct {
	Name     string            `json:"name"`
	Workload string            `json:"workload"`
	Before   []json.RawMessage `json:"before"`
	After    []json.RawMessage `json:"after"`
}

type experimentFlags struct {
	deployment string
	file       string
	out        string
}

func experimentCommand() *cobra.Command {
	var f experimentFlags
	c := &cobra.Command{
		Use:   "experiment",
		Short: "Run several workloads and compare their results",
		Long:  experimentHelp,
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	c.Flags().StringVar(&f.deployment, "deployment", "", "deployment file (required)")
	c.Flags().StringVar(&f.file, "file", "", "experiment file (required)")
	c.Flags().StringVar(&f.out, "out", ".", "directory for the result files")
	_ = c.MarkFlagRequired("deployment")
	_ = c.MarkFlagRequired("file")
	return c
}

func (f *experimentFlags) run(c *cobra.Command) error {
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d, err := deployer.Read(f.deployment)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	doc, err := readExperiment(f.file)
	if err != nil {
		return errors.Wrap(err, "experiment")
	}
	var first *reporter.Result
	var violations error
	for _, x := range doc.Runs {
		r, err := f.runOne(ctx, c, d, x)
		if err != nil {
			return errors.Wrap(err, "experiment "+x.Name)
		}
		if err := violationsError(r); err != nil {
			violations = err
		}
		if first == nil {
			first = r
			continue
		}
		if err := reporter.Compare(c.OutOrStdout(), first, r); err != nil {
			return errors.Wrap(err, "experiment")
		}
	}
	return violations
}

// runOne sends the fault commands before and after one run, prints its result and
// writes it to a file.
func (f *experimentFlags) runOne(ctx context.Context, c *cobra.Command, d *deployer.Deployment, x runDocument) (*reporter.Result, error) {
	if err := postCommands(ctx, d, x.Before); err != nil {
		return nil, err
	}
	l := &loadFlags{workload: filepath.Join(filepath.Dir(f.file), x.Workload), directVersion: 1}
	r, err := l.load(ctx, d)
	if err != nil {
		return nil, err
	}
	if err := postCommands(ctx, d, x.After); err != nil {
		return nil, err
	}
	fmt.Fprintf(c.OutOrStdout(), "\nrun %s\n", x.Name)
	if err := reporter.Print(c.OutOrStdout(), r); err != nil {
		return nil, err
	}
	return r, reporter.Write(filepath.Join(f.out, x.Name+".json"), r)
}

// postCommands sends fault commands to the control port of the backend servers.
func postCommands(ctx context.Context, d *deployer.Deployment, requests []json.RawMessage) error {
	for _, request := range requests {
		if _, err := leafserver.NewClient(d.BackendControlAddress()).SetFaults(ctx, request); err != nil {
			return err
		}
	}
	return nil
}

func readExperiment(path string) (*experimentDocument, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	doc := &experimentDocument{}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(doc); err != nil {
		return nil, errors.Wrap(err, path)
	}
	if len(doc.Runs) == 0 || len(doc.Runs) > maxRuns {
		return nil, errors.Errorf("%s: number of runs is %d, allowed are 1 to %d", path, len(doc.Runs), maxRuns)
	}
	return doc, nil
}
