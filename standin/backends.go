package main

import (
	"context"
	"fmt"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/deployer"
	"cicadagrade.example/standin/leafserver"
	"cicadagrade.example/standin/recordgenerator"
)

const backendsHelp = `backends plays every backend server of a deployment in one process, each at
its own address, until it is interrupted.

The control port of the deployment takes POST /faults and gives GET /served,
/booked and /counters. A fault names servers by "server", "set" and
"data-centre" (all when left out) and sets "slow-factor", "health-lag-ms",
"health-state", "serve-version" with "disguise", "reply" (truncated,
corrupted, repeated, crossed) with "reply-fraction", "call" (hang,
drop-before, drop-after) with "call-fraction", "down" (lost: refuses every
connection), "state" (cold, live, shedding, leaving), "publish", "drop" (index
versions), "learn" (a set document), "forget" (an epoch), "clear" (no faults;
state, versions and maps stay).`

type backendsFlags struct {
	deployment string
	seed       uint64
	median     time.Duration
	spread     float64
	tail       float64
}

func backendsCommand() *cobra.Command {
	var f backendsFlags
	c := &cobra.Command{
		Use:   "backends",
		Short: "Play the backend servers of a deployment",
		Long:  backendsHelp,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.run(c)
		},
	}
	c.Flags().StringVar(&f.deployment, "deployment", "", "file of the deployment (required)")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of service times and fault choices")
	c.Flags().DurationVar(&f.median, "median", leafserver.DefaultMedian, "median service time")
	c.Flags().Float64Var(&f.spread, "spread", leafserver.DefaultSpread, "standard deviation of the service time's logarithm")
	c.Flags().Float64Var(&f.tail, "tail", leafserver.DefaultTail, "fraction of calls that take eight times as long")
	_ = c.MarkFlagRequired("deployment")
	return c
}

func (f *backendsFlags) run(c *cobra.Command) error {
	d, err := deployer.Read(f.deployment)
	if err != nil {
		return errors.Wrap(err, "backends")
	}
	fleet := leafserver.NewFleet(
		d.Sets(),
		recordgenerator.New(d.RecordSeed()),
		leafserver.WithSeed(f.seed),
		leafserver.WithServiceTime(f.median, f.spread, f.tail),
	)
	fmt.Fprintf(c.OutOrStdout(), "event=backends deployment=%s servers=%d control=%s\n", d.Name(), len(fleet.Servers()), d.BackendControlAddress())
	return serveWithControl(c.Context(), fleet.Serve, d.BackendControlAddress(), fleet.ControlHandler())
}

// serveWithControl runs a stand-in and its control port until a signal comes
// or one of them fails.
func serveWithControl(ctx context.Context, serve func(context.Context) error, address string, control http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	h := &http.Server{Addr: address, Handler: control}
	var g run.Group
	g.Add(func() error { return serve(ctx) }, func(error) { stop() })
	g.Add(h.ListenAndServe, func(error) { _ = h.Close() })
	if err := g.Run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
