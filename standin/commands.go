package main

import "github.com/spf13/cobra"

// commands returns the subcommands. Each is defined in a file of its own.
func commands() []*cobra.Command {
	return []*cobra.Command{
		backendsCommand(),
		faultCommand(),
		bookedCommand(),
		deploymentCommand(),
		storeCommand(),
		linkCommand(),
		loadCommand(),
		experimentCommand(),
		reportCommand(),
		settingsCommand(),
		soakCommand(),
	}
}
