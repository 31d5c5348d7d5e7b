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

const reconcileHelp = `Writes the newest state of the document that VMs serve back to the store, after
the store has lost it: it restarted empty, or was restored from an old copy and
possibly changed since. VMs never go back to an older state, so they ignore such
a store and show a warning in their status. What the store held is kept in the
audit trail's archive.

The state is fetched over the peer address of the VM of --vms that serves the
newest state, or of the VM that --from names.` + exitCodesHelp

func (dc *documentCommand) reconcileCommand(use string, args cobra.PositionalArgs) *cobra.Command {
	ch := &changeFlags{expectedRevision: committer.AnyRevision}
	var from string
	c := &cobra.Command{
		Use: use, Short: "Write the document that VMs serve back to the store", Long: reconcileHelp, Args: args,
		RunE: func(c *cobra.Command, args []string) error {
			if err := ch.validate(dc); err != nil {
				return err
			}
			if dc.vms == "" {
				return exitErrorf(exitBadInput, "--vms is empty: give the addresses of the VMs")
			}
			key, err := dc.storeKey(args)
			if err != nil {
				return err
			}
			return dc.reconcile(c, ch, key, from)
		},
	}
	ch.register(c)
	c.Flags().StringVar(&from, "from", "", "name of the VM whose state is written back; empty: the VM with the newest")
	return c
}

func (dc *documentCommand) reconcile(c *cobra.Command, ch *changeFlags, key, from string) error {
	v, err := pickSource(dc.queryVMs(c.Context()), key, from)
	if err != nil {
		return err
	}
	served, err := fetchDocument(c.Context(), v.peerAddress, key)
	if err != nil {
		return exitErrorf(1, "can't fetch the document from VM %s: %v", v.label(), err)
	}
	store := dc.openStore()
	defer store.Close()
	stored, err := loadDocument(c.Context(), store, key)
	if err == nil && stored != nil && stored.DescendsFrom(served) && !served.Ref().NewerThan(stored.Ref()) {
		return exitErrorf(1, "nothing to reconcile: the store holds %v, which descends from %v on VM %s", stored.Ref(), served.Ref(), v.label())
	}
	if err != nil && !isUnreadable(err) {
		return err
	}
	opts := []committer.Option{committer.WithTimeout(tier.Millis(ch.retryMs))}
	return dc.commit(c, ch, committer.NewReconciliation(served, ch.id, ch.who, ch.reason, dc.clock.WallTime(), opts...))
}

// isUnreadable reports whether err means that the stored document is corrupt or invalid, so
// that a reconciliation may replace it.
func isUnreadable(err error) bool {
	var corrupt *replicator.CorruptError
	var invalid *tier.InvalidError
	return errors.As(err, &corrupt) || errors.As(err, &invalid)
}

// pickSource returns the VM that serves the newest state of a document. If from is not empty,
// only the VM of that name is considered.
func pickSource(configurations []vmConfiguration, key, from string) (vmConfiguration, error) {
	var best vmConfiguration
	highest := replicator.NewRef(key, 0, 0, "")
	for _, v := range configurations {
		if v.err != nil || (from != "" && v.name != from) {
			continue
		}
		if r := v.ref(key); r.NewerThan(highest) {
			best, highest = v, r
		}
	}
	if highest.Revision() == 0 {
		return best, exitErrorf(1, "none of the VMs serves %s", key)
	}
	return best, nil
}

// fetchDocument fetches a complete document from a VM.
func fetchDocument(ctx context.Context, address, key string) (*replicator.State, error) {
	ctx, cancel := withTimeout(ctx, vmTimeout)
	defer cancel()
	peer := peerv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+address)
	wanted := &peerv1.DocumentRef{Key: strings.TrimPrefix(key, replicator.KeyPrefix)}
	r, err := peer.Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Have: []*peerv1.DocumentRef{wanted}}))
	if err != nil {
		return nil, errors.Wrap(err, "fetchDocument")
	}
	if len(r.Msg.GetUpdates()) != 1 {
		return nil, errors.Errorf("%d documents instead of one", len(r.Msg.GetUpdates()))
	}
	return replicator.Decode(key, r.Msg.GetUpdates()[0].GetWhole())
}
