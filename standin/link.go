package main

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/standin/relay"
)

const linkHelp = `link relays TCP connections between the addresses in its configuration file
until it is interrupted.

The control port serves GET /links and accepts POST /links. The JSON command
for POST /links selects links by "name", "from" and "to" (all links if none is
given; "both-ways" adds the opposite direction) and sets "cut" (none, stall or
reset), "delay-ms" (one way) and "lose-answers" (discards all bytes that the
target sends).`

func linkCommand() *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:   "link",
		Short: "Relay TCP connections over links that can be cut and delayed",
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
	c.Flags().StringVar(&config, "config", "", "links file (required)")
	_ = c.MarkFlagRequired("config")
	return c
}
