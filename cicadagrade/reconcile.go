package main

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/committer"
	"cicadagrade.example/tier/replicator"

	peerv1 "cicadagrade.example/api/peer/v1"
	"cicadagrade.example/api/peer/v1/peerv1connect"
)

const reconcileHelp = `Writes the highest state of the document that VMs serve back to the store, when
the store has lost it: it restarted empty, or was restored from an old copy and
perhaps changed since. VMs never go back, so such a store no longer reaches
them; status says so. What the store held goes to the audit trail's archive.

The state is fetched from the VM of --vms that serves the highest, or from the
one that --from names, over its peer address.` + exitCodesHelp

func (o *configurer) reconcileCommand(use string, args cobra.PositionalArgs) *cobra.Command {
	ch := &change{expect: committer.AnyRevision}
	var from string
	c := &cobra.Command{
		Use: use, Short: "Write back to the store what VMs serve", Long: reconcileHelp, Args: args,
		RunE: func(c *cobra.Command, args []string) error {
			if err := ch.check(o); err != nil {
				return err
			}
			if o.vms == "" {
				return fail(exitBadInput, "--vms: name the VMs to ask")
			}
			key, err := o.key(args)
			if err != nil {
				return err
			}
			return o.reconcile(c, ch, key, from)
		},
	}
	ch.register(c)
	c.Flags().StringVar(&from, "from", "", "name of the VM whose state is written back; empty: the highest")
	return c
}

func (o *configurer) reconcile(c *cobra.Command, ch *change, key, from string) error {
	v, err := source(o.ask(c.Context()), key, from)
	if err != nil {
		return err
	}
	fleet, err := fetchWhole(c.Context(), v.peer, key)
	if err != nil {
		return fail(1, "VM %s did not give its document: %v", v.label(), err)
	}
	store := o.open()
	defer store.Close()
	held, err := load(c.Context(), store, key)
	if err == nil && held != nil && held.DescendsFrom(fleet) && !fleet.Ref().NewerThan(held.Ref()) {
		return fail(1, "nothing to reconcile: the store holds %v, which descends from %v on VM %s", held.Ref(), fleet.Ref(), v.label())
	}
	if err != nil && !unreadable(err) {
		return err
	}
	opts := []committer.Option{committer.WithTimeout(tier.Millis(ch.patience))}
	return o.drive(c, ch, committer.NewReconciliation(fleet, ch.id, ch.who, ch.reason, o.clock.WallTime(), opts...))
}

// unreadable reports a stored document that a reconciliation may replace.
func unreadable(err error) bool {
	var corrupt *replicator.CorruptError
	var invalid *tier.InvalidError
	return errors.As(err, &corrupt) || errors.As(err, &invalid)
}

// source picks the VM whose state is written back.
func source(views []vmView, key, from string) (vmView, error) {
	var best vmView
	highest := replicator.NewRef(key, 0, 0, "")
	for _, v := range views {
		if v.err != nil || (from != "" && v.name != from) {
			continue
		}
		if r := v.ref(key); r.NewerThan(highest) {
			best, highest = v, r
		}
	}
	if highest.Revision() == 0 {
		return best, fail(1, "no VM that was asked serves %s", key)
	}
	return best, nil
}

// fetchWhole asks a VM for a whole document.
func fetchWhole(ctx context.Context, address, key string) (*replicator.State, error) {
	ctx, cancel := withTimeout(ctx, vmTimeout)
	defer cancel()
	peer := peerv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+address)
	wanted := &peerv1.DocumentRef{Key: strings.TrimPrefix(key, replicator.KeyPrefix)}
	r, err := peer.Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Have: []*peerv1.DocumentRef{wanted}}))
	if err != nil {
		return nil, errors.Wrap(err, "fetchWhole")
	}
	if len(r.Msg.GetUpdates()) != 1 {
		return nil, errors.Errorf("%d documents instead of one", len(r.Msg.GetUpdates()))
	}
	return replicator.Decode(key, r.Msg.GetUpdates()[0].GetWhole())
}
