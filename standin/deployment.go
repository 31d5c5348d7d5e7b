package main

import (
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/deployer"
)

func deploymentCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "deployment",
		Short: "The deployments of both users as data files",
	}
	var dir string
	write := &cobra.Command{
		Use:   "write",
		Short: "Write the files of both deployments",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return deployer.Write(dir) },
	}
	write.Flags().StringVar(&dir, "dir", "standin/deployment", "directory to write them in")
	c.AddCommand(write)
	return c
}
