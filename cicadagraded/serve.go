package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/tier"
)

const serveHelp = `Runs an entry VM: serves callers, communicates with the other entry VMs, and
owns its share of the shard sets of its data centre.

Every setting is a flag or the environment variable named beside it; the flag
takes precedence. All settings are checked at the start: if any is invalid, the
process exits with code 2 and one message that names each invalid setting, its
value and what is allowed.

SIGTERM or an interrupt starts a graceful shutdown: the VM tells its peers that
it is leaving, fails its readiness check, accepts new requests until the load
balancer's lag has passed, finishes all requests in flight and exits with code
0. A second signal, or reaching the stop limit, ends the wait: the process logs
each request that it abandons and exits with code 1.`

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
	registerFlags(c.Flags())
	return c
}

// serve runs the daemon until its graceful shutdown is finished.
func serve(ctx context.Context, s *settings) error {
	d, err := newDaemon(ctx, s, tier.NewClock(), newLogger(os.Stderr, s))
	if err != nil {
		return errors.Wrap(err, "serve")
	}
	return errors.Wrap(d.run(), "serve")
}
