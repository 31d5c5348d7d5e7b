package main

import "github.com/spf13/cobra"

// commands lists the subcommands, each in a file of its own.
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
