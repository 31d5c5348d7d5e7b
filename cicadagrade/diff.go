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

func (o *configurer) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use: "diff FILE", Short: "Compare a file with the document in the store", Long: diffHelp, Args: arguments(1, 1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := o.check(); err != nil {
				return err
			}
			return o.diff(c, args[0])
		},
	}
}

type diffBody struct {
	Key      string       `json:"key"`
	Revision uint64       `json:"revision"`
	Changes  []changeBody `json:"changes"`
}

func (o *configurer) diff(c *cobra.Command, file string) error {
	d, err := o.readFile(c, file)
	if err != nil {
		return err
	}
	store := o.open()
	defer store.Close()
	s, err := load(c.Context(), store, replicator.KeyOf(d))
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
	body.Changes = newChangeBodies(changes)
	return o.print(c, body, func(w io.Writer) {
		fmt.Fprintf(w, "%s at revision %d: %d changes\n", body.Key, body.Revision, len(changes))
		printChanges(w, changes)
	})
}
