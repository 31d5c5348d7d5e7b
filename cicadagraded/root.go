package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

const rootHelp = `cicadagraded runs on each entry VM. It takes callers' searches and bookings,
has the owners of the shard sets run them on the backend servers, and answers
from one snapshot with true coverage.`

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
)

// execute runs the command line and returns the exit code.
func execute() int {
	root := &cobra.Command{
		Use:           "cicadagraded",
		Short:         "The daemon of the query tier",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cicadagraded:", err)
		return exitFailed
	}
	return exitOK
}
