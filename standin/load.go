package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/deployer"
	"cicadagrade.example/standin/loadgenerator"
	"cicadagrade.example/standin/reporter"
	"cicadagrade.example/tier"
)

const loadHelp = `load sends a workload to a running deployment: each stream at its own rate,
whether or not earlier requests have ended. Latency counts from the time at
which a request was due. Every answer is checked on arrival against the
records, and at the end bookings and refusals against what the backend servers
ran. The exit code is 1 when a promise was broken.

A stream marked "bare" asks the backend servers itself, without the tier, for
comparison within the run.`

type loadFlags struct {
	deployment string
	workload   string
	out        string
	version    uint64
}

func loadCommand() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Send a workload to a running deployment and check every answer",
		Long:  loadHelp,
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	c.Flags().StringVar(&f.deployment, "deployment", "", "file of the deployment (required)")
	c.Flags().StringVar(&f.workload, "workload", "", "file of the workload (required)")
	c.Flags().StringVar(&f.out, "out", "", "file for the result as JSON")
	c.Flags().Uint64Var(&f.version, "bare-version", 1, "index version that bare streams ask for")
	_ = c.MarkFlagRequired("deployment")
	_ = c.MarkFlagRequired("workload")
	return c
}

func (f *loadFlags) run(c *cobra.Command) error {
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d, err := deployer.Read(f.deployment)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	r, err := f.load(ctx, d)
	if err != nil {
		return errors.Wrap(err, "load")
	}
	if err := reporter.Print(c.OutOrStdout(), r); err != nil {
		return errors.Wrap(err, "load")
	}
	if f.out != "" {
		if err := reporter.Write(f.out, r); err != nil {
			return errors.Wrap(err, "load")
		}
	}
	return brokenPromises(r)
}

// load runs the workload once.
func (f *loadFlags) load(ctx context.Context, d *deployer.Deployment) (*reporter.Result, error) {
	w, err := loadgenerator.Read(f.workload, d)
	if err != nil {
		return nil, err
	}
	run, err := loadgenerator.New(w, d, loadgenerator.WithDirectVersion(tier.Version(f.version)))
	if err != nil {
		return nil, err
	}
	return run.Execute(ctx)
}

// brokenPromises fails a run with violations, or with checks not made.
func brokenPromises(r *reporter.Result) error {
	if r.ViolationCount > 0 || len(r.Unchecked) > 0 {
		return errors.Errorf("%s: %d violations, %d checks not made", r.Workload, r.ViolationCount, len(r.Unchecked))
	}
	return nil
}
