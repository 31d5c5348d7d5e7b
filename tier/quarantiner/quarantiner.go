package quarantiner

import (
	"slices"

	"cicadagrade.example/tier"
)

const (
	// minEndedLeafs is the number of leafs that must have ended under a request before it is
	// refused. Fewer may have ended for other reasons while they had it.
	minEndedLeafs = 3
	// evidenceTTL is how long it counts that a leaf has ended.
	evidenceTTL = 10 * tier.Minute
	// maxRequests bounds the requests that are remembered, and maxLeafs the leafs of each.
	maxRequests = 1024
	maxLeafs    = 64
)

// record is what is known of one request.
type record struct {
	ended   map[string]bool // leafs that have ended, as far as this VM knows
	own     []string        // those that this VM has seen itself
	changed tier.Millis     // when a leaf was added
}

// Quarantiner is one VM's knowledge of the requests under which leafs have ended. VMs tell each
// other of these leafs, since an attempt of the same request may come to any of them. It is
// not safe for concurrent use.
type Quarantiner struct {
	records map[Fingerprint]*record
	refused int64
}

// New returns a quarantiner that knows of no request.
func New() *Quarantiner { return &Quarantiner{records: map[Fingerprint]*record{}} }

// Empty reports whether no request is known, so that none needs a fingerprint.
func (q *Quarantiner) Empty() bool { return len(q.records) == 0 }

// Len is the number of requests under which a leaf has ended.
func (q *Quarantiner) Len() int { return len(q.records) }

// Refused is the number of times that Refuses has refused a request.
func (q *Quarantiner) Refused() int64 { return q.refused }

// Ended records leafs that ended under a request sent by this VM. It returns all such leafs, for
// the other VMs, and whether the request is refused from now on, and was not before.
func (q *Quarantiner) Ended(now tier.Millis, f Fingerprint, leafs []string) (own []string, quarantined bool) {
	quarantined = q.Heard(now, f, leafs)
	r := q.records[f]
	for _, leaf := range leafs {
		if !slices.Contains(r.own, leaf) && len(r.own) < maxLeafs {
			r.own = append(r.own, leaf)
		}
	}
	return slices.Clone(r.own), quarantined
}

// Heard records the leafs that another VM has named. It reports whether the request is refused
// from now on, and was not before.
func (q *Quarantiner) Heard(now tier.Millis, f Fingerprint, leafs []string) bool {
	r, ok := q.records[f]
	if !ok || now-r.changed >= evidenceTTL {
		if !ok && len(q.records) >= maxRequests {
			q.dropOldest()
		}
		r = &record{ended: map[string]bool{}, changed: now}
		q.records[f] = r
	}
	before := len(r.ended)
	for _, leaf := range leafs {
		if !r.ended[leaf] && len(r.ended) < maxLeafs {
			r.ended[leaf], r.changed = true, now
		}
	}
	return before < minEndedLeafs && len(r.ended) >= minEndedLeafs
}

// Answered records that a leaf has answered a request: it does not end each leaf that runs it.
func (q *Quarantiner) Answered(f Fingerprint) { delete(q.records, f) }

// Refuses reports whether a request must not be sent, and for how much longer.
func (q *Quarantiner) Refuses(now tier.Millis, f Fingerprint) (tier.Millis, bool) {
	r, ok := q.records[f]
	if !ok || len(r.ended) < minEndedLeafs || now-r.changed >= evidenceTTL {
		return 0, false
	}
	q.refused++
	return evidenceTTL - (now - r.changed), true
}

// Tick drops requests whose evidence is too old.
func (q *Quarantiner) Tick(now tier.Millis) {
	for f, r := range q.records {
		if now-r.changed >= evidenceTTL {
			delete(q.records, f)
		}
	}
}

// dropOldest makes room for another request. One that is not refused goes first.
func (q *Quarantiner) dropOldest() {
	var oldest Fingerprint
	var found *record
	for f, r := range q.records {
		if found == nil || precedes(r, found) {
			oldest, found = f, r
		}
	}
	delete(q.records, oldest)
}

// precedes reports whether a record is dropped before another.
func precedes(r, other *record) bool {
	refused, otherRefused := len(r.ended) >= minEndedLeafs, len(other.ended) >= minEndedLeafs
	if refused != otherRefused {
		return otherRefused
	}
	return r.changed < other.changed
}
