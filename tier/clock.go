// Package tier holds the domain objects of the query tier: profiles, ranks,
// shard sets, backend servers, VMs, snapshots, coverage and outcomes. Its
// sub-packages hold the coordination parts, each a state machine without I/O
// that the daemon, tests and other programs drive alike.
package tier

import (
	"sync/atomic"
	"time"
)

// Millis is a point in time or a span of time, in milliseconds.
type Millis int64

// Spans of time in milliseconds.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute      Millis = 60 * Second
	Hour        Millis = 60 * Minute
	Day         Millis = 24 * Hour
)

// MillisFromDuration rounds d down to whole milliseconds.
func MillisFromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Duration converts m for the standard library's timers.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock tells monotonic time, for deadlines and timeouts, and wall time, for
// audit entries and the dates of idempotency keys.
type Clock struct {
	now  func() Millis
	wall func() Millis
}

// NewClock returns a clock that reads the machine's time.
func NewClock() *Clock {
	start := time.Now()
	return &Clock{
		now:  func() Millis { return MillisFromDuration(time.Since(start)) },
		wall: func() Millis { return Millis(time.Now().UnixMilli()) },
	}
}

// Now is the monotonic time in milliseconds since the clock's start.
func (c *Clock) Now() Millis { return c.now() }

// WallTime is the wall time in milliseconds since the Unix epoch.
func (c *Clock) WallTime() Millis { return c.wall() }

// ManualClock moves only when told to, for tests and replays.
type ManualClock struct {
	elapsed atomic.Int64
	start   Millis
}

// NewManualClock returns a clock whose wall time starts at start.
func NewManualClock(start Millis) *ManualClock { return &ManualClock{start: start} }

// Advance moves the clock forward by d.
func (m *ManualClock) Advance(d Millis) { m.elapsed.Add(int64(d)) }

// Clock is the view of m that readers take.
func (m *ManualClock) Clock() *Clock {
	now := func() Millis { return Millis(m.elapsed.Load()) }
	return &Clock{now: now, wall: func() Millis { return m.start + now() }}
}
