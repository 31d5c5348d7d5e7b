package leafserver

import (
	"sync"

	"cicadagrade.example/tier"
)

// maxJournal bounds the entries kept of each kind; later ones are counted
// only.
const maxJournal = 1 << 20

// ServedSearch is a search call that ran to its end.
type ServedSearch struct {
	At      tier.Millis  `json:"at-ms"`
	Server  string       `json:"server"`
	Attempt string       `json:"attempt"`
	Set     string       `json:"set"`
	Shard   string       `json:"shard"`
	Term    string       `json:"term"`
	Epoch   tier.Epoch   `json:"epoch"`
	Version tier.Version `json:"version"`
}

// AppliedBooking is a booking that took effect.
type AppliedBooking struct {
	At        tier.Millis `json:"at-ms"`
	Server    string      `json:"server"`
	Attempt   string      `json:"attempt"`
	Set       string      `json:"set"`
	Shard     string      `json:"shard"`
	RecordKey string      `json:"record-key"`
	Body      string      `json:"body"`
	Receipt   string      `json:"receipt"`
}

// Journal records what servers really ran. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	served  []ServedSearch
	booked  []AppliedBooking
	started map[string]int
	skipped skips
}

// skips counts entries of each kind that found no room.
type skips struct{ served, booked, started int }

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{started: map[string]int{}} }

// ServedSearches lists the searches that ran, from the given entry on.
func (j *Journal) ServedSearches(from int) []ServedSearch {
	j.mu.Lock()
	defer j.mu.Unlock()
	return tail(j.served, from)
}

// AppliedBookings lists the bookings that took effect, from the given entry on.
func (j *Journal) AppliedBookings(from int) []AppliedBooking {
	j.mu.Lock()
	defer j.mu.Unlock()
	return tail(j.booked, from)
}

func (j *Journal) skips() skips {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.skipped
}

func (j *Journal) addServed(s ServedSearch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.served) >= maxJournal {
		j.skipped.served++
		return
	}
	j.served = append(j.served, s)
}

func (j *Journal) addBooked(b AppliedBooking) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.booked) >= maxJournal {
		j.skipped.booked++
		return
	}
	j.booked = append(j.booked, b)
}

// addStarted notes that a search with this tag began to run.
func (j *Journal) addStarted(tag string) {
	if tag == "" {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.started[tag]; !ok && len(j.started) >= maxJournal {
		j.skipped.started++
		return
	}
	j.started[tag]++
}

// StartedTags picks out the tags of which a search began to run.
func (j *Journal) StartedTags(tags []string) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := []string{}
	for _, t := range tags {
		if j.started[t] > 0 {
			out = append(out, t)
		}
	}
	return out
}

// tail copies list from an index on; it is never nil.
func tail[T any](list []T, from int) []T {
	from = min(max(from, 0), len(list))
	return append([]T{}, list[from:]...)
}
