package correlator

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Table holds the leaf calls that wait for a reply and counts the replies that
// it rejects. It is not safe for concurrent use.
type Table struct {
	pending    map[string]Expect
	rejected   map[Field]int
	notPending int
}

// NewTable returns an empty PendingCalls.
func NewTable() *Table {
	return &Table{pending: map[string]Expect{}, rejected: map[Field]int{}}
}

// Open registers a call that waits for its reply.
func (p *Table) Open(e Expect) { p.pending[e.attempt.String()] = e }

// Close discards a call; a reply received later is rejected.
func (p *Table) Close(id tier.AttemptID) { delete(p.pending, id.String()) }

// Waiting is how many calls wait for a reply.
func (p *Table) Waiting() int { return len(p.pending) }

// Accept checks the reply received for a search call and removes the call, even
// if it rejects the reply. Its error is a *MismatchError or a *NotPendingError.
func (p *Table) Accept(id tier.AttemptID, r Reply) error {
	e, err := p.take(id)
	if err != nil {
		return errors.Wrap(err, "PendingCalls.AcceptSearch")
	}
	return errors.Wrap(p.countRejection(Check(e, r)), "PendingCalls.AcceptSearch")
}

// AcceptReceipt is AcceptSearch for the reply to a booking.
func (p *Table) AcceptReceipt(id tier.AttemptID, r Receipt) error {
	e, err := p.take(id)
	if err != nil {
		return errors.Wrap(err, "PendingCalls.AcceptBooking")
	}
	return errors.Wrap(p.countRejection(CheckReceipt(e, r)), "PendingCalls.AcceptBooking")
}

func (p *Table) take(id tier.AttemptID) (Expect, error) {
	key := id.String()
	e, ok := p.pending[key]
	if !ok {
		p.notPending++
		return Expect{}, &NotOpenError{attempt: key}
	}
	delete(p.pending, key)
	return e, nil
}

// countRejection counts a reply rejected with a *MismatchError and returns the error.
func (p *Table) countRejection(err error) error {
	var m *MismatchError
	if errors.As(err, &m) {
		p.rejected[m.field]++
	}
	return err
}

// Rejected is how many replies were rejected because of a field.
func (p *Table) Rejected(f Field) int { return p.rejected[f] }

// NotOpen is how many replies were received for calls that were not waiting for one.
func (p *Table) NotOpen() int { return p.notPending }
