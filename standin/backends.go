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

const backendsHelp = `backends simulates every backend server of a deployment in one process, each
at its own address, until it is interrupted.

The deployment's control port accepts POST /faults and serves GET /served,
/booked and /counters. The JSON command for POST /faults selects servers by
"server", "set" and "data-centre" (all servers if none is given) and sets any
of these fields:

  slow-factor      multiplies service times
  health-lag-ms    age of the state that health checks report
  health-state     state that health checks report in place of the true one
  serve-version    index version to serve in place of the requested one;
                   with "disguise" replies still name the requested version
  reply            fault in replies: truncated, corrupted, repeated (each
                   record twice) or crossed (the reply to an earlier call);
                   "reply-fraction" is the fraction of replies affected
  call             fault in calls: hang, drop-before or drop-after (closes the
                   connection before or after running the call);
                   "call-fraction" is the fraction of calls affected
  down             refuses every connection
  state            cold, live, shedding or leaving
  publish, drop    adds or removes an index version
  learn            adds the shard map of a set document
  forget           removes the shard map of an epoch
  clear            removes all faults; state, versions and maps are kept`

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
		Short: "Simulate the backend servers of a deployment",
		Long:  backendsHelp,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return f.run(c)
		},
	}
	c.Flags().StringVar(&f.deployment, "deployment", "", "deployment file (required)")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the random service times and fault choices")
	c.Flags().DurationVar(&f.median, "median", leafserver.DefaultMedian, "median service time")
	c.Flags().Float64Var(&f.spread, "spread", leafserver.DefaultSpread, "standard deviation of the logarithm of the service time")
	c.Flags().Float64Var(&f.tail, "tail", leafserver.DefaultTail, "fraction of calls that take eight times as long as drawn")
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

// serveWithControl runs a simulated service and the HTTP server of its control port
// until SIGINT or SIGTERM arrives, or until one of them fails.
func serveWithControl(ctx context.Context, serve func(context.Context) error, address string, control http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: address, Handler: control}
	var g run.Group
	g.Add(func() error { return serve(ctx) }, func(error) { stop() })
	g.Add(server.ListenAndServe, func(error) { _ = server.Close() })
	if err := g.Run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
