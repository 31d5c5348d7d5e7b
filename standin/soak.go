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

const soakHelp = `soak runs entry VMs as processes on loopback together with a simulated store,
leafs (backend servers), operator and callers, and injects random faults drawn
from the seed. VMs are killed, stopped gracefully or frozen. Links are cut,
silenced, delayed or reset. The store is down, slow, loses answers or loses its
history. Leafs misbehave, leave or crash. The configuration and the shards
change. Faults overlap.

Meanwhile soak checks what the tier guarantees to callers, leafs and the
operator, and exits with code 1 if a guarantee was violated. The same seed
yields the same faults, but which requests they affect depends on the machine's
timing.

It ends only processes that it has started. The logs of the VMs are kept in the
directory if a guarantee was violated.`

func soakCommand() *cobra.Command {
	var program, earlier, dir string
	var seed uint64
	var runs, vms, faults, drills, callers int
	var faultWindow, meanPause tier.Millis
	var untimed bool
	c := &cobra.Command{
		Use:   "soak",
		Short: "Inject random faults into real processes and check the guarantees",
		Long:  soakHelp,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			// On a signal the run still stops the processes it started.
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			violations := 0
			for i := range uint64(runs) {
				options := []soaker.Option{
					soaker.WithVMs(vms), soaker.WithFaults(faults, faultWindow), soaker.WithDrills(drills), soaker.WithCallers(callers, meanPause),
					soaker.WithLog(log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000"})),
				}
				if earlier != "" {
					options = append(options, soaker.FromEarlier(earlier))
				}
				if untimed {
					options = append(options, soaker.Untimed())
				}
				n, err := soakOnce(ctx, c.OutOrStdout(), program, dir, seed+i, options)
				if err != nil {
					return err
				}
				violations += n
			}
			if violations > 0 {
				return errors.Errorf("soak: %d guarantees were violated", violations)
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&program, "program", ".bin/cicadagraded", "path of the cicadagraded program")
	f.StringVar(&earlier, "earlier", "", "program of an earlier build with which the VMs start; after a kill or stop they run the other one")
	f.StringVar(&dir, "dir", "", "directory for settings and logs; a temporary one if empty")
	f.Uint64Var(&seed, "seed", 1, "seed of the random faults and requests")
	f.IntVar(&runs, "runs", 1, "number of runs, one after another, each with the next seed")
	f.IntVar(&vms, "vms", 6, "number of entry VMs")
	f.IntVar(&faults, "faults", 12, "number of faults")
	f.Int64Var((*int64)(&faultWindow), "over-ms", int64(20*tier.Second), "time window in which faults begin")
	f.IntVar(&drills, "drills", 3, "number of returns of the store from a copy after the last fault")
	f.IntVar(&callers, "callers", 24, "number of callers")
	f.Int64Var((*int64)(&meanPause), "pause-ms", 60, "mean pause of a caller between two requests")
	f.BoolVar(&untimed, "untimed", false, "leave out checks whose result depends on the machine's speed")
	return c
}

// soakOnce runs the soak test with one seed and returns the number of violated
// guarantees.
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
