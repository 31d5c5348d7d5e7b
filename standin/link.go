package main

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/relay"
)

const linkHelp = `link relays TCP connections between the addresses of its configuration file
until it is interrupted.

The control port gives GET /links and takes POST /links, which names links by
"name", "from" and "to" (all when left out; "both-ways" takes the opposite
direction too) and sets "cut" (none, stall, reset), "delay-ms" (one way) and
"lose-answers".`

func linkCommand() *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   "link",
		Short: "Relay connections over links that can be cut and delayed",
		Long:  linkHelp,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := relay.Read(config)
			if err != nil {
				return errors.Wrap(err, "link")
			}
			fmt.Fprintf(c.OutOrStdout(), "event=links links=%d control=%s\n", len(r.Links()), r.ControlAddress())
			return serveWithControl(c.Context(), r.Serve, r.ControlAddress(), r.ControlHandler())
		},
	}
	c.Flags().StringVar(&config, "config", "", "file of the links (required)")
	_ = c.MarkFlagRequired("config")
	return c
}
