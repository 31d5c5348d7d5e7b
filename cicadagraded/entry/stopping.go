package entry

import (
	"net/http"
	"time"

	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
)

// Durations of a planned stop.
const (
	// BalancerLag is how long the platform's load balancer takes to notice a failed readiness
	// check: two failed checks, a second apart, and a margin.
	BalancerLag = 2500 * tier.Millisecond
	// ExitMargin is the part of the grace period that is reserved for the exit of the process.
	ExitMargin = 400 * tier.Millisecond
	// lastAnswerMargin is how long before that the last requests are answered.
	lastAnswerMargin = 200 * tier.Millisecond
	// stopRetryAfter is the Retry-After of requests that a VM does not take any more: other VMs take
	// them at once.
	stopRetryAfter = 10 * tier.Millisecond
)

// BeginShutdown makes the readiness check fail, and closes each caller's connection after its
// next response. Requests are still served.
func (e *Entry) BeginShutdown() {
	now := e.clock.Now()
	left := max(0, e.settings.Load().GracePeriod()-ExitMargin-lastAnswerMargin)
	e.stoppingAt.Store(int64(now))
	e.lastAnswerAt.Store(int64(now + left))
	time.AfterFunc(left.Duration(), func() {
		e.mu.Lock()
		e.scheduler.Close()
		e.mu.Unlock()
		close(e.lastAnswers)
	})
	e.stopping.Store(true)
	close(e.shutdown)
	e.log.Info("stopping", "reason", "SIGTERM")
}

// limitToStop bounds the end of a request's time by the last answers of a planned stop.
func (e *Entry) limitToStop(end tier.Millis) tier.Millis {
	if !e.stopping.Load() {
		return end
	}
	return min(end, tier.Millis(e.lastAnswerAt.Load()))
}

// refusesLate reports whether this VM stops and does not take a request any more: the balancer
// sends it no new connections, and the request may not be answered before its connection is closed.
// One that may run at most once needs all of its time, any other one its target time.
func (e *Entry) refusesLate(q *request) bool {
	if !e.stopping.Load() || q.start < tier.Millis(e.stoppingAt.Load())+BalancerLag {
		return false
	}
	needed := q.route.LatencyTarget()
	if !q.route.Idempotent() {
		needed = q.longestTime()
	}
	return q.start+needed > tier.Millis(e.lastAnswerAt.Load())
}

// refuseLate responds to such a request.
func (e *Entry) refuseLate(w http.ResponseWriter, q *request) {
	platform.WriteRetryAfter(w.Header(), stopRetryAfter)
	e.writeRefusal(w, q.attempt, http.StatusServiceUnavailable, "stopping", q.table.Version(), withOrganisation(q.organisationName())...)
}
