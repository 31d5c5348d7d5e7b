// Package shedder decides which requests a VM takes when it has more work than its processor can
// do. It answers overload that lasts: ready goroutines that wait for their turn all the time,
// while work that callers have given up takes part of each second. What is refused at the door
// costs little, and the VM's own reads of the store and answers to other VMs stay timely.
package shedder

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"cicadagrade.example/tier"
)

const (
	// window is the time over which waits are judged.
	window = 100 * tier.Millisecond
	// maxStandingWait is the wait for a turn that even the shortest wait of a window may not exceed:
	// a queue that never empties, and not a burst. Other VMs wait little longer for the
	// acknowledgement of a share.
	maxStandingWait = 20 * tier.Millisecond
	// decrease is the factor of the level in a window with a standing queue, and increase what is
	// added in one without.
	decrease = 0.6
	increase = 0.04
	// minLevel keeps some requests coming, which find out when the overload ends.
	minLevel = 0.02
)

// Shedder is the state of one VM. It is not safe for concurrent use.
type Shedder struct {
	level     float64     // part of the requests that are taken
	waiting   bool        // a goroutine waits for its turn
	waitingAt tier.Millis // since when
	judgedAt  tier.Millis // end of the last window
	waits     int         // in the present window
	least     tier.Millis // the shortest of them
}

// New returns a shedder that takes all requests.
func New() *Shedder { return &Shedder{level: 1} }

// Waiting records that a goroutine begins to wait for its turn on the processor.
func (s *Shedder) Waiting(now tier.Millis) { s.waiting, s.waitingAt = true, now }

// Waited records that it has its turn.
func (s *Shedder) Waited(now tier.Millis) {
	if !s.waiting {
		return
	}
	waited := now - s.waitingAt
	s.waiting = false
	s.waits++
	if s.waits == 1 || waited < s.least {
		s.least = waited
	}
	switch {
	case waited >= window, s.windowEnded(now) && s.least > maxStandingWait:
		s.level = s.lowered(waited)
	case s.windowEnded(now):
		s.level = min(1, s.level+increase)
	default:
		return
	}
	s.judgedAt, s.waits = now, 0
}

// windowEnded reports whether enough is known of the present window to judge it. A single wait may
// be that for a burst.
func (s *Shedder) windowEnded(now tier.Millis) bool { return s.waits > 1 && now-s.judgedAt >= window }

// lowered is the level after a wait: it falls once for each window of it, and once at least.
func (s *Shedder) lowered(waited tier.Millis) float64 {
	steps := max(1, float64(waited/window))
	return max(minLevel, s.level*math.Pow(decrease, steps))
}

// Level is the part of the requests that are taken now, from 0 to 1.
func (s *Shedder) Level(now tier.Millis) float64 {
	if s.waiting && now-s.waitingAt >= window {
		return s.lowered(now - s.waitingAt)
	}
	return s.level
}

// Admits reports whether a level admits a request. All VMs admit the same requests at the same
// level, so that one of several VMs does not work for a request that another one refuses. Of the
// most urgent requests, those of rank 0, more are admitted.
func Admits(level float64, rank int, attemptID string) bool {
	if level >= 1 {
		return true
	}
	if rank == 0 {
		level = math.Sqrt(level)
	}
	return float64(xxhash.Sum64String(attemptID)>>11)/(1<<53) < level
}
