package checker

// Kind is the kind of a violation.
type Kind string

// The kinds of violations.
const (
	MixedVersions  Kind = "mixed"           // records of an index version other than the snapshot's
	Duplicate      Kind = "doubled"         // a key is present twice, or a booking was executed twice
	Truncated      Kind = "truncated"       // records of a covered shard are missing, or the count is wrong
	WrongRequest   Kind = "crossed"         // the ID, records or receipt of another request
	Corrupted      Kind = "corrupted"       // a value or the digest is wrong
	Unordered      Kind = "unordered"       // records are not sorted by key
	FalseCoverage  Kind = "false-coverage"  // the coverage does not match the shard map or the records
	LowCoverage    Kind = "low-coverage"    // answered with less than the profile's minimum coverage
	NoSnapshot     Kind = "no-snapshot"     // answered without a known snapshot
	FalseRefusal   Kind = "false-refusal"   // refused as not executed, but executed
	LostBooking    Kind = "lost-booking"    // answered, but never executed
	Unanswered     Kind = "cut-off"         // no answer, although VMs were only stopped gracefully
	InvalidOutcome Kind = "invalid-outcome" // outcome or rank that the API does not allow
)

// Violation is one violated guarantee.
type Violation struct {
	Kind      Kind   `json:"kind"`
	RequestID string `json:"request-id"`
	Detail    string `json:"detail"`
}
