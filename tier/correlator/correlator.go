// Package correlator matches the replies of backend servers to leaf calls. It rejects and
// counts replies that are late, duplicate, truncated or corrupted, or that belong to
// another call.
package correlator

import (
	"strconv"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Expectation holds the fields that the reply to one leaf call has to echo.
type Expectation struct {
	attempt  tier.AttemptID
	set      string
	shard    string
	snapshot tier.Snapshot
}

// NewExpectation returns the fields that the reply to a leaf call has to echo. For a booking
// the snapshot is the zero value.
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

// SearchReply is the reply of a backend server to a search as received, not yet checked.
type SearchReply struct {
	attempt  string
	set      string
	shard    string
	snapshot tier.Snapshot
	records  []tier.Record
	count    int
	digest   string
}

// NewSearchReply returns the reply to a search. Count and digest are those that the server
// stated, which may differ from those of the records received.
func NewSearchReply(attempt, set, shard string, s tier.Snapshot, records []tier.Record, count int, digest string) SearchReply {
	return SearchReply{attempt: attempt, set: set, shard: shard, snapshot: s, records: records, count: count, digest: digest}
}

// Records are the records received.
func (r SearchReply) Records() []tier.Record { return r.records }

// BookingReply is the reply of a backend server to a booking as received, not yet checked.
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

// Receipt is the receipt that the server issued for the booking.
func (r BookingReply) Receipt() string { return r.receipt }

// CheckSearchReply checks that the reply to a search is complete and belongs to the call
// that e describes. Its error is a *MismatchError.
func CheckSearchReply(e Expectation, r SearchReply) error {
	if err := checkEcho(e, r.attempt, r.set, r.shard); err != nil {
		return errors.Wrap(err, "CheckSearchReply")
	}
	if r.snapshot != e.snapshot {
		return errors.Wrap(newMismatch(FieldSnapshot, e.snapshot.String(), r.snapshot.String()), "CheckSearchReply")
	}
	return errors.Wrap(CheckRecords(r.records, r.count, r.digest), "CheckSearchReply")
}

// CheckBookingReply checks that the reply to a booking has a receipt and belongs to
// the call that e describes. Its error is a *MismatchError.
func CheckBookingReply(e Expectation, r BookingReply) error {
	if err := checkEcho(e, r.attempt, r.set, r.shard); err != nil {
		return errors.Wrap(err, "CheckBookingReply")
	}
	if r.receipt == "" {
		return errors.Wrap(newMismatch(FieldReceipt, "a receipt", ""), "CheckBookingReply")
	}
	return nil
}

// CheckRecords checks the number of records and their digest against those stated. Its
// error is a *MismatchError.
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
