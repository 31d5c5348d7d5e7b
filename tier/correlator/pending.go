package correlator

import (
	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// PendingCalls holds the leaf calls that wait for a reply and counts the replies that
// it rejects. It is not safe for concurrent use.
type PendingCalls struct {
	pending    map[string]Expectation
	rejected   map[Field]int
	notPending int
}

// NewPendingCalls returns an empty PendingCalls.
func NewPendingCalls() *PendingCalls {
	return &PendingCalls{pending: map[string]Expectation{}, rejected: map[Field]int{}}
}

// Add registers a call that waits for its reply.
func (p *PendingCalls) Add(e Expectation) { p.pending[e.attempt.String()] = e }

// Remove discards a call; a reply received later is rejected.
func (p *PendingCalls) Remove(id tier.AttemptID) { delete(p.pending, id.String()) }

// Len is how many calls wait for a reply.
func (p *PendingCalls) Len() int { return len(p.pending) }

// AcceptSearch checks the reply received for a search call and removes the call, even
// if it rejects the reply. Its error is a *MismatchError or a *NotPendingError.
func (p *PendingCalls) AcceptSearch(id tier.AttemptID, r SearchReply) error {
	e, err := p.take(id)
	if err != nil {
		return errors.Wrap(err, "PendingCalls.AcceptSearch")
	}
	return errors.Wrap(p.countRejection(CheckSearchReply(e, r)), "PendingCalls.AcceptSearch")
}

// AcceptBooking is AcceptSearch for the reply to a booking.
func (p *PendingCalls) AcceptBooking(id tier.AttemptID, r BookingReply) error {
	e, err := p.take(id)
	if err != nil {
		return errors.Wrap(err, "PendingCalls.AcceptBooking")
	}
	return errors.Wrap(p.countRejection(CheckBookingReply(e, r)), "PendingCalls.AcceptBooking")
}

func (p *PendingCalls) take(id tier.AttemptID) (Expectation, error) {
	key := id.String()
	e, ok := p.pending[key]
	if !ok {
		p.notPending++
		return Expectation{}, &NotPendingError{attempt: key}
	}
	delete(p.pending, key)
	return e, nil
}

// countRejection counts a reply rejected with a *MismatchError and returns the error.
func (p *PendingCalls) countRejection(err error) error {
	var m *MismatchError
	if errors.As(err, &m) {
		p.rejected[m.field]++
	}
	return err
}

// Rejected is how many replies were rejected because of a field.
func (p *PendingCalls) Rejected(f Field) int { return p.rejected[f] }

// NotPending is how many replies were received for calls that were not waiting for one.
func (p *PendingCalls) NotPending() int { return p.notPending }
