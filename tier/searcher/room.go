package searcher

import "cicadagrade.example/tier"

// maxWaitFraction is the part of the time until a search's target that a part may wait for a leaf with
// capacity before it counts as late.
const maxWaitFraction = 3

// RoomUse counts parts of searches over several services by how long they have waited for a leaf with
// capacity.
type RoomUse struct{ parts, late int }

// Parts is how many have been sent, or have stopped waiting without having been.
func (u RoomUse) Parts() int { return u.parts }

// Late is how many of them have waited for more than a third of the time until the target.
func (u RoomUse) Late() int { return u.late }

// TakeRoomUse returns the counts since the last time.
func (sc *Scheduler) TakeRoomUse() RoomUse {
	use := sc.room
	sc.room = RoomUse{}
	return use
}

// countRoom counts a part that is sent for the first time or stops waiting.
func (s *Search) countRoom(now tier.Millis, p *part) {
	if s.terms.forwardFailures || len(p.tried) > 0 {
		return
	}
	s.scheduler.room.parts++
	if p.queuedAt > 0 && now-p.queuedAt > max(0, s.targetTime)/maxWaitFraction {
		s.scheduler.room.late++
	}
}
