package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"
)

const historyHelp = `Prints the audit trail of the document, latest change first: revision, time,
who, change id, reason, and each field before and after.`

const defaultHistory = 10

func (o *configurer) historyCommand(use string, args cobra.PositionalArgs) *cobra.Command {
	var limit int
	c := &cobra.Command{
		Use: use, Short: "Show the audit trail", Long: historyHelp, Args: args,
		RunE: func(c *cobra.Command, args []string) error {
			if err := o.check(); err != nil {
				return err
			}
			if limit < 1 {
				return fail(exitBadInput, "--limit: %d is not allowed: at least 1", limit)
			}
			return o.history(c, args, limit)
		},
	}
	c.Flags().IntVar(&limit, "limit", defaultHistory, "how many changes to show")
	return c
}

type entryBody struct {
	Epoch    uint64       `json:"epoch"`
	Revision uint64       `json:"revision"`
	At       string       `json:"at"`
	Who      string       `json:"who"`
	Change   string       `json:"change"`
	Reason   string       `json:"reason"`
	Changes  []changeBody `json:"changes"`
}

func (o *configurer) history(c *cobra.Command, args []string, limit int) error {
	key, err := o.key(args)
	if err != nil {
		return err
	}
	store := o.open()
	defer store.Close()
	entries, err := trail(c.Context(), store, key, limit)
	if err != nil {
		return err
	}
	bodies := make([]entryBody, 0, len(entries))
	for _, e := range entries {
		bodies = append(bodies, entryBody{
			e.Epoch(), e.Revision(), atText(e), e.Who(), e.ChangeID(), e.Reason(), newChangeBodies(e.Changes()),
		})
	}
	return o.print(c, bodies, func(w io.Writer) {
		for _, e := range entries {
			fmt.Fprintf(w, "epoch %d, revision %d at %s by %s, change %s: %s\n", e.Epoch(), e.Revision(), atText(e), e.Who(), e.ChangeID(), e.Reason())
			printChanges(w, e.Changes())
		}
	})
}

func atText(e replicator.Entry) string {
	return time.UnixMilli(int64(e.At())).UTC().Format(time.RFC3339)
}

// trail reads the latest entries, latest first: from the document's tail, and
// from the archive when more are wanted.
func trail(ctx context.Context, store storer.Store, key string, limit int) ([]replicator.Entry, error) {
	s, err := need(ctx, store, key)
	if err != nil {
		return nil, err
	}
	entries := s.Tail()
	if limit > len(entries) {
		archived, err := archive(ctx, store, key)
		if err != nil {
			return nil, err
		}
		entries = replicator.MergeEntries(archived, entries)
	}
	var out []replicator.Entry
	for i := len(entries) - 1; i >= 0 && len(out) < limit; i-- {
		e, err := complete(ctx, store, key, entries[i])
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

func archive(ctx context.Context, store storer.Store, key string) ([]replicator.Entry, error) {
	values, err := store.List(ctx, replicator.ArchivePrefix(key), 0)
	if err != nil {
		return nil, err
	}
	out := make([]replicator.Entry, 0, len(values))
	for _, v := range values {
		var e replicator.Entry
		if err := json.Unmarshal(v.Data(), &e); err != nil {
			return nil, errors.Wrapf(err, "archived entry %s", v.Key())
		}
		out = append(out, e)
	}
	return out, nil
}

// complete reads the changes of an entry that lie under their own key.
func complete(ctx context.Context, store storer.Store, key string, e replicator.Entry) (replicator.Entry, error) {
	if !e.ChangesDetached() {
		return e, nil
	}
	v, err := store.Get(ctx, replicator.ChangesKey(key, e.ChangeID()))
	if err != nil || !v.Present() {
		return e, err
	}
	changes, err := replicator.DecodeChanges(v.Data())
	if err != nil {
		return e, err
	}
	return e.WithChanges(changes), nil
}
