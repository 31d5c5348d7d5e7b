package main

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/deployer"
	"cicadagrade.example/standin/relay"
)

const settingsHelp = `settings prints the environment of one entry VM of a deployment, a variable a
line, for cicadagraded serve. With --links it has the VM reach the store and
the VMs of other data centres over the links of that file.`

func settingsCommand() *cobra.Command {
	var deployment, name, links string
	c := &cobra.Command{
		Use:   "settings",
		Short: "Print the settings of an entry VM of a deployment",
		Long:  settingsHelp,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			d, err := deployer.Read(deployment)
			if err != nil {
				return errors.Wrap(err, "settings")
			}
			lines, err := vmSettings(d, name, links)
			if err != nil {
				return errors.Wrap(err, "settings")
			}
			fmt.Fprintln(c.OutOrStdout(), strings.Join(lines, "\n"))
			return nil
		},
	}
	c.Flags().StringVar(&deployment, "deployment", "", "file of the deployment (required)")
	c.Flags().StringVar(&name, "vm", "", "name of the VM; empty: list the VMs' names")
	c.Flags().StringVar(&links, "links", "", "file of the links")
	_ = c.MarkFlagRequired("deployment")
	return c
}

// vmSettings lists a VM's environment, or the names of all VMs.
func vmSettings(d *deployer.Deployment, name, links string) ([]string, error) {
	var names, seeds []string
	var self *deployer.VM
	for _, v := range d.VMs() {
		names = append(names, v.Name())
		seeds = append(seeds, v.PeerAddress())
		if v.Name() == name {
			self = &v
		}
	}
	if name == "" {
		return names, nil
	}
	if self == nil {
		return nil, errors.Errorf("no VM %q in %v", name, names)
	}
	out := []string{
		"CICADAGRADED_NAME=" + self.Name(),
		"CICADAGRADED_DATA_CENTRE=" + self.DataCentre(),
		"CICADAGRADED_API_ADDRESS=" + self.APIAddress(),
		"CICADAGRADED_PEER_ADDRESS=" + self.PeerAddress(),
		"CICADAGRADED_STORE=" + d.StoreAddress(),
		"CICADAGRADED_SEEDS=" + strings.Join(seeds, ","),
	}
	if links == "" {
		return out, nil
	}
	r, err := relay.Read(links)
	if err != nil {
		return nil, err
	}
	return append(out, "CICADAGRADED_DIAL="+strings.Join(dials(r, self.DataCentre()), ",")), nil
}

// dials lists the addresses that a data centre's VMs dial over links.
func dials(r *relay.Relay, dataCentre string) []string {
	var out []string
	for _, l := range r.Links() {
		if listen, target := l.Addresses(); l.From() == dataCentre {
			out = append(out, target+"="+listen)
		}
	}
	return out
}
