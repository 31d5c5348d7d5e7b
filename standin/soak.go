package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/soaker"
	"cicadagrade.example/tier"
)

const soakHelp = `Runs entry VMs as processes on loopback, with a store, leafs, an operator and
callers of its own, and does to them what a plan drawn from the seed says: kills,
planned stops, freezes, cut, silent, delayed and reset links, a store that is
down, slow, loses answers or forgets its history, leafs that misbehave, leave or
end, new configurations and other shards. Faults overlap.

It checks meanwhile what callers, leafs and the operator are promised, and ends
with code 1 if a promise was broken. The same seed draws the same plan; when it
meets which request depends on the machine.

It ends only processes that it has started. Logs of the VMs stay in the
directory if a promise was broken.`

func soakCommand() *cobra.Command {
	var program, dir string
	var seed uint64
	var runs, vms, faults, callers int
	var over, pause tier.Millis
	var untimed bool
	c := &cobra.Command{
		Use:   "soak",
		Short: "Play random faults on real processes, and check the promises",
		Long:  soakHelp,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			// An interrupted run ends its processes too.
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			broken := 0
			for i := range uint64(runs) {
				options := []soaker.Option{
					soaker.WithVMs(vms), soaker.WithFaults(faults, over), soaker.WithCallers(callers, pause),
					soaker.WithLog(log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000"})),
				}
				if untimed {
					options = append(options, soaker.Untimed())
				}
				n, err := soakOnce(ctx, c.OutOrStdout(), program, dir, seed+i, options)
				if err != nil {
					return err
				}
				broken += n
			}
			if broken > 0 {
				return errors.Errorf("soak: %d promises were broken", broken)
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&program, "program", ".bin/cicadagraded", "the daemon")
	f.StringVar(&dir, "dir", "", "directory of settings and logs; a temporary one if empty")
	f.Uint64Var(&seed, "seed", 1, "draws the plan and the requests")
	f.IntVar(&runs, "runs", 1, "how many seeds are played, one after another")
	f.IntVar(&vms, "vms", 6, "number of entry VMs")
	f.IntVar(&faults, "faults", 12, "number of faults")
	f.Int64Var((*int64)(&over), "over-ms", int64(20*tier.Second), "time in which faults begin")
	f.IntVar(&callers, "callers", 24, "number of callers")
	f.Int64Var((*int64)(&pause), "pause-ms", 60, "mean pause of a caller between two requests")
	f.BoolVar(&untimed, "untimed", false, "leave out checks whose verdict depends on the machine's speed")
	return c
}

// soakOnce plays one seed and returns the number of broken promises.
func soakOnce(ctx context.Context, out io.Writer, program, dir string, seed uint64, options []soaker.Option) (int, error) {
	temporary := dir == ""
	if temporary {
		var err error
		if dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return 0, errors.Wrap(err, "soakOnce")
		}
	}
	r, err := soaker.New(program, dir, seed, options...).Run(ctx)
	if err != nil {
		return 0, errors.Wrapf(err, "soakOnce: seed %d, logs in %s", seed, dir)
	}
	fmt.Fprintf(out, "seed=%d faults=%d requests=%d served=%d refused=%d failed=%d broken=%d\n",
		seed, r.Faults, r.Requests, r.Served, r.Refused, r.Failed, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintln(out, " ", v)
	}
	if len(r.Violations) > 0 {
		fmt.Fprintln(out, "  logs:", dir)
		return len(r.Violations), nil
	}
	if temporary {
		return 0, errors.Wrap(os.RemoveAll(dir), "soakOnce")
	}
	return 0, nil
}
