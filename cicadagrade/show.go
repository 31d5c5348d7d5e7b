package main

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/tier/parser"
)

const showHelp = `Prints the document from the store with all fields, ready to edit and apply. The
revision is printed to standard error: pass it to apply --expect-revision so
that a change made in between is not overwritten.`

func (dc *documentCommand) showCommand(use, short string, args cobra.PositionalArgs) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Long: showHelp, Args: args,
		RunE: func(c *cobra.Command, args []string) error {
			if err := dc.validateOutput(); err != nil {
				return err
			}
			return dc.show(c, args)
		},
	}
}

func (dc *documentCommand) show(c *cobra.Command, args []string) error {
	key, err := dc.storeKey(args)
	if err != nil {
		return err
	}
	store := dc.openStore()
	defer store.Close()
	s, err := loadRequired(c.Context(), store, key)
	if err != nil {
		return err
	}
	d := s.Document()
	if p, ok := d.(*parser.ProfilesDocument); ok && len(args) == 1 {
		one, found := p.Profile(args[0])
		if !found {
			return exitErrorf(1, "there is no profile %q", args[0])
		}
		d = parser.NewProfilesDocument(one)
	}
	var b bytes.Buffer
	if err := json.Indent(&b, parser.Encode(d), "", "  "); err != nil {
		return errors.Wrap(err, "show")
	}
	fmt.Fprintln(c.OutOrStdout(), b.String())
	fmt.Fprintf(c.ErrOrStderr(), "epoch %d, revision %d\n", s.Ref().Epoch(), s.Ref().Revision())
	return nil
}
