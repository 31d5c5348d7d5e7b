package watcher

import (
	"context"

	"connectrpc.com/connect"

	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"

	peerv1 "cicadagrade.example/api/peer/v1"
)

// runLists reads all documents from the store whenever the replicator requests it.
func (w *Watcher) runLists(ctx context.Context) error {
	for {
		if _, err := w.listRequests.Pop(ctx); err != nil {
			return err
		}
		values, err := w.store.List(ctx, replicator.KeyPrefix, 0)
		if err != nil {
			w.handleEvent(&replicator.ListFailed{})
			continue
		}
		w.handleEvent(replicator.NewListed(values))
	}
}

// runWatches watches the store whenever the replicator requests it, until the watch is
// cancelled.
func (w *Watcher) runWatches(ctx context.Context) error {
	for {
		request, err := w.watchRequests.Pop(ctx)
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
		_ = w.store.Watch(request.ctx, replicator.KeyPrefix, request.from, func(v storer.Value) {
			w.handleEvent(replicator.NewChanged(v))
		})
		if request.ctx.Err() == nil && ctx.Err() == nil {
			w.handleEvent(&replicator.WatchEnded{})
		}
	}
}

// runFetches fetches documents from other VMs whenever the replicator requests it.
func (w *Watcher) runFetches(ctx context.Context) error {
	for {
		request, err := w.fetchRequests.Pop(ctx)
		if err != nil {
			return err
		}
		updates, err := w.fetchFrom(ctx, request)
		if err != nil {
			w.handleEvent(replicator.NewFetchFailed(request.VM()))
			continue
		}
		w.handleEvent(replicator.NewFetched(request.VM(), updates))
	}
}

// unknownPeerError reports that a VM can't be reached because its address is unknown.
type unknownPeerError struct{ vm string }

func (e *unknownPeerError) Error() string { return "no address is known of VM " + e.vm }

// fetchFrom asks the VM of a request for the documents that are newer than those held here.
func (w *Watcher) fetchFrom(ctx context.Context, request *replicator.Fetch) ([]replicator.Update, error) {
	peer, ok := w.dial(request.VM())
	if !ok {
		return nil, &unknownPeerError{vm: request.VM()}
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	reply, err := peer.Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Have: encodeRefs(request.Have())}))
	if err != nil {
		return nil, err
	}
	return decodeUpdates(reply.Msg.GetUpdates()), nil
}

// Fetch implements the peer service's Fetch: it returns the documents that are newer than
// those that the other VM holds.
func (w *Watcher) Fetch(_ context.Context, r *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchReply], error) {
	have := decodeRefs(r.Msg.GetHave())
	w.mu.Lock()
	updates := w.replicator.UpdatesFor(have, r.Msg.GetAll())
	w.mu.Unlock()
	return connect.NewResponse(&peerv1.FetchReply{Updates: encodeUpdates(updates)}), nil
}
