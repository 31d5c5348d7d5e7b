package main

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

func (dc *documentCommand) listCommand(short string, list func(*cobra.Command, storer.Store) error) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: short, Args: rangeArgs(0, 0),
		RunE: func(c *cobra.Command, _ []string) error {
			if err := dc.validateOutput(); err != nil {
				return err
			}
			store := dc.openStore()
			defer store.Close()
			return list(c, store)
		},
	}
}

// profileLine is a profile in the output of list.
type profileLine struct {
	Name        string  `json:"name"`
	Rank        string  `json:"rank"`
	MinCoverage float64 `json:"min-coverage"`
	DeadlineMs  int64   `json:"deadline-ms"`
	QueueLimit  int     `json:"queue-limit"`
}

func (dc *documentCommand) listProfiles(c *cobra.Command, store storer.Store) error {
	s, err := loadRequired(c.Context(), store, replicator.Key(parser.KindProfiles, ""))
	if err != nil {
		return err
	}
	var lines []profileLine
	for _, p := range s.Document().(*parser.ProfilesDocument).Profiles() {
		lines = append(lines, profileLine{p.Name(), p.Rank().String(), p.MinCoverage(), int64(p.Deadline()), p.QueueLimit()})
	}
	return dc.print(c, lines, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tRANK\tMIN-COVERAGE\tDEADLINE-MS\tQUEUE-LIMIT")
		for _, l := range lines {
			fmt.Fprintf(w, "%s\t%s\t%g\t%d\t%d\n", l.Name, l.Rank, l.MinCoverage, l.DeadlineMs, l.QueueLimit)
		}
	})
}

// setLine is a shard set in the output of list.
type setLine struct {
	Name        string   `json:"name"`
	Epoch       uint64   `json:"epoch"`
	Shards      int      `json:"shards"`
	Servers     int      `json:"servers"`
	DataCentres []string `json:"data-centres"`
	Revision    uint64   `json:"revision"`
}

func (dc *documentCommand) listSets(c *cobra.Command, store storer.Store) error {
	states, err := loadSets(c.Context(), store)
	if err != nil {
		return err
	}
	lines := make([]setLine, 0, len(states))
	for _, s := range states {
		set := s.Document().(*parser.SetDocument).Set()
		lines = append(lines, setLine{
			set.Name(), uint64(set.Epoch()), len(set.Shards()), len(set.Servers()), set.DataCentres(), s.Ref().Revision(),
		})
	}
	return dc.print(c, lines, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tEPOCH\tSHARDS\tSERVERS\tDATA-CENTRES\tREVISION")
		for _, l := range lines {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%v\t%d\n", l.Name, l.Epoch, l.Shards, l.Servers, l.DataCentres, l.Revision)
		}
	})
}

func loadSets(ctx context.Context, store storer.Store) ([]*replicator.State, error) {
	values, err := store.List(ctx, replicator.Key(parser.KindSet, ""), 0)
	if err != nil {
		return nil, err
	}
	var out []*replicator.State
	for _, v := range values {
		s, err := replicator.Decode(v.Key(), v.Data())
		if err != nil {
			return nil, errors.Wrap(err, "loadSets")
		}
		out = append(out, s)
	}
	return out, nil
}
