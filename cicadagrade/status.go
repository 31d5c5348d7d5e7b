package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/cicadagrade/requester"
)

const statusHelp = `Shows what one entry VM knows: itself, the other VMs, the shard sets that it
owns with their queues and backend servers, and the configuration documents in
force there. With --output json it prints the whole status.

  cicadagrade status --vm 127.0.0.1:7070`

const statusTimeout = 5 * time.Second

// statusBody is what this command reads of GET /v1/status.
type statusBody struct {
	VM         string   `json:"vm"`
	DataCentre string   `json:"data-centre"`
	State      string   `json:"state"`
	Ready      bool     `json:"ready"`
	Warnings   []string `json:"warnings"`
	Members    []struct {
		VM         string `json:"vm"`
		DataCentre string `json:"data-centre"`
		Address    string `json:"address"`
		State      string `json:"state"`
	} `json:"members"`
	Owners []struct {
		Set     string `json:"set"`
		Owned   bool   `json:"owned"`
		Parts   int    `json:"parts"`
		Servers []struct {
			Server string `json:"server"`
			State  string `json:"state"`
			Used   int    `json:"slots-used"`
			Limit  int    `json:"slots-limit"`
		} `json:"servers"`
	} `json:"owners"`
	Configuration []struct {
		Key      string `json:"key"`
		Epoch    uint64 `json:"epoch"`
		Revision uint64 `json:"revision"`
		Digest   string `json:"digest"`
	} `json:"configuration"`
}

func statusCommand() *cobra.Command {
	var vm, output string
	c := &cobra.Command{
		Use:   "status",
		Short: "Show what an entry VM knows",
		Long:  statusHelp,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), statusTimeout)
			defer cancel()
			a, err := requester.New(vm).Get(ctx, "/v1/status")
			if err != nil {
				return errors.Wrap(err, "no answer")
			}
			if output == "json" {
				var b bytes.Buffer
				if err := json.Indent(&b, a.Body(), "", "  "); err != nil {
					return errors.Wrap(err, "the answer is not whole")
				}
				_, _ = fmt.Fprintln(c.OutOrStdout(), b.String())
				return nil
			}
			var s statusBody
			if err := a.Decode(&s); err != nil {
				return errors.Wrap(err, "the answer is not whole")
			}
			printStatus(c.OutOrStdout(), &s)
			return nil
		},
	}
	c.Flags().StringVar(&vm, "vm", "127.0.0.1:7070", "API address of an entry VM")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	return c
}

func printStatus(out io.Writer, s *statusBody) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "vm %s\tdata centre %s\t%s\tready %t\n", s.VM, s.DataCentre, s.State, s.Ready)
	for _, warning := range s.Warnings {
		_, _ = fmt.Fprintf(w, "WARNING\t%s\n", warning)
	}
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "member\t%s\t%s\t%s\t%s\n", m.VM, m.DataCentre, m.Address, m.State)
	}
	for _, o := range s.Owners {
		_, _ = fmt.Fprintf(w, "owner\t%s\towned %t\tparts %d\n", o.Set, o.Owned, o.Parts)
		for _, b := range o.Servers {
			_, _ = fmt.Fprintf(w, "server\t%s\t%s\tslots %d of %d\n", b.Server, b.State, b.Used, b.Limit)
		}
	}
	for _, d := range s.Configuration {
		_, _ = fmt.Fprintf(w, "document\t%s\tepoch %d\trevision %d\t%s\n", d.Key, d.Epoch, d.Revision, d.Digest)
	}
	_ = w.Flush()
}
