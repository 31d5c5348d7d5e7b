package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

const rootHelp = `cicadagrade shows and changes the configuration of the query tier (profiles
and shard sets), shows its status, asks searches and makes bookings.`

// execute runs the command line and returns the exit code.
func execute() int {
	root := &cobra.Command{
		Use:           "cicadagrade",
		Short:         "Operate and ask the query tier",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(commands()...)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cicadagrade:", err)
		return 1
	}
	return 0
}
