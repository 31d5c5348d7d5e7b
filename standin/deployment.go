package main

import (
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/deployer"
)

func deploymentCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "deployment",
		Short: "Write deployment files",
	}
	var dir string
	write := &cobra.Command{
		Use:   "write",
		Short: "Write the files of the deployments of both organisations",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return deployer.Write(dir) },
	}
	write.Flags().StringVar(&dir, "dir", "standin/deployment", "directory to write the files to")
	c.AddCommand(write, sizedCommand())
	return c
}

func sizedCommand() *cobra.Command {
	var dir, name string
	var portBase, dataCentres, vms, shards int
	c := &cobra.Command{
		Use:   "sized",
		Short: "Write the files of a deployment of a given size, for a measurement",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return deployer.WriteSized(dir, deployer.NewSizes(name, portBase, dataCentres, vms, shards))
		},
	}
	c.Flags().StringVar(&dir, "dir", ".", "directory to write the files to")
	c.Flags().StringVar(&name, "name", "sized", "name of the deployment")
	c.Flags().IntVar(&portBase, "port-base", 10000, "first port of the range of 5000 ports that the deployment uses")
	c.Flags().IntVar(&dataCentres, "data-centres", 3, "number of data centres, each in its own region")
	c.Flags().IntVar(&vms, "vms", 7, "number of entry VMs")
	c.Flags().IntVar(&shards, "shards", 20, "number of shards of the only set, portao; each has two servers")
	return c
}
