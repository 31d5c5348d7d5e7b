package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"
)

const diffHelp = `Prints what apply would change, without changing anything. FILE may be "-" for
standard input.`

func (dc *documentCommand) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", Short: "Compare a file with the document in the store", Long: diffHelp, Args: rangeArgs(1, 1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := dc.validateOutput(); err != nil {
				return err
			}
			return dc.diff(c, args[0])
		},
	}
}

// diffBody is the JSON output of diff.
type diffBody struct {
	Key      string            `json:"key"`
	Revision uint64            `json:"revision"`
	Changes  []fieldChangeBody `json:"changes"`
}

func (dc *documentCommand) diff(c *cobra.Command, file string) error {
	d, err := dc.readDocument(c, file)
	if err != nil {
		return err
	}
	store := dc.openStore()
	defer store.Close()
	s, err := loadDocument(c.Context(), store, replicator.KeyOf(d))
	if err != nil {
		return err
	}
	body := diffBody{Key: replicator.KeyOf(d)}
	var before parser.Document
	if s != nil {
		before = s.Document()
		body.Revision = s.Ref().Revision()
	}
	changes := parser.Diff(before, d)
	body.Changes = newFieldChangeBodies(changes)
	return dc.print(c, body, func(w io.Writer) {
		fmt.Fprintf(w, "%s at revision %d: %d changes\n", body.Key, body.Revision, len(changes))
		printChanges(w, changes)
	})
}
