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

const experimentHelp = `experiment runs several workloads one after the other on a running deployment,
writes each result to a file of the output directory, and prints each and its
ratios to the first.

Its file lists "runs", each with "name", "workload" (a file, relative to its
own), and "before" and "after": orders for the backend servers.`

// maxRuns bounds the runs of an experiment.
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
	c.Flags().StringVar(&f.deployment, "deployment", "", "file of the deployment (required)")
	c.Flags().StringVar(&f.file, "file", "", "file of the experiment (required)")
	c.Flags().StringVar(&f.out, "out", ".", "directory for the results")
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
	var broken error
	for _, x := range doc.Runs {
		r, err := f.one(ctx, c, d, x)
		if err != nil {
			return errors.Wrap(err, "experiment "+x.Name)
		}
		if err := brokenPromises(r); err != nil {
			broken = err
		}
		if first == nil {
			first = r
			continue
		}
		if err := reporter.Compare(c.OutOrStdout(), first, r); err != nil {
			return errors.Wrap(err, "experiment")
		}
	}
	return broken
}

// one makes a run between its orders and keeps its result.
func (f *experimentFlags) one(ctx context.Context, c *cobra.Command, d *deployer.Deployment, x runDocument) (*reporter.Result, error) {
	if err := postOrders(ctx, d, x.Before); err != nil {
		return nil, err
	}
	l := &loadFlags{workload: filepath.Join(filepath.Dir(f.file), x.Workload), version: 1}
	r, err := l.load(ctx, d)
	if err != nil {
		return nil, err
	}
	if err := postOrders(ctx, d, x.After); err != nil {
		return nil, err
	}
	fmt.Fprintf(c.OutOrStdout(), "\nrun %s\n", x.Name)
	if err := reporter.Print(c.OutOrStdout(), r); err != nil {
		return nil, err
	}
	return r, reporter.Write(filepath.Join(f.out, x.Name+".json"), r)
}

func postOrders(ctx context.Context, d *deployer.Deployment, orders []json.RawMessage) error {
	for _, o := range orders {
		if _, err := leafserver.NewClient(d.BackendControlAddress()).SetFaults(ctx, o); err != nil {
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
		return nil, errors.Errorf("%s: runs: %d is not allowed: 1 to %d", path, len(doc.Runs), maxRuns)
	}
	return doc, nil
}
