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
		Use:   "fault [ORDER]",
		Short: "Change running backend servers by a JSON order (see backends --help)",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			order, err := readOrder(args, learn)
			if err != nil {
				return err
			}
			n, err := leafserver.NewClient(control).SetFaults(c.Context(), order)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "event=fault servers=%d\n", n)
			return nil
		},
	}
	controlFlag(c, &control)
	c.Flags().StringVar(&learn, "learn", "", "file of a set document that its servers learn, in place of an order")
	return c
}

// readOrder takes the order given, or makes one of a set document.
func readOrder(args []string, learn string) ([]byte, error) {
	if (len(args) == 0) == (learn == "") {
		return nil, errors.New("give either an order or --learn")
	}
	if learn == "" {
		return []byte(args[0]), nil
	}
	b, err := os.ReadFile(learn)
	return leafserver.LearnRequest(b), errors.Wrap(err, "fault")
}

func bookedCommand() *cobra.Command {
	var control, count string
	c := &cobra.Command{
		Use:   "booked",
		Short: "List the bookings that took effect on the backend servers",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := leafserver.NewClient(control).AppliedBookings(c.Context(), 0)
			if err != nil {
				return err
			}
			printBooked(c, list, count)
			return nil
		},
	}
	controlFlag(c, &control)
	c.Flags().StringVar(&count, "count", "", "print only how many bookings this record key has")
	return c
}

func printBooked(c *cobra.Command, list []leafserver.AppliedBooking, count string) {
	n := 0
	for _, b := range list {
		if count == "" {
			fmt.Fprintf(c.OutOrStdout(), "server=%s record-key=%s attempt=%s receipt=%s body=%q\n", b.Server, b.RecordKey, b.Attempt, b.Receipt, b.Body)
		}
		if b.RecordKey == count {
			n++
		}
	}
	if count != "" {
		fmt.Fprintln(c.OutOrStdout(), n)
	}
}

func controlFlag(c *cobra.Command, control *string) {
	c.Flags().StringVar(control, "control", "127.0.0.1:21200", "control port of the backend servers")
}
