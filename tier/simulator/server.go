package simulator

import "cicadagrade.example/tier"

// job is one leaf call at a modelled server.
type job struct {
	entry   int // the entry VM that sent it
	attempt uint64
	took    tier.Millis // service time
	rank    tier.Rank
	ended   bool
	at      tier.Millis // of its end
	started bool
}

// server is a modelled backend server: its slots run jobs, and what is sent
// beyond them waits in order of arrival.
type server struct {
	slots   int
	factor  float64 // on service times
	running int
	waiting []*job
	shed    int // slots that it sheds calls for
	most    int // calls held at once beyond the slots
}

// sheds reports whether the server turns a new call away.
func (s *server) sheds() bool { return s.shed > 0 && s.running >= s.slots-s.shed }

// arrive takes a job and returns it if it starts at once.
func (s *server) arrive(j *job) *job {
	s.most = max(s.most, s.running+len(s.waiting)+1-s.slots)
	if s.running < s.slots {
		return s.begin(j)
	}
	s.waiting = append(s.waiting, j)
	return nil
}

func (s *server) begin(j *job) *job {
	s.running++
	j.started = true
	return j
}

// leave ends a job and returns the one that starts in its place, if any.
func (s *server) leave(now tier.Millis, j *job) *job {
	j.ended, j.at = true, now
	if !j.started {
		s.drop(j)
		return nil
	}
	s.running--
	if len(s.waiting) == 0 {
		return nil
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	return s.begin(next)
}

func (s *server) drop(j *job) {
	for i, o := range s.waiting {
		if o == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}
