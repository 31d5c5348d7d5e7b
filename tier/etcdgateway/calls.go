package etcdgateway

import (
	"context"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// Get reads one key.
func (g *Gateway) Get(ctx context.Context, key string) (storer.Value, error) {
	var reply rangeReply
	err := g.read(ctx, "get", "/v3/kv/range", rangeRequest{Key: []byte(key)}, &reply)
	if err != nil {
		return storer.Value{}, errors.WithMessage(err, "Gateway.Get")
	}
	return first(key, &reply), nil
}

func first(key string, reply *rangeReply) storer.Value {
	if reply == nil || len(reply.Values) == 0 {
		return storer.NewValue(key, nil, 0)
	}
	return reply.Values[0].value()
}

// List reads the keys that start with prefix, in their order.
func (g *Gateway) List(ctx context.Context, prefix string, limit int) ([]storer.Value, error) {
	var reply rangeReply
	request := rangeRequest{Key: []byte(prefix), End: prefixEnd(prefix), Limit: int64(limit)}
	if err := g.read(ctx, "list", "/v3/kv/range", request, &reply); err != nil {
		return nil, errors.WithMessage(err, "Gateway.List")
	}
	out := make([]storer.Value, 0, len(reply.Values))
	for _, k := range reply.Values {
		out = append(out, k.value())
	}
	return out, nil
}

// Swap writes data if the key's revision is expect.
func (g *Gateway) Swap(ctx context.Context, key string, data []byte, expect int64, lease storer.LeaseID) (int64, error) {
	put := &putRequest{Key: []byte(key), Value: data, Lease: int64(lease)}
	reply, err := g.transact(ctx, "swap", key, expect, operation{Put: put})
	if err != nil {
		return 0, errors.WithMessage(err, "Gateway.Swap")
	}
	return reply.Header.Revision, nil
}

// Delete removes the key if its revision is expect.
func (g *Gateway) Delete(ctx context.Context, key string, expect int64) error {
	remove := &rangeRequest{Key: []byte(key)}
	_, err := g.transact(ctx, "delete", key, expect, operation{Delete: remove})
	return errors.WithMessage(err, "Gateway.Delete")
}

func (g *Gateway) transact(ctx context.Context, call, key string, expect int64, success operation) (*transactionReply, error) {
	request := transaction{
		Compare: []compare{{Target: "MOD", Result: "EQUAL", Key: []byte(key), Revision: expect}},
		Success: []operation{success},
		Failure: []operation{{Range: &rangeRequest{Key: []byte(key)}}},
	}
	var reply transactionReply
	if err := g.write(ctx, call, "/v3/kv/txn", request, &reply); err != nil {
		return nil, err
	}
	if reply.Succeeded {
		return &reply, nil
	}
	var current *rangeReply
	if len(reply.Responses) > 0 {
		current = reply.Responses[0].Range
	}
	return nil, errors.WithStack(storer.NewConflictError(first(key, current)))
}

// Grant makes a lease; ttl is rounded up to whole seconds.
func (g *Gateway) Grant(ctx context.Context, ttl tier.Millis) (storer.LeaseID, error) {
	var reply leaseReply
	request := grantRequest{TTL: int64((ttl + tier.Second - 1) / tier.Second)}
	if err := g.write(ctx, "grant", "/v3/lease/grant", request, &reply); err != nil {
		return 0, errors.WithMessage(err, "Gateway.Grant")
	}
	return storer.LeaseID(reply.ID), nil
}

// KeepAlive renews a lease and returns the time it has left, 0 once it has
// lapsed.
func (g *Gateway) KeepAlive(ctx context.Context, id storer.LeaseID) (tier.Millis, error) {
	var reply keepAliveReply
	request := leaseRequest{ID: int64(id)}
	if err := g.write(ctx, "keep-alive", "/v3/lease/keepalive", request, &reply); err != nil {
		return 0, errors.WithMessage(err, "Gateway.KeepAlive")
	}
	return tier.Millis(reply.Result.TTL) * tier.Second, nil
}
