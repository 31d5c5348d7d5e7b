package quarantiner

import (
	"slices"

	"cicadagrade.example/tier"
)

const (
	// minEndedLeafs is the number of leafs that must have ended under a request before it is
	// refused, one of them called alone after others. Fewer may have ended for other reasons.
	minEndedLeafs = 3
	// confirmDelay is how long no leaf may answer the request after that. Requests with the
	// content of many others lose several leafs at a time when these end for other
	// reasons, but others of them are answered within this time.
	confirmDelay = 1 * tier.Second
	// evidenceTTL is how long it counts that a leaf has ended.
	evidenceTTL = 10 * tier.Minute
	// warningTTL is how long a warning holds. By then the leafs have been found to have ended, or
	// not.
	warningTTL = 10 * tier.Second
	// maxRecords bounds the fingerprints that are remembered, and maxLeafs the leafs that a VM
	// names for each.
	maxRecords = 2048
	maxLeafs   = 64
)

// Report is what a VM tells the others of the requests of a fingerprint.
type Report struct {
	Leafs    []string // leafs that have ended under them since a leaf last answered one
	Alone    bool     // one of these was called alone, after others had ended
	Answered bool     // a leaf has answered one
}

// heardReport is a Report of another VM.
type heardReport struct {
	leafs    []string
	alone    bool
	revision int64
}

// record is what is known of the requests of one fingerprint.
type record struct {
	own         []string               // leafs that ended under requests of this VM
	ownAlone    bool                   // one of them was called alone, after others had ended
	reported    bool                   // other VMs have been told of own
	heard       map[string]heardReport // by VM
	clearedAt   int64                  // revision of the last report of an answer
	changedAt   tier.Millis            // when a leaf was last added
	suspectedAt tier.Millis            // when minEndedLeafs was reached, or never
	warnedUntil tier.Millis            // until when a warning holds
}

const never = tier.Millis(1) << 60

// ended counts the leafs that have ended since an answer.
func (r *record) ended() int {
	leafs := map[string]bool{}
	for _, leaf := range r.own {
		leafs[leaf] = true
	}
	for _, report := range r.heard {
		if report.revision > r.clearedAt {
			for _, leaf := range report.leafs {
				leafs[leaf] = true
			}
		}
	}
	return len(leafs)
}

// alone reports whether a leaf has ended that was called alone, after others had ended. Leafs that
// end at the same moment may have another cause.
func (r *record) alone() bool {
	for _, report := range r.heard {
		if report.alone && report.revision > r.clearedAt {
			return true
		}
	}
	return r.ownAlone
}

// clear forgets what this VM has seen, as a leaf has answered.
func (r *record) clear() { r.own, r.ownAlone, r.reported, r.warnedUntil = nil, false, false, 0 }

// update notes at now whether enough leafs have ended.
func (r *record) update(now tier.Millis) {
	switch {
	case r.ended() < minEndedLeafs || !r.alone():
		r.suspectedAt = never
	case r.suspectedAt == never:
		r.suspectedAt = now
	}
}

// Quarantiner is one VM's knowledge of the requests under which leafs have ended. VMs tell each
// other of these leafs, since the same request may come to any of them. It is not safe for
// concurrent use.
type Quarantiner struct {
	records map[Fingerprint]*record
	refused int64
}

// New returns a quarantiner that knows of no request.
func New() *Quarantiner { return &Quarantiner{records: map[Fingerprint]*record{}} }

// Empty reports whether nothing is known of any request, so that none needs a fingerprint.
func (q *Quarantiner) Empty() bool { return len(q.records) == 0 }

// Len is the number of fingerprints of requests under which a leaf has ended.
func (q *Quarantiner) Len() int { return len(q.records) }

// Refused is the number of times that Refuses has refused a request.
func (q *Quarantiner) Refused() int64 { return q.refused }

