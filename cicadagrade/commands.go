package main

import (
	"github.com/spf13/cobra"

	"cicadagrade.example/tier"
)

// commands returns the subcommands.
func commands() []*cobra.Command {
	clock := tier.NewClock()
	return []*cobra.Command{
		newCheckCommand(),
		explainCommand(),
		searchCommand(),
		bookCommand(),
		statusCommand(),
		profileCommand(clock),
		setCommand(clock),
	}
}
