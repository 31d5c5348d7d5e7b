package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/tier"
)

const serveHelp = `Runs an entry VM: serves callers, talks to the other entry VMs, and owns its
share of the shard sets of its data centre.

Every setting is a flag, or the environment variable named beside it; the flag
goes first. All settings are checked at the start: a bad one ends the process
with exit code 2 and one message that names each bad setting, its value and
what is allowed.

SIGTERM or an interrupt starts a planned stop: the VM says that it is leaving,
fails its readiness check, goes on accepting work until the balancer's lag has
passed, finishes all that is in flight and exits with code 0. A second signal,
or the stop limit, ends the waiting: the process logs each request that it cuts
off and exits with code 1.`

func serveCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Short: "Run an entry VM",
		Long:  serveHelp,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := loadSettings(c.Flags())
			if err != nil {
				return errors.Wrap(err, "serve")
			}
			return serve(c.Context(), s)
		},
	}
	register(c.Flags())
	return c
}

// serve runs the daemon until a planned stop.
func serve(ctx context.Context, s *settings) error {
	d, err := newDaemon(ctx, s, tier.NewClock(), newLogger(os.Stderr, s))
	if err != nil {
		return errors.Wrap(err, "serve")
	}
	return errors.Wrap(d.run(), "serve")
}
