package simulator

import "cicadagrade.example/tier"

// job is one leaf call at a modelled server.
type job struct {
	entryVM     int // index of the entry VM that sent the call
	attempt     uint64
	serviceTime tier.Millis
	rank        tier.Rank
	ended       bool
	endedAt     tier.Millis
	started     bool
}

// server is a modelled backend server. Its slots run jobs, and jobs beyond them wait in order
// of arrival.
type server struct {
	slots     int
	slowdown  float64 // factor on service times
	running   int
	waiting   []*job
	shedSlots int // slots for which it sheds calls
	maxExcess int // most calls held at once beyond the slots
}

// sheds reports whether the server would shed a new call.
func (s *server) sheds() bool { return s.shedSlots > 0 && s.running >= s.slots-s.shedSlots }

// addJob adds a job and returns it if it starts at once, or nil if it has to wait.
func (s *server) addJob(j *job) *job {
	s.maxExcess = max(s.maxExcess, s.running+len(s.waiting)+1-s.slots)
	if s.running < s.slots {
		return s.startJob(j)
	}
	s.waiting = append(s.waiting, j)
	return nil
}

func (s *server) startJob(j *job) *job {
	s.running++
	j.started = true
	return j
}

// endJob ends a job, running or waiting, and returns the job that starts in its slot, if any.
func (s *server) endJob(now tier.Millis, j *job) *job {
	j.ended, j.endedAt = true, now
	if !j.started {
		s.removeWaiting(j)
		return nil
	}
	s.running--
	if len(s.waiting) == 0 {
		return nil
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	return s.startJob(next)
}

func (s *server) removeWaiting(j *job) {
	for i, other := range s.waiting {
		if other == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}
