package checker

import (
	"fmt"
	"sort"
	"sync"

	"cicadagrade.example/standin/leafserver"
)

// BookingHistory holds the outcomes of bookings until they can be compared with what
// ran. Bookings are told apart by their bodies. It is safe for concurrent
// use.
type BookingHistory struct {
	mu       sync.Mutex
	bookings map[string]*booking
}

type booking struct {
	requestID string
	sent      int
	refused   int
	receipts  []string
}

// NewBookingHistory returns an empty ledger.
func NewBookingHistory() *BookingHistory { return &BookingHistory{bookings: map[string]*booking{}} }

// RecordAttempt notes that a booking is about to be sent, for the first time or
// again.
func (l *BookingHistory) RecordAttempt(requestID, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.bookings[body]
	if !ok {
		b = &booking{requestID: requestID}
		l.bookings[body] = b
	}
	b.sent++
}

// RecordOutcome notes the outcome of one sending and lists what is wrong with it.
func (l *BookingHistory) RecordOutcome(requestID, body string, a *Answer) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bookings[body]
	switch a.outcome {
	case OutcomeAnswered:
		b.receipts = append(b.receipts, a.receipt)
	case OutcomeRefused:
		b.refused++
	}
	if a.requestID != requestID {
		return []Violation{{Kind: WrongRequest, RequestID: requestID, Detail: fmt.Sprintf("the answer names request %q", a.requestID)}}
	}
	return nil
}

// Check compares the outcomes with the bookings that took effect.
func (l *BookingHistory) Check(booked []leafserver.AppliedBooking) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := map[string][]string{}
	for _, b := range booked {
		ran[b.Body] = append(ran[b.Body], b.Receipt)
	}
	var out []Violation
	for body, b := range l.bookings {
		out = append(out, b.check(ran[body])...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].RequestID < out[j].RequestID })
	return out
}

// check compares one booking with the receipts of its runs.
func (b *booking) check(ran []string) []Violation {
	var out []Violation
	report := func(kind Kind, format string, args ...any) {
		out = append(out, Violation{Kind: kind, RequestID: b.requestID, Detail: fmt.Sprintf(format, args...)})
	}
	if len(ran) > 1 {
		report(Duplicate, "the booking ran %d times: %v", len(ran), ran)
	}
	if len(b.receipts) > 0 && len(ran) == 0 {
		report(LostBooking, "answered with receipt %s, but it never ran", b.receipts[0])
	}
	if b.refused == b.sent && len(ran) > 0 {
		report(FalseRefusal, "refused as not run, but it ran: %v", ran)
	}
	for _, r := range b.receipts {
		if len(ran) == 1 && r != ran[0] {
			report(WrongRequest, "receipt %s, want %s", r, ran[0])
		}
	}
	return out
}
