package leafserver

import (
	"sync"

	"cicadagrade.example/tier"
)

// maxEntries bounds the entries of each kind. Later ones are skipped and counted.
const maxEntries = 1 << 20

// ServedSearch is a search that ran to its end.
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

// Journal records which searches and bookings servers ran, whatever their callers were
// told. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	served  []ServedSearch
	booked  []AppliedBooking
	started map[string]int // searches by tag
	skipped skippedEntries
}

// skippedEntries counts the entries of each kind that were skipped because the journal was
// full.
type skippedEntries struct{ served, booked, started int }

// NewJournal returns an empty journal.
func NewJournal() *Journal { return &Journal{started: map[string]int{}} }

// ServedSearches lists the searches that ran to their end, from the given entry on.
func (j *Journal) ServedSearches(from int) []ServedSearch {
	j.mu.Lock()
	defer j.mu.Unlock()
	return copyFrom(j.served, from)
}

// AppliedBookings lists the bookings that took effect, from the given entry on.
func (j *Journal) AppliedBookings(from int) []AppliedBooking {
	j.mu.Lock()
	defer j.mu.Unlock()
	return copyFrom(j.booked, from)
}

func (j *Journal) skippedCounts() skippedEntries {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.skipped
}

func (j *Journal) addServed(s ServedSearch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.served) >= maxEntries {
		j.skipped.served++
		return
	}
	j.served = append(j.served, s)
}

func (j *Journal) addBooked(b AppliedBooking) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.booked) >= maxEntries {
		j.skipped.booked++
		return
	}
	j.booked = append(j.booked, b)
}

// addStarted records that a search with this tag began to run.
func (j *Journal) addStarted(tag string) {
	if tag == "" {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.started[tag]; !ok && len(j.started) >= maxEntries {
		j.skipped.started++
		return
	}
	j.started[tag]++
}

// StartedTags returns those of the tags for which a search began to run.
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

// copyFrom copies list from an index on. The copy is never nil, so that JSON has [].
func copyFrom[T any](list []T, from int) []T {
	from = min(max(from, 0), len(list))
	return append([]T{}, list[from:]...)
}
