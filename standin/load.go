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

const loadHelp = `load sends a workload to a running deployment as an open-loop load: each
stream keeps its own rate, whether or not earlier requests have ended. Latency
is measured from the time at which a request was due to be sent.

Every answer is checked on arrival against the generated records. At the end,
bookings and refusals are checked against the requests that the backend servers
executed. The exit code is 1 if a guarantee of the tier was violated.

A stream marked "bare" bypasses the tier and calls the backend servers
directly, as a baseline within the same run.`

type loadFlags struct {
	deployment    string
	workload      string
	out           string
	directVersion uint64
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
	c.Flags().StringVar(&f.deployment, "deployment", "", "deployment file (required)")
	c.Flags().StringVar(&f.workload, "workload", "", "workload file (required)")
	c.Flags().StringVar(&f.out, "out", "", "file to write the result to, as JSON")
	c.Flags().Uint64Var(&f.directVersion, "bare-version", 1, "index version that bare streams request")
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
	return violationsError(r)
}

// load runs the workload once.
func (f *loadFlags) load(ctx context.Context, d *deployer.Deployment) (*reporter.Result, error) {
	w, err := loadgenerator.Read(f.workload, d)
	if err != nil {
		return nil, err
	}
	run, err := loadgenerator.New(w, d, loadgenerator.WithDirectVersion(tier.Version(f.directVersion)))
	if err != nil {
		return nil, err
	}
	return run.Execute(ctx)
}

// violationsError returns an error if the run found violations or could not make a
// check.
func violationsError(r *reporter.Result) error {
	if r.ViolationCount > 0 || len(r.Unchecked) > 0 {
		return errors.Errorf("%s: %d violations, %d checks could not be made", r.Workload, r.ViolationCount, len(r.Unchecked))
	}
	return nil
}
