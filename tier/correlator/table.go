package correlator

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// PendingCalls holds the leaf calls that wait for a reply and counts the replies
// that it rejects. It is not safe for concurrent use.
type PendingCalls struct {
	open     map[string]Expectation
	rejected map[Field]int
	notOpen  int
}

// NewPendingCalls returns an empty table.
func NewPendingCalls() *PendingCalls {
	return &PendingCalls{open: map[string]Expectation{}, rejected: map[Field]int{}}
}

// Add notes that a call waits for its reply.
func (t *PendingCalls) Add(e Expectation) { t.open[e.attempt.String()] = e }

// Remove forgets a call; a reply that still comes is rejected.
func (t *PendingCalls) Remove(id tier.AttemptID) { delete(t.open, id.String()) }

// Len is how many calls wait for a reply.
func (t *PendingCalls) Len() int { return len(t.open) }

// AcceptSearch checks a reply that came to the call named waited and closes that
// call, whatever the reply is. Its error is a *MismatchError or a
// *NotOpenError.
func (t *PendingCalls) AcceptSearch(waited tier.AttemptID, r SearchReply) error {
	e, err := t.take(waited)
	if err != nil {
		return errors.Wrap(err, "Table.Accept")
	}
	return errors.Wrap(t.count(CheckSearchReply(e, r)), "Table.Accept")
}

// AcceptBooking is Accept for the reply to a booking.
func (t *PendingCalls) AcceptBooking(waited tier.AttemptID, r BookingReply) error {
	e, err := t.take(waited)
	if err != nil {
		return errors.Wrap(err, "Table.AcceptReceipt")
	}
	return errors.Wrap(t.count(CheckBookingReply(e, r)), "Table.AcceptReceipt")
}

func (t *PendingCalls) take(waited tier.AttemptID) (Expectation, error) {
	id := waited.String()
	e, ok := t.open[id]
	if !ok {
		t.notOpen++
		return Expectation{}, &NotPendingError{attempt: id}
	}
	delete(t.open, id)
	return e, nil
}

func (t *PendingCalls) count(err error) error {
	var m *MismatchError
	if errors.As(err, &m) {
		t.rejected[m.field]++
	}
	return err
}

// Rejected is how many replies were rejected because of a field.
func (t *PendingCalls) Rejected(f Field) int { return t.rejected[f] }

// NotPending is how many replies came for calls that waited for none.
func (t *PendingCalls) NotPending() int { return t.notOpen }
