package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

const rootHelp = `standin plays everything around the query tier on loopback: the platform's
store, the backend servers with their records, links that can be cut, and
callers that load it. It is for tests and measurements only.`

// execute runs the command line and returns the exit code.
func execute() int {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins of the platform, load and measurements",
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
