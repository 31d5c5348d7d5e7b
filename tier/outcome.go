package tier

// Outcome is the end of a request: *Answered for a search that ran, *Booked
// for a booking that ran, *Refused or *Unknown.
type Outcome interface{ outcome() }

// Answered is the end of a request that ran.
type Answered struct {
	snapshot Snapshot
	coverage Coverage
	records  []Record
}

// NewAnswered returns an answer from one snapshot.
func NewAnswered(s Snapshot, c Coverage, records []Record) *Answered {
	return &Answered{snapshot: s, coverage: c, records: records}
}

// Snapshot is the one state that the answer reflects.
func (a *Answered) Snapshot() Snapshot { return a.snapshot }

// Coverage says which shards it covers.
func (a *Answered) Coverage() Coverage { return a.coverage }

// Records are the rows, sorted by key, each key once.
func (a *Answered) Records() []Record { return a.records }

// Booked is the end of a booking that ran.
type Booked struct {
	receipt  string
	repeated bool
}

// NewBooked returns the end of a booking; repeated says that it ran for an
// earlier request with the same idempotency key.
func NewBooked(receipt string, repeated bool) *Booked {
	return &Booked{receipt: receipt, repeated: repeated}
}

// Receipt is what the backend server gave for it.
func (b *Booked) Receipt() string { return b.receipt }

// Repeated reports whether it ran for an earlier request with the same key.
func (b *Booked) Repeated() bool { return b.repeated }

// RefuseReason says why a request was refused.
type RefuseReason string

// The reasons.
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

// Refused is the end of a request that did not run and will not run.
type Refused struct {
	reason     RefuseReason
	retryAfter Millis
}

// NewRefused returns a refusal; retryAfter is 0 when no time can be told.
func NewRefused(reason RefuseReason, retryAfter Millis) *Refused {
	return &Refused{reason: reason, retryAfter: retryAfter}
}

// Reason says why.
func (r *Refused) Reason() RefuseReason { return r.reason }

// RetryAfter is when a new try may succeed, counted from now, or 0.
func (r *Refused) RetryAfter() Millis { return r.retryAfter }

// UnknownReason says why it can't be told whether a request ran.
type UnknownReason string

// The reasons.
const (
	UnknownInProgress       UnknownReason = "in-progress"
	UnknownLostReply        UnknownReason = "lost-reply"
	UnknownDeadline         UnknownReason = "deadline"
	UnknownHolderGone       UnknownReason = "holder-gone"
	UnknownLowCoverage      UnknownReason = "low-coverage"
	UnknownOtherIncarnation UnknownReason = "other-incarnation"
	UnknownCallerGone       UnknownReason = "caller-gone"
	UnknownEarlier          UnknownReason = "earlier-sending"
	UnknownForgotten        UnknownReason = "forgotten"
)

// Unknown is the end of a request that may have run.
type Unknown struct {
	reason   UnknownReason
	partial  bool
	snapshot Snapshot
	coverage Coverage
	refusal  *Refused
}

// NewUnknown returns an unknown outcome.
func NewUnknown(reason UnknownReason) *Unknown { return &Unknown{reason: reason} }

// NewUnknownPartial returns an unknown outcome of a search that covered too
// little of a snapshot.
func NewUnknownPartial(reason UnknownReason, s Snapshot, c Coverage) *Unknown {
	return &Unknown{reason: reason, partial: true, snapshot: s, coverage: c}
}

// Partial is the snapshot that was searched and what was covered of it, if
// the request is a search that got that far.
func (u *Unknown) Partial() (Snapshot, Coverage, bool) { return u.snapshot, u.coverage, u.partial }

// NewUnknownEarlier returns the end of a sending that was refused as r says,
// where an earlier sending with the same idempotency key may have run.
func NewUnknownEarlier(r *Refused) *Unknown { return &Unknown{reason: UnknownEarlier, refusal: r} }

// Refusal is why this sending did not run, if it is known that it did not.
func (u *Unknown) Refusal() (*Refused, bool) { return u.refusal, u.refusal != nil }

// Reason says why.
func (u *Unknown) Reason() UnknownReason { return u.reason }

func (*Answered) outcome() {}
func (*Booked) outcome()   {}
func (*Refused) outcome()  {}
func (*Unknown) outcome()  {}
