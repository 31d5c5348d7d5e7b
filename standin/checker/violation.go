package checker

// Kind is a kind of broken promise.
type Kind string

// The kinds.
const (
	MixedVersions  Kind = "mixed"           // records of another index version than the snapshot's
	Duplicate      Kind = "doubled"         // a key twice, or a booking that ran twice
	Truncated      Kind = "truncated"       // lacks records of a covered shard, or its own count
	WrongRequest   Kind = "crossed"         // another request's id, records or receipt
	Corrupted      Kind = "corrupted"       // a value or the digest is wrong
	Unordered      Kind = "unordered"       // records not sorted by key
	FalseCoverage  Kind = "false-coverage"  // coverage does not fit the shard map or the records
	LowCoverage    Kind = "low-coverage"    // answered below the profile's least coverage
	NoSnapshot     Kind = "no-snapshot"     // answered without a known snapshot
	FalseRefusal   Kind = "false-refusal"   // refused as not run, but it ran
	LostBooking    Kind = "lost-booking"    // answered, but it never ran
	Unanswered     Kind = "cut-off"         // no answer, though VMs only stopped as planned
	InvalidOutcome Kind = "invalid-outcome" // no outcome, rank or body of the API
)

// Violation is one broken promise.
type Violation struct {
	Kind      Kind   `json:"kind"`
	RequestID string `json:"request-id"`
	Detail    string `json:"detail"`
}
