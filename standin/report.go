package main

import (
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/reporter"
)

func reportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report RESULT [RESULT]",
		Short: "Print a result file, or the ratios of a second result to the first",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(c *cobra.Command, args []string) error {
			a, err := reporter.Read(args[0])
			if err != nil {
				return errors.Wrap(err, "report")
			}
			if len(args) == 1 {
				return reporter.Print(c.OutOrStdout(), a)
			}
			b, err := reporter.Read(args[1])
			if err != nil {
				return errors.Wrap(err, "report")
			}
			return reporter.Compare(c.OutOrStdout(), a, b)
		},
	}
}