// Ended records leafs that ended under a request sent by this VM. alone says that they were called
// alone, after others had ended under it. It returns the report for the other VMs.
func (q *Quarantiner) Ended(now tier.Millis, f Fingerprint, leafs []string, alone bool) Report {
	r := q.recordOf(now, f)
	for _, leaf := range leafs {
		if !slices.Contains(r.own, leaf) && len(r.own) < maxLeafs {
			r.own = append(r.own, leaf)
		}
	}
	r.changedAt, r.reported, r.ownAlone = now, true, r.ownAlone || alone
	r.update(now)
	return Report{Leafs: slices.Clone(r.own), Alone: r.ownAlone}
}

// Warn handles a warning, of this VM or another one, that several leafs may have ended under a
// request.
func (q *Quarantiner) Warn(now tier.Millis, f Fingerprint) {
	r := q.recordOf(now, f)
	r.warnedUntil = now + warningTTL
}

// WantsCaution reports whether a request with these fingerprints should be sent to one leaf first,
// as leafs may have ended under it and none has answered since.
func (q *Quarantiner) WantsCaution(now tier.Millis, fingerprints []Fingerprint) bool {
	for _, f := range fingerprints {
		if r, ok := q.records[f]; ok && now < r.changedAt+evidenceTTL && (now < r.warnedUntil || r.ended() > 0) {
			return true
		}
	}
	return false
}

// Answered records that a leaf has answered a request sent by this VM: requests of this
// fingerprint do not end each leaf that runs them. If other VMs may believe otherwise, it
// returns the report for them.
func (q *Quarantiner) Answered(now tier.Millis, f Fingerprint) (Report, bool) {
	r, ok := q.records[f]
	if !ok {
		return Report{}, false
	}
	tell := r.reported || r.suspectedAt != never
	for _, report := range r.heard {
		r.clearedAt = max(r.clearedAt, report.revision)
	}
	r.clear()
	r.update(now)
	return Report{Answered: true}, tell
}

// Heard records the report of another VM, as of a revision of the store. Of one VM, later
// reports replace earlier ones; an answer voids the earlier reports of all.
func (q *Quarantiner) Heard(now tier.Millis, f Fingerprint, vm string, revision int64, report Report) {
	r := q.recordOf(now, f)
	if revision <= r.heard[vm].revision {
		return
	}
	if report.Answered {
		r.clearedAt = max(r.clearedAt, revision)
		r.clear()
	}
	r.heard[vm] = heardReport{leafs: report.Leafs[:min(len(report.Leafs), maxLeafs)], alone: report.Alone, revision: revision}
	r.changedAt = now
	r.update(now)
}

// Refuses reports whether a request with these fingerprints must not be sent, and for how much
// longer.
func (q *Quarantiner) Refuses(now tier.Millis, fingerprints []Fingerprint) (tier.Millis, bool) {
	for _, f := range fingerprints {
		r, ok := q.records[f]
		if ok && now >= r.suspectedAt+confirmDelay && now < r.changedAt+evidenceTTL {
			q.refused++
			return r.changedAt + evidenceTTL - now, true
		}
	}
	return 0, false
}

// Tick drops requests whose evidence is too old.
func (q *Quarantiner) Tick(now tier.Millis) {
	for f, r := range q.records {
		if now >= r.changedAt+evidenceTTL {
			delete(q.records, f)
		}
	}
}

func (q *Quarantiner) recordOf(now tier.Millis, f Fingerprint) *record {
	if r, ok := q.records[f]; ok && now < r.changedAt+evidenceTTL {
		return r
	}
	if len(q.records) >= maxRecords {
		q.dropOldest()
	}
	r := &record{heard: map[string]heardReport{}, changedAt: now, suspectedAt: never}
	q.records[f] = r
	return r
}

// dropOldest makes room for another record. One that is not suspected goes first.
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
	if suspected := r.suspectedAt != never; suspected != (other.suspectedAt != never) {
		return !suspected
	}
	return r.changedAt < other.changedAt
}
