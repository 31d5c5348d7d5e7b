package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

const rootHelp = `cicadagrade shows and changes the configuration of the query tier (profiles
and shard sets), shows its status, runs searches and makes bookings.`

// execute runs the command line and returns the exit code.
func execute() int {
	root := &cobra.Command{
		Use:           "cicadagrade",
		Short:         "Operate and query the query tier",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(commands()...)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cicadagrade:", err)
		return exitCode(err)
	}
	return 0
}

// exitCoder is an error with an exit code.
type exitCoder interface {
	error
	ExitCode() int
}

// exitCode returns the exit code of an exitCoder, and 1 for any other error.
func exitCode(err error) int {
	var c exitCoder
	if errors.As(err, &c) {
		return c.ExitCode()
	}
	return 1
}
