package etcdgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/pkg/errors"

	"cicadagrade.example/tier/storer"
)

// compactedError says that the changes after the asked revision are gone;
// those from revision on remain.
type compactedError struct{ revision int64 }

func (e *compactedError) Error() string {
	return fmt.Sprintf("compacted up to revision %d", e.revision)
}

// Watch calls changed for each change after revision from to a key that
// starts with prefix. If the store has dropped old changes it goes on from
// the oldest that remain. It ends with ctx's error or, when the stream
// breaks, with an *storer.UnavailableError.
func (g *Gateway) Watch(ctx context.Context, prefix string, from int64, changed func(storer.Value)) error {
	start := from + 1
	err := g.watch(ctx, prefix, start, changed)
	var compacted *compactedError
	if errors.As(err, &compacted) && compacted.revision > start {
		err = g.watch(ctx, prefix, compacted.revision, changed)
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	} else {
		err = storer.NewUnavailableError("watch", err)
	}
	g.observer("watch", err)
	return errors.Wrap(err, "Gateway.Watch")
}

// watch reads one stream until it breaks; it never returns nil.
func (g *Gateway) watch(ctx context.Context, prefix string, start int64, changed func(storer.Value)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := watchRequest{Create: watchCreate{Key: []byte(prefix), End: prefixEnd(prefix), Start: start}}
	var sent atomic.Bool
	body, err := g.open(ctx, "/v3/watch", request, &sent)
	if err != nil {
		return err
	}
	defer body.Close()
	d := json.NewDecoder(body)
	for {
		var reply watchReply
		if err := d.Decode(&reply); err != nil {
			return err
		}
		if err := reply.pass(changed); err != nil {
			return err
		}
	}
}

func (r *watchReply) pass(changed func(storer.Value)) error {
	switch {
	case r.Error != nil:
		return fmt.Errorf("the store ended the watch: %s", r.Error.Message)
	case r.Result.Canceled:
		return &compactedError{revision: r.Result.CompactRevision}
	}
	for _, e := range r.Result.Events {
		v := e.Value.value()
		if e.Type == deleteEvent {
			v = storer.NewValue(v.Key(), nil, 0)
		}
		changed(v)
	}
	return nil
}
