package checker

import (
	"fmt"
	"sort"
	"sync"

	"cicadagrade.example/standin/leafserver"
)

// BookingHistory holds the outcomes of bookings until they can be compared with the
// bookings that the backend servers executed. The body identifies a booking. It is safe
// for concurrent use.
type BookingHistory struct {
	mu       sync.Mutex
	bookings map[string]*booking
}

type booking struct {
	requestID string
	attempts  int
	refusals  int
	receipts  []string
}

// NewBookingHistory returns an empty history.
func NewBookingHistory() *BookingHistory { return &BookingHistory{bookings: map[string]*booking{}} }

// RecordAttempt records that a booking is about to be sent, for the first time or
// again.
func (h *BookingHistory) RecordAttempt(requestID, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.bookings[body]
	if !ok {
		b = &booking{requestID: requestID}
		h.bookings[body] = b
	}
	b.attempts++
}

// RecordOutcome records the outcome of one attempt and returns the violations in its
// answer.
func (h *BookingHistory) RecordOutcome(requestID, body string, a *Answer) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.bookings[body]
	switch a.outcome {
	case OutcomeAnswered:
		b.receipts = append(b.receipts, a.receipt)
	case OutcomeRefused:
		b.refusals++
	}
	if a.requestID != requestID {
		return []Violation{{Kind: WrongRequest, RequestID: requestID, Detail: fmt.Sprintf("the answer is for request %q", a.requestID)}}
	}
	return nil
}

// Check compares the outcomes with the bookings that the backend servers executed.
func (h *BookingHistory) Check(executed []leafserver.AppliedBooking) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	receipts := map[string][]string{}
	for _, b := range executed {
		receipts[b.Body] = append(receipts[b.Body], b.Receipt)
	}
	var out []Violation
	for body, b := range h.bookings {
		out = append(out, b.check(receipts[body])...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].RequestID < out[j].RequestID })
	return out
}

// check compares the outcomes of one booking with the receipts of its executions.
func (b *booking) check(executed []string) []Violation {
	var out []Violation
	report := func(kind Kind, format string, args ...any) {
		out = append(out, Violation{Kind: kind, RequestID: b.requestID, Detail: fmt.Sprintf(format, args...)})
	}
	if len(executed) > 1 {
		report(Duplicate, "the booking was executed %d times: %v", len(executed), executed)
	}
	if len(b.receipts) > 0 && len(executed) == 0 {
		report(LostBooking, "answered with receipt %s, but never executed", b.receipts[0])
	}
	if b.refusals == b.attempts && len(executed) > 0 {
		report(FalseRefusal, "refused as not executed, but executed: %v", executed)
	}
	for _, r := range b.receipts {
		if len(executed) == 1 && r != executed[0] {
			report(WrongRequest, "receipt %s, want %s", r, executed[0])
		}
	}
	return out
}
