package watcher

import (
	"context"

	"connectrpc.com/connect"

	"cicadagrade.example/tier/replicator"
	"cicadagrade.example/tier/storer"

	peerv1 "cicadagrade.example/api/peer/v1"
)

// list reads the store when the keeper asks.
func (w *Watcher) list(ctx context.Context) error {
	for {
		if _, err := w.lists.Pop(ctx); err != nil {
			return err
		}
		values, err := w.store.List(ctx, replicator.KeyPrefix, 0)
		if err != nil {
			w.step(&replicator.ListFailed{})
			continue
		}
		w.step(replicator.NewListed(values))
	}
}

// watch watches the store when the keeper asks.
func (w *Watcher) watch(ctx context.Context) error {
	for {
		order, err := w.watches.Pop(ctx)
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
		_ = w.store.Watch(order.ctx, replicator.KeyPrefix, order.from, func(v storer.Value) {
			w.step(replicator.NewChanged(v))
		})
		if order.ctx.Err() == nil && ctx.Err() == nil {
			w.step(&replicator.WatchEnded{})
		}
	}
}

// fetch asks peers when the keeper asks.
func (w *Watcher) fetch(ctx context.Context) error {
	for {
		a, err := w.fetches.Pop(ctx)
		if err != nil {
			return err
		}
		updates, err := w.ask(ctx, a)
		if err != nil {
			w.step(replicator.NewFetchFailed(a.VM()))
			continue
		}
		w.step(replicator.NewFetched(a.VM(), updates))
	}
}

type unknownPeerError struct{ vm string }

func (e *unknownPeerError) Error() string { return "no address is known of VM " + e.vm }

func (w *Watcher) ask(ctx context.Context, a *replicator.Fetch) ([]replicator.Update, error) {
	peer, ok := w.dial(a.VM())
	if !ok {
		return nil, &unknownPeerError{vm: a.VM()}
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	reply, err := peer.Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Have: encodeRefs(a.Have())}))
	if err != nil {
		return nil, err
	}
	return decodeUpdates(reply.Msg.GetUpdates()), nil
}

// Fetch serves a peer's request. It is a method of the peer service.
func (w *Watcher) Fetch(_ context.Context, r *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchReply], error) {
	have := decodeRefs(r.Msg.GetHave())
	w.lock.Lock()
	updates := w.keeper.UpdatesFor(have, r.Msg.GetAll())
	w.lock.Unlock()
	return connect.NewResponse(&peerv1.FetchReply{Updates: encodeUpdates(updates)}), nil
}
