package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/delayestimator"
	"cicadagrade.example/tier/router"
)

// connectionAge is how long a caller's connection is used, and half as long
// again at most. Callers that came while the VMs of their own data centre were
// away would stay for good otherwise, 20 ms further from home; a new connection
// costs a round trip to the balancer.
const connectionAge = 4 * tier.Second

// connectionKey is the key of a caller's connection in a request's context.
type connectionKey struct{}

// connection is a caller's.
type connection struct {
	end    tier.Millis                // when it is to end
	caller *delayestimator.Connection // guarded by Entry.mu
}

// ConnContext keeps with a caller's connection what is known of it.
func (e *Entry) ConnContext(ctx context.Context, c net.Conn) context.Context {
	now := e.clock.Now()
	end := now + connectionAge + tier.Millis(rand.Int64N(int64(connectionAge/2)))
	trip, err := roundTrip(c)
	if err != nil && !e.tripless.Swap(true) {
		e.log.Warn("round-trips-not-known", "error", err)
	}
	return context.WithValue(ctx, connectionKey{}, &connection{end: end, caller: delayestimator.NewConnection(now, trip)})
}

// roundTrip is the system's measure of a connection's round trip, which it has
// from the packets that opened it.
func roundTrip(c net.Conn) (tier.Millis, error) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return 0, nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "roundTrip")
	}
	var info *unix.TCPInfo
	var failed error
	err = raw.Control(func(fd uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return 0, errors.Wrap(err, "roundTrip")
	}
	return tier.Millis(math.Round(float64(info.Rtt) / microseconds)), nil
}

// microseconds are in a millisecond.
const microseconds = 1000

// connectionEnds reports whether the connection of a request is to end with it.
func connectionEnds(ctx context.Context, now tier.Millis) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && now >= c.end
}

// arrived reckons how long a request and its caller have been under way when its
// header was in.
func (e *Entry) arrived(ctx context.Context, start tier.Millis, route *router.Route, s platform.Attempt) delayestimator.Arrival {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		c = &connection{caller: delayestimator.NewConnection(0, 0)}
	}
	left, limited := s.TimeLeft()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.timekeeper.RequestArrived(start, c.caller, route.Name(), left, limited)
}
