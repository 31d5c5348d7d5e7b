package main

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/deployer"
	"cicadagrade.example/standin/relay"
)

const settingsHelp = `settings prints the environment variables of cicadagraded serve for one entry
VM of a deployment, one per line. With --links the VM connects to the store and
to the VMs of other data centres over the links in that file.`

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
	c.Flags().StringVar(&deployment, "deployment", "", "deployment file (required)")
	c.Flags().StringVar(&name, "vm", "", "name of the VM; if empty, the names of all VMs are listed")
	c.Flags().StringVar(&links, "links", "", "links file")
	_ = c.MarkFlagRequired("deployment")
	return c
}

// vmSettings returns the environment of the named VM, or the names of all VMs if name
// is empty.
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
		return nil, errors.Errorf("the deployment has no VM %q; its VMs are %v", name, names)
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
	return append(out, "CICADAGRADED_DIAL="+strings.Join(dialOverrides(r, self.DataCentre()), ",")), nil
}

// dialOverrides returns a target=listen pair for each link that starts in the data
// centre. Its VMs dial the listen address instead of the target.
func dialOverrides(r *relay.Relay, dataCentre string) []string {
	var out []string
	for _, l := range r.Links() {
		if listen, target := l.Addresses(); l.From() == dataCentre {
			out = append(out, target+"="+listen)
		}
	}
	return out
}
