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
author, change id, reason, and the old and new value of each changed field.`

const defaultHistory = 10

func (dc *documentCommand) historyCommand(use string, args cobra.PositionalArgs) *cobra.Command {
	var limit int
	c := &cobra.Command{
		Use: use, Short: "Show the audit trail", Long: historyHelp, Args: args,
		RunE: func(c *cobra.Command, args []string) error {
			if err := dc.validateOutput(); err != nil {
				return err
			}
			if limit < 1 {
				return exitErrorf(exitBadInput, "--limit: %d is not allowed: at least 1", limit)
			}
			return dc.history(c, args, limit)
		},
	}
	c.Flags().IntVar(&limit, "limit", defaultHistory, "maximum number of changes to show")
	return c
}

// auditEntryBody is an audit entry in JSON output.
type auditEntryBody struct {
	Epoch    uint64            `json:"epoch"`
	Revision uint64            `json:"revision"`
	At       string            `json:"at"`
	Who      string            `json:"who"`
	Change   string            `json:"change"`
	Reason   string            `json:"reason"`
	Changes  []fieldChangeBody `json:"changes"`
}

func (dc *documentCommand) history(c *cobra.Command, args []string, limit int) error {
	key, err := dc.storeKey(args)
	if err != nil {
		return err
	}
	store := dc.openStore()
	defer store.Close()
	entries, err := auditTrail(c.Context(), store, key, limit)
	if err != nil {
		return err
	}
	bodies := make([]auditEntryBody, 0, len(entries))
	for _, e := range entries {
		bodies = append(bodies, auditEntryBody{
			e.Epoch(), e.Revision(), formatTime(e), e.Who(), e.ChangeID(), e.Reason(), newFieldChangeBodies(e.Changes()),
		})
	}
	return dc.print(c, bodies, func(w io.Writer) {
		for _, e := range entries {
			fmt.Fprintf(w, "epoch %d, revision %d at %s by %s, change %s: %s\n", e.Epoch(), e.Revision(), formatTime(e), e.Who(), e.ChangeID(), e.Reason())
			printChanges(w, e.Changes())
		}
	})
}

func formatTime(e replicator.Entry) string {
	return time.UnixMilli(int64(e.At())).UTC().Format(time.RFC3339)
}

// auditTrail returns up to limit audit entries, latest first. It reads them from the
// document, and from the archive if the document holds fewer than limit.
func auditTrail(ctx context.Context, store storer.Store, key string, limit int) ([]replicator.Entry, error) {
	s, err := loadRequired(ctx, store, key)
	if err != nil {
		return nil, err
	}
	entries := s.Tail()
	if limit > len(entries) {
		archived, err := archivedEntries(ctx, store, key)
		if err != nil {
			return nil, err
		}
		entries = replicator.MergeEntries(archived, entries)
	}
	var out []replicator.Entry
	for i := len(entries) - 1; i >= 0 && len(out) < limit; i-- {
		e, err := withDetachedChanges(ctx, store, key, entries[i])
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// archivedEntries reads all archived audit entries of a document.
func archivedEntries(ctx context.Context, store storer.Store, key string) ([]replicator.Entry, error) {
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

// withDetachedChanges returns the entry with its field changes, which are read from a key of
// their own if they are not stored in the entry.
func withDetachedChanges(ctx context.Context, store storer.Store, key string, e replicator.Entry) (replicator.Entry, error) {
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
