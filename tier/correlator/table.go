package correlator

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Table holds the leaf calls that wait for a reply and counts the replies
// that it rejects. It is not safe for concurrent use.
type Table struct {
	open     map[string]Expect
	rejected map[Field]int
	notOpen  int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{open: map[string]Expect{}, rejected: map[Field]int{}}
}

// Open notes that a call waits for its reply.
func (t *Table) Open(e Expect) { t.open[e.attempt.String()] = e }

// Close forgets a call; a reply that still comes is rejected.
func (t *Table) Close(id tier.AttemptID) { delete(t.open, id.String()) }

// Waiting is how many calls wait for a reply.
func (t *Table) Waiting() int { return len(t.open) }

// Accept checks a reply that came to the call named waited and closes that
// call, whatever the reply is. Its error is a *MismatchError or a
// *NotOpenError.
func (t *Table) Accept(waited tier.AttemptID, r Reply) error {
	e, err := t.take(waited)
	if err != nil {
		return errors.Wrap(err, "Table.Accept")
	}
	return errors.Wrap(t.count(Check(e, r)), "Table.Accept")
}

// AcceptReceipt is Accept for the reply to a booking.
func (t *Table) AcceptReceipt(waited tier.AttemptID, r Receipt) error {
	e, err := t.take(waited)
	if err != nil {
		return errors.Wrap(err, "Table.AcceptReceipt")
	}
	return errors.Wrap(t.count(CheckReceipt(e, r)), "Table.AcceptReceipt")
}

func (t *Table) take(waited tier.AttemptID) (Expect, error) {
	id := waited.String()
	e, ok := t.open[id]
	if !ok {
		t.notOpen++
		return Expect{}, &NotOpenError{attempt: id}
	}
	delete(t.open, id)
	return e, nil
}

func (t *Table) count(err error) error {
	var m *MismatchError
	if errors.As(err, &m) {
		t.rejected[m.field]++
	}
	return err
}

// Rejected is how many replies were rejected because of a field.
func (t *Table) Rejected(f Field) int { return t.rejected[f] }

// NotOpen is how many replies came for calls that waited for none.
func (t *Table) NotOpen() int { return t.notOpen }
