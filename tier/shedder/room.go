package shedder

import "cicadagrade.example/tier"

const (
	// minRoomParts is how many parts a window needs for a verdict.
	minRoomParts = 10
	// lateFraction is the part of a window's parts that must be late to lower the level, inverted.
	lateFraction = 4
	// minLateWindows is how many windows in a row must be late: leafs pause for two or three of them.
	minLateWindows = 4
	// roomDecrease is the factor of the level in such a window.
	roomDecrease = 0.8
)

// Room is the level of requests that need many leafs. It falls while most of their parts wait long
// for a leaf with capacity, that is, while the leafs that this VM reaches can't do what is asked. It
// answers queues at all leafs, not at some that are slow. It is not safe for concurrent use.
type Room struct {
	level       float64
	judgedAt    tier.Millis
	parts, late int
	lateWindows int // in a row
}

// NewRoom returns a level at which all requests are taken.
func NewRoom() *Room { return &Room{level: 1} }

// Heard records how many parts have been sent or given up since the last time, and how many of them
// had waited long.
func (r *Room) Heard(now tier.Millis, parts, late int) {
	r.parts, r.late = r.parts+parts, r.late+late
	if now-r.judgedAt < window {
		return
	}
	if r.parts < minRoomParts || lateFraction*r.late < r.parts {
		r.level, r.lateWindows = min(1, r.level+increase), 0
	} else if r.lateWindows++; r.lateWindows >= minLateWindows {
		r.level = max(minLevel, r.level*roomDecrease)
	}
	r.judgedAt, r.parts, r.late = now, 0, 0
}

// Level is the part of the requests that are taken now, from 0 to 1.
func (r *Room) Level() float64 { return r.level }
