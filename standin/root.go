package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

const rootHelp = `standin simulates everything around the query tier on loopback: the platform's
store, the backend servers with their records, network links that can be cut,
and callers that generate load. It is for tests and measurements only.`

// execute runs the command line and returns the exit code.
func execute() int {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Simulate the platform, generate load and measure the tier",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(commands()...)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}
