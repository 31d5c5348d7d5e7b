package correlator

import "fmt"

// Field names a checked field of a reply.
type Field string

// The checked fields.
const (
	FieldAttempt  Field = "attempt"
	FieldSet      Field = "set"
	FieldShard    Field = "shard"
	FieldSnapshot Field = "snapshot"
	FieldCount    Field = "count"
	FieldDigest   Field = "digest"
	FieldReceipt  Field = "receipt"
)

// MismatchError reports that a field of a reply does not have the expected value.
type MismatchError struct {
	field Field
	want  string
	got   string
}

func newMismatch(f Field, want, got string) error {
	return &MismatchError{field: f, want: want, got: got}
}

// Field is the name of the field.
func (e *MismatchError) Field() Field { return e.field }

// Want is the expected value.
func (e *MismatchError) Want() string { return e.want }

// Got is the value received.
func (e *MismatchError) Got() string { return e.got }

// Error states the field, the value received and the expected one.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("the reply's %s is %q, want %q", e.field, e.got, e.want)
}

// NotPendingError reports that no call with an id is waiting for a reply: the reply is
// late, a duplicate, or addressed to another VM.
type NotPendingError struct{ attempt string }

// Attempt is the id of the call.
func (e *NotPendingError) Attempt() string { return e.attempt }

// Error states the id.
func (e *NotPendingError) Error() string {
	return fmt.Sprintf("no call %q is waiting for a reply", e.attempt)
}
