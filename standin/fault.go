package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/leafserver"
)

func faultCommand() *cobra.Command {
	var control, learn string
	c := &cobra.Command{
		Use:   "fault [COMMAND]",
		Short: "Change running backend servers with a JSON command (see backends --help)",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			command, err := readCommand(args, learn)
			if err != nil {
				return err
			}
			n, err := leafserver.NewClient(control).SetFaults(c.Context(), command)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "event=fault servers=%d\n", n)
			return nil
		},
	}
	controlFlag(c, &control)
	c.Flags().StringVar(&learn, "learn", "", "set document whose shard map its servers add; replaces the command")
	return c
}

// readCommand returns the command given as an argument, or one that has servers learn
// the set document in the file learn.
func readCommand(args []string, learn string) ([]byte, error) {
	if (len(args) == 0) == (learn == "") {
		return nil, errors.New("specify either a command or --learn")
	}
	if learn == "" {
		return []byte(args[0]), nil
	}
	b, err := os.ReadFile(learn)
	return leafserver.LearnRequest(b), errors.Wrap(err, "fault")
}

func bookedCommand() *cobra.Command {
	var control, countKey string
	c := &cobra.Command{
		Use:   "booked",
		Short: "List the bookings that the backend servers executed",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := leafserver.NewClient(control).AppliedBookings(c.Context(), 0)
			if err != nil {
				return err
			}
			printBookings(c, list, countKey)
			return nil
		},
	}
	controlFlag(c, &control)
	c.Flags().StringVar(&countKey, "count", "", "print only the number of bookings with this record key")
	return c
}

// printBookings lists the bookings or, if countKey is set, prints how many have that
// record key.
func printBookings(c *cobra.Command, list []leafserver.AppliedBooking, countKey string) {
	n := 0
	for _, b := range list {
		if countKey == "" {
			fmt.Fprintf(c.OutOrStdout(), "server=%s record-key=%s attempt=%s receipt=%s body=%q\n", b.Server, b.RecordKey, b.Attempt, b.Receipt, b.Body)
		}
		if b.RecordKey == countKey {
			n++
		}
	}
	if countKey != "" {
		fmt.Fprintln(c.OutOrStdout(), n)
	}
}

func controlFlag(c *cobra.Command, control *string) {
	c.Flags().StringVar(control, "control", "127.0.0.1:21200", "control port of the backend servers")
}
