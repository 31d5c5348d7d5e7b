package tier

// Outcome is the final result of a request: *Answered for a search that ran, *Booked for a
// booking that ran, *Refused if it did not run, or *Unknown if it may have run.
type Outcome interface{ outcome() }

// Answered is the outcome of a search that ran.
type Answered struct {
	snapshot Snapshot
	coverage Coverage
	records  []Record
}

// NewAnswered returns an answer from one snapshot.
func NewAnswered(s Snapshot, c Coverage, records []Record) *Answered {
	return &Answered{snapshot: s, coverage: c, records: records}
}

// Snapshot is the snapshot that all records of the answer come from.
func (a *Answered) Snapshot() Snapshot { return a.snapshot }

// Coverage says which shards the answer covers.
func (a *Answered) Coverage() Coverage { return a.coverage }

// Records are the records found, sorted by key, without duplicate keys.
func (a *Answered) Records() []Record { return a.records }

// Booked is the outcome of a booking that ran.
type Booked struct {
	receipt  string
	repeated bool
}

// NewBooked returns the outcome of a booking. repeated says that the booking ran for an
// earlier request with the same idempotency key.
func NewBooked(receipt string, repeated bool) *Booked {
	return &Booked{receipt: receipt, repeated: repeated}
}

// Receipt is the backend server's receipt for the booking.
func (b *Booked) Receipt() string { return b.receipt }

// Repeated reports whether the booking ran for an earlier request with the same idempotency
// key.
func (b *Booked) Repeated() bool { return b.repeated }

// RefuseReason says why a request was refused.
type RefuseReason string

// The reasons for a refusal.
const (
	RefuseOverload    RefuseReason = "overload"
	RefuseDeadline    RefuseReason = "deadline"
	RefuseNoOwner     RefuseReason = "no-owner"
	RefuseNoReplica   RefuseReason = "no-replica"
	RefuseNoConfig    RefuseReason = "no-configuration"
	RefuseNoStore     RefuseReason = "store-unavailable"
	RefuseLeaving     RefuseReason = "leaving"
	RefuseCallerGone  RefuseReason = "caller-gone"
	RefuseByServer    RefuseReason = "refused-by-server"
	RefuseKeyExpired  RefuseReason = "key-expired"
	RefuseUnreachable RefuseReason = "unreachable"
)

// Refused is the outcome of a request that did not run and never will.
type Refused struct {
	reason     RefuseReason
	retryAfter Millis
}

// NewRefused returns a refusal. retryAfter is 0 if it isn't known when a retry may succeed.
func NewRefused(reason RefuseReason, retryAfter Millis) *Refused {
	return &Refused{reason: reason, retryAfter: retryAfter}
}

// Reason says why the request was refused.
func (r *Refused) Reason() RefuseReason { return r.reason }

// RetryAfter is the time after which a retry may succeed, or 0 if it isn't known.
func (r *Refused) RetryAfter() Millis { return r.retryAfter }

// UnknownReason says why it isn't known whether a request ran.
type UnknownReason string

// The reasons for an unknown outcome.
const (
	UnknownInProgress       UnknownReason = "in-progress" // a request with the same idempotency key is running
	UnknownLostReply        UnknownReason = "lost-reply"
	UnknownDeadline         UnknownReason = "deadline"
	UnknownHolderGone       UnknownReason = "holder-gone" // the VM that claimed the idempotency key has stopped
	UnknownLowCoverage      UnknownReason = "low-coverage"
	UnknownOtherIncarnation UnknownReason = "other-incarnation" // the key was issued by another VM or incarnation
	UnknownCallerGone       UnknownReason = "caller-gone"
	UnknownEarlier          UnknownReason = "earlier-sending" // an earlier request with the same key may have run
	UnknownForgotten        UnknownReason = "forgotten"       // the outcome was not kept
)

// Unknown is the outcome of a request that may have run.
type Unknown struct {
	reason   UnknownReason
	partial  bool
	snapshot Snapshot
	coverage Coverage
	refusal  *Refused
}

// NewUnknown returns an unknown outcome.
func NewUnknown(reason UnknownReason) *Unknown { return &Unknown{reason: reason} }

// NewUnknownPartial returns the outcome of a search that covered fewer shards of a snapshot
// than its profile requires.
func NewUnknownPartial(reason UnknownReason, s Snapshot, c Coverage) *Unknown {
	return &Unknown{reason: reason, partial: true, snapshot: s, coverage: c}
}

// Partial returns the snapshot that was searched and the coverage reached, if the request is
// a search that got that far.
func (u *Unknown) Partial() (Snapshot, Coverage, bool) { return u.snapshot, u.coverage, u.partial }

// NewUnknownEarlier returns the outcome of a booking that was refused with r, while an earlier
// request with the same idempotency key may have run.
func NewUnknownEarlier(r *Refused) *Unknown { return &Unknown{reason: UnknownEarlier, refusal: r} }

// Refusal says why this request did not run, if it is known that it did not.
func (u *Unknown) Refusal() (*Refused, bool) { return u.refusal, u.refusal != nil }

// Reason says why it isn't known whether the request ran.
func (u *Unknown) Reason() UnknownReason { return u.reason }

func (*Answered) outcome() {}
func (*Booked) outcome()   {}
func (*Refused) outcome()  {}
func (*Unknown) outcome()  {}
