package correlator

import "fmt"

// Field names a part of a reply that is checked.
type Field string

// The fields.
const (
	FieldAttempt  Field = "attempt"
	FieldSet      Field = "set"
	FieldShard    Field = "shard"
	FieldSnapshot Field = "snapshot"
	FieldCount    Field = "count"
	FieldDigest   Field = "digest"
	FieldReceipt  Field = "receipt"
)

// MismatchError says that a field of a reply is not what it has to be.
type MismatchError struct {
	field Field
	want  string
	got   string
}

func newMismatch(f Field, want, got string) error {
	return &MismatchError{field: f, want: want, got: got}
}

// Field names the field.
func (e *MismatchError) Field() Field { return e.field }

// Want is what the field had to hold.
func (e *MismatchError) Want() string { return e.want }

// Got is what it held.
func (e *MismatchError) Got() string { return e.got }

// Error names the field, what was wanted and what came.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("the reply's %s is %q, want %q", e.field, e.got, e.want)
}

// NotPendingError says that no call of this id waits for a reply: the reply is
// late, repeated or meant for another VM.
type NotPendingError struct{ attempt string }

// Attempt is the id that the reply carries.
func (e *NotPendingError) Attempt() string { return e.attempt }

// Error names the id.
func (e *NotPendingError) Error() string {
	return fmt.Sprintf("no call %q waits for a reply", e.attempt)
}
