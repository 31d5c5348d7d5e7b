// Package tier holds the domain types of the query tier: profiles, ranks, shard sets,
// backend servers, VMs, snapshots, coverage and outcomes.
//
// Entry VMs accept the callers' searches and bookings and send them to the backend servers
// that hold the shards; such a call for one shard is a leaf call. The entry VM that receives
// a request is its front. For each shard set and data centre, one or a few entry VMs, the
// owners, schedule the slots of the backend servers there, and fronts send them their parts
// of a request.
//
// The sub-packages implement the coordination between VMs. Most are state machines without
// I/O, which the daemon, tests and other programs drive with events and a clock.
package tier

import (
	"sync/atomic"
	"time"
)

// Millis is a point in time or a duration, in milliseconds.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
	Day         Millis = 24 * Hour
)

// MillisFromDuration converts d to milliseconds, truncating fractions.
func MillisFromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock tells monotonic time, for deadlines and timeouts, and wall-clock time, for audit
// entries and the dates in idempotency keys.
type Clock struct {
	now      func() Millis
	wallTime func() Millis
}

// NewClock returns a clock that reads the system time.
func NewClock() *Clock {
	start := time.Now()
	return &Clock{
		now:      func() Millis { return MillisFromDuration(time.Since(start)) },
		wallTime: func() Millis { return Millis(time.Now().UnixMilli()) },
	}
}

// Now is the monotonic time in milliseconds since the clock's start.
func (c *Clock) Now() Millis { return c.now() }

// WallTime is the wall-clock time in milliseconds since the Unix epoch.
func (c *Clock) WallTime() Millis { return c.wallTime() }

// ManualClock is a time source that only Advance moves, for tests and replays.
type ManualClock struct {
	elapsed atomic.Int64
	start   Millis
}

// NewManualClock returns a manual clock whose wall-clock time starts at start.
func NewManualClock(start Millis) *ManualClock { return &ManualClock{start: start} }

// Advance moves the clock forward by d.
func (m *ManualClock) Advance(d Millis) { m.elapsed.Add(int64(d)) }

// Clock returns a Clock that reads m.
func (m *ManualClock) Clock() *Clock {
	now := func() Millis { return Millis(m.elapsed.Load()) }
	return &Clock{now: now, wallTime: func() Millis { return m.start + now() }}
}
