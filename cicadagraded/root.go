package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/tier"
)

const rootHelp = `cicadagraded runs on each entry VM. It accepts callers' searches and bookings and
has the owners of the shard sets run them on the backend servers. An answer comes
from one snapshot and states which shards it covers.`

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
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
	root.AddCommand(serveCommand(), frontCommand())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return tier.NewInvalidError("command line", []tier.FieldProblem{
			tier.NewFieldProblem("flags", err.Error(), "the flags that --help lists"),
		})
	})
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cicadagraded:", err)
		return exitCode(err)
	}
	return exitOK
}

// exitCode returns exitSettings for invalid settings or flags, and exitFailed otherwise.
func exitCode(err error) int {
	var invalid *tier.InvalidError
	if errors.As(err, &invalid) {
		return exitSettings
	}
	return exitFailed
}
