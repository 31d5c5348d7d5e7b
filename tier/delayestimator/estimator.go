// Package delayestimator estimates how much time a caller had already spent when its
// request arrived, and how long request and answer travel. Callers only state how
// much time they have left when they send.
package delayestimator

import "cicadagrade.example/tier"

const (
	// retryTimeFraction tells retries from first requests: a caller that retries after
	// a refusal or a failure has less than this fraction of a first request's time
	// left.
	retryTimeFraction = 0.95
	// maxTrackedRoutes bounds the routes whose longest time left is remembered.
	maxTrackedRoutes = 4096
	// connectionSetupWindow is how soon after a connection is accepted its first
	// request arrives if the connection was opened for it. The request follows at
	// once, but a VM of little CPU capacity may read it later.
	connectionSetupWindow = 10 * tier.Millisecond
)

// Connection is the state of a caller's connection.
type Connection struct {
	openedAt  tier.Millis
	roundTrip tier.Millis // to the caller, or 0 if unknown
	used      bool        // a request has arrived on it
}

// NewConnection returns a connection accepted at openedAt, on the clock of
// RequestArrived. roundTrip is the round trip to the caller, or 0 if unknown.
func NewConnection(openedAt, roundTrip tier.Millis) *Connection {
	return &Connection{openedAt: openedAt, roundTrip: roundTrip}
}

// Arrival holds the estimates for one request.
type Arrival struct {
	elapsed   tier.Millis
	roundTrip tier.Millis
	isRetry   bool
}

// Elapsed is the time that the caller had spent before it sent the request.
func (a Arrival) Elapsed() tier.Millis { return a.elapsed }

// RoundTrip is the time that the request and its answer travel.
func (a Arrival) RoundTrip() tier.Millis { return a.roundTrip }

// IsRetry reports whether the request is a retry by its caller.
func (a Arrival) IsRetry() bool { return a.isRetry }

// Estimator holds what is needed to recognise retries. It is not safe for
// concurrent use.
type Estimator struct {
	maxTimeLeft map[string]tier.Millis // longest time left of any request, by route
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{maxTimeLeft: map[string]tier.Millis{}} }

// RequestArrived records a request on a connection and returns its estimates. left is
// the time that the caller has left, if limited. A caller that opens a connection for a
// request has spent a round trip on that.
func (e *Estimator) RequestArrived(now tier.Millis, conn *Connection, route string, left tier.Millis, limited bool) Arrival {
	a := Arrival{roundTrip: conn.roundTrip}
	if !conn.used && now-conn.openedAt <= connectionSetupWindow {
		a.elapsed = conn.roundTrip
	}
	conn.used = true
	if !limited {
		return a
	}
	if len(e.maxTimeLeft) > maxTrackedRoutes {
		clear(e.maxTimeLeft)
	}
	longest := max(e.maxTimeLeft[route], left)
	e.maxTimeLeft[route] = longest
	a.isRetry = float64(left) < retryTimeFraction*float64(longest)
	return a
}
