package entry

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/delayestimator"
	"cicadagrade.example/tier/router"
)

// minConnectionLifetime is the least time after which a caller's connection is closed; a
// random time of up to half of it is added. Without a limit, callers that were sent here
// while the VMs of their own data centre were down would stay for good, with 20 ms of
// extra latency. A new connection costs a round trip to the balancer.
const minConnectionLifetime = 4 * tier.Second

// connectionKey is the key of a caller's connection in a request's context.
type connectionKey struct{}

// connection is the state of one caller's connection.
type connection struct {
	expiresAt tier.Millis                // time after which the next response closes it
	timing    *delayestimator.Connection // guarded by Entry.mu
}

// ConnContext adds the state of a caller's new connection to its context. It is the
// ConnContext hook of an http.Server.
func (e *Entry) ConnContext(ctx context.Context, c net.Conn) context.Context {
	now := e.clock.Now()
	expiresAt := now + minConnectionLifetime + tier.Millis(rand.Int64N(int64(minConnectionLifetime/2)))
	rtt, err := roundTripTime(c)
	if err != nil && !e.rttFaultLogged.Swap(true) {
		e.log.Warn("round-trips-not-known", "error", err)
	}
	ctx = e.acceptor.ConnContext(ctx, c)
	return context.WithValue(ctx, connectionKey{}, &connection{expiresAt: expiresAt, timing: delayestimator.NewConnection(now, rtt)})
}

// roundTripTime returns the kernel's estimate of a connection's round-trip time, which for
// a new connection comes from the TCP handshake. It returns 0 if the connection is not TCP.
func roundTripTime(c net.Conn) (tier.Millis, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, errors.Wrap(err, "roundTripTime")
	}
	var info *unix.TCPInfo
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		info, sockErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err == nil {
		err = sockErr
	}
	if err != nil {
		return 0, errors.Wrap(err, "roundTripTime")
	}
	return tier.Millis(math.Round(float64(info.Rtt) / microsecondsPerMillisecond)), nil
}

const microsecondsPerMillisecond = 1000

// connectionExpired reports whether a request's connection has reached its lifetime and is
// to be closed after the response.
func connectionExpired(ctx context.Context, now tier.Millis) bool {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	return ok && now >= c.expiresAt
}

// recordArrival estimates how much time a caller had spent on a request by start, when the
// request's header had been read, and how long the network needs for both ways.
func (e *Entry) recordArrival(ctx context.Context, start tier.Millis, route *router.Route, attempt platform.Attempt) delayestimator.Arrival {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		c = &connection{timing: delayestimator.NewConnection(0, 0)}
	}
	left, limited := attempt.TimeLeft()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.delayEstimator.RequestArrived(start, c.timing, route.Name(), left, limited)
}
