// Package correlator matches replies of backend servers with the leaf calls
// that asked for them. A reply that is late, repeated, crossed with that of
// another call, cut short or corrupted is rejected and counted.
package correlator

import (
	"strconv"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Expectation is what the reply of one leaf call has to echo.
type Expectation struct {
	attempt  tier.AttemptID
	set      string
	shard    string
	snapshot tier.Snapshot
}

// NewExpectation returns what the reply of a search of one shard has to echo. For
// a booking the snapshot is the zero one.
func NewExpectation(attempt tier.AttemptID, set, shard string, s tier.Snapshot) Expectation {
	return Expectation{attempt: attempt, set: set, shard: shard, snapshot: s}
}

// Attempt is the id of the leaf call.
func (e Expectation) Attempt() tier.AttemptID { return e.attempt }

// Set is the name of the shard set.
func (e Expectation) Set() string { return e.set }

// Shard is the id of the shard.
func (e Expectation) Shard() string { return e.shard }

// Snapshot is the pinned snapshot.
func (e Expectation) Snapshot() tier.Snapshot { return e.snapshot }

// SearchReply is the reply of a backend server to a search, as it came.
type SearchReply struct {
	attempt  string
	set      string
	shard    string
	snapshot tier.Snapshot
	records  []tier.Record
	count    int
	digest   string
}

// NewSearchReply returns the reply to a search. Count and digest are those that
// the server stated, not those of the records that arrived.
func NewSearchReply(attempt, set, shard string, s tier.Snapshot, records []tier.Record, count int, digest string) SearchReply {
	return SearchReply{attempt: attempt, set: set, shard: shard, snapshot: s, records: records, count: count, digest: digest}
}

// Records are the records that arrived.
func (r SearchReply) Records() []tier.Record { return r.records }

// BookingReply is the reply of a backend server to a booking, as it came.
type BookingReply struct {
	attempt string
	set     string
	shard   string
	receipt string
}

// NewBookingReply returns the reply to a booking.
func NewBookingReply(attempt, set, shard, receipt string) BookingReply {
	return BookingReply{attempt: attempt, set: set, shard: shard, receipt: receipt}
}

// Receipt is the receipt's text.
func (r BookingReply) Receipt() string { return r.receipt }

// CheckSearchReply reports whether a reply is whole and that of the call that e
// describes. Its error is a *MismatchError.
func CheckSearchReply(e Expectation, r SearchReply) error {
	if err := checkEcho(e, r.attempt, r.set, r.shard); err != nil {
		return errors.Wrap(err, "Check")
	}
	if r.snapshot != e.snapshot {
		return errors.Wrap(newMismatch(FieldSnapshot, e.snapshot.String(), r.snapshot.String()), "Check")
	}
	return errors.Wrap(CheckRecords(r.records, r.count, r.digest), "Check")
}

// CheckBookingReply is Check for the reply to a booking.
func CheckBookingReply(e Expectation, r BookingReply) error {
	if err := checkEcho(e, r.attempt, r.set, r.shard); err != nil {
		return errors.Wrap(err, "CheckReceipt")
	}
	if r.receipt == "" {
		return errors.Wrap(newMismatch(FieldReceipt, "a receipt", ""), "CheckReceipt")
	}
	return nil
}

// CheckRecords reports whether records are as many as stated and have the
// stated digest. Its error is a *MismatchError.
func CheckRecords(records []tier.Record, count int, digest string) error {
	if len(records) != count {
		return newMismatch(FieldCount, strconv.Itoa(count), strconv.Itoa(len(records)))
	}
	if d := tier.Digest(records); d != digest {
		return newMismatch(FieldDigest, digest, d)
	}
	return nil
}

func checkEcho(e Expectation, attempt, set, shard string) error {
	if id := e.attempt.String(); attempt != id {
		return newMismatch(FieldAttempt, id, attempt)
	}
	if set != e.set {
		return newMismatch(FieldSet, e.set, set)
	}
	if shard != e.shard {
		return newMismatch(FieldShard, e.shard, shard)
	}
	return nil
}
