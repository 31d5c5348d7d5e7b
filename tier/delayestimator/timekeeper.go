// Package delayestimator tells how much of a caller's patience is gone when its
// request arrives, and how long the answer will be on its way. Callers say only
// how much time they have left when they send.
package delayestimator

import "cicadagrade.example/tier"

const (
	// cameBackShare is the part of a first request's time that one has left at
	// most that comes back after a refusal or a failure.
	cameBackShare = 0.95
	// maxRoutes bounds the routes whose callers' time is remembered.
	maxRoutes = 4096
	// openedFor is how soon after its connection a request comes at the latest
	// for which the connection was opened: it follows at once, but a VM of low
	// power may look a little later.
	openedFor = 10 * tier.Millisecond
)

// Connection is what is known of a caller's connection.
type Connection struct {
	opened tier.Millis
	trip   tier.Millis
	used   bool
}

// NewConnection returns a connection that was accepted at a time, on the clock
// of Arrived; trip is the round trip to the caller, or 0 if it is not known.
func NewConnection(opened, trip tier.Millis) *Connection {
	return &Connection{opened: opened, trip: trip}
}

// Arrival is what is known of one request.
type Arrival struct {
	spent    tier.Millis
	trip     tier.Millis
	cameBack bool
}

// Elapsed is the time from the caller's decision to ask until it sent the request.
func (a Arrival) Elapsed() tier.Millis { return a.spent }

// RoundTrip is the time that the request and its answer are under way.
func (a Arrival) RoundTrip() tier.Millis { return a.trip }

// IsRetry reports whether the caller has asked before.
func (a Arrival) IsRetry() bool { return a.cameBack }

// Estimator keeps what callers' requests have shown. It is not safe for
// concurrent use.
type Estimator struct {
	most map[string]tier.Millis // time left of a route's first requests
}

// New returns a timekeeper that has seen nothing.
func New() *Estimator { return &Estimator{most: map[string]tier.Millis{}} }

// RequestArrived takes a request on a connection; left is what its caller says it has
// left, if limited. A caller that opens a connection for a request has spent a
// round trip on that.
func (k *Estimator) RequestArrived(now tier.Millis, c *Connection, route string, left tier.Millis, limited bool) Arrival {
	a := Arrival{trip: c.trip}
	if !c.used && now-c.opened <= openedFor {
		a.spent = c.trip
	}
	c.used = true
	if !limited {
		return a
	}
	if len(k.most) > maxRoutes {
		clear(k.most)
	}
	most := max(k.most[route], left)
	k.most[route] = most
	a.cameBack = float64(left) < cameBackShare*float64(most)
	return a
}
