package entry

import (
	"context"
	"math/rand/v2"
	"net"

	"cicadagrade.example/tier"
)

// connectionAge is how long a caller's connection is used, and half as long
// again at most. Callers that came while the VMs of their own data centre were
// away would stay for good otherwise, 20 ms further from home; a new connection
// costs a round trip to the balancer.
const connectionAge = 4 * tier.Second

// endKey is the key of the time at which a connection is to end.
type endKey struct{}

// ConnectionContext keeps with a caller's connection when it is to end.
func (e *Entry) ConnectionContext(ctx context.Context, _ net.Conn) context.Context {
	end := e.clock.Now() + connectionAge + tier.Millis(rand.Int64N(int64(connectionAge/2)))
	return context.WithValue(ctx, endKey{}, end)
}

// connectionEnds reports whether the connection of a request is to end with it.
func connectionEnds(ctx context.Context, now tier.Millis) bool {
	end, ok := ctx.Value(endKey{}).(tier.Millis)
	return ok && now >= end
}
