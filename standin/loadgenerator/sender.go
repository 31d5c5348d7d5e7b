package loadgenerator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cicadagrade.example/standin/caller"
	"cicadagrade.example/standin/checker"
	"cicadagrade.example/standin/recordgenerator"
)

// maxRepeatDelay is the maximum delay before a booking is sent a second time.
const maxRepeatDelay = 100 * time.Millisecond

// sender sends the requests of one stream during one phase.
type sender struct {
	run         *Run
	phase       int
	streamIndex int
	stream      stream
	random      *rand.Rand
	count       int
}

// request is one search or booking with the time at which it is due to be sent.
type request struct {
	id     string
	due    time.Time
	vm     *caller.VMClient
	search caller.Search  // of a search
	query  checker.Query  // the search as the checker sees it
	book   caller.Booking // of a booking
	body   string         // of a booking
}

// sendAll sends requests from start to end as a Poisson process with the stream's mean
// rate.
func (s *sender) sendAll(ctx context.Context, start, end time.Time) error {
	due := start
	for {
		due = due.Add(time.Duration(s.random.ExpFloat64() / s.stream.rate * float64(time.Second)))
		if due.After(end) {
			return nil
		}
		if err := sleepUntil(ctx, due); err != nil {
			return err
		}
		s.sendNext(due)
	}
}

// sendNext launches the next search, or the attempts of the next booking.
func (s *sender) sendNext(due time.Time) {
	s.count++
	id := fmt.Sprintf("%s-%d-%d-%d", s.run.idPrefix, s.phase, s.streamIndex, s.count)
	if !s.stream.book {
		s.launch(s.newSearch(id, due))
		return
	}
	for _, q := range s.newBookings(id, due) {
		s.run.bookings.RecordAttempt(q.id, q.body)
		s.launch(q)
	}
}

// nextVM selects a ready VM round robin, as the platform's load balancer does.
func (s *sender) nextVM(n int) *caller.VMClient {
	return s.run.vms[s.run.balancer.pick(s.stream.vms, n)]
}

func (s *sender) newSearch(id string, due time.Time) request {
	terms := s.run.records.Terms(s.stream.set.Name())
	term := terms[s.random.IntN(len(terms))]
	return request{
		id:     id,
		due:    due,
		vm:     s.nextVM(s.count),
		search: caller.NewSearch(id, s.stream.profile, s.stream.set.Name(), recordgenerator.TagTerm(term, id), s.stream.deadline),
		query:  checker.NewQuery(id, s.stream.profile, s.stream.set.Name(), term),
	}
}

// newBookings returns one booking with an idempotency key set by the caller. A fraction
// of the bookings is sent a second time a little later through another VM with the same
// key.
func (s *sender) newBookings(id string, due time.Time) []request {
	key := time.Now().UTC().Format(time.DateOnly) + "-" + id
	recordKey := fmt.Sprintf("booking-%d", s.random.IntN(1<<20))
	body := "booking " + id
	attempts := 1
	if s.random.Float64() < s.stream.repeatFraction {
		attempts = 2
	}
	var out []request
	for n := range attempts {
		attemptID := fmt.Sprintf("%s-%d", id, n)
		out = append(out, request{
			id:   attemptID,
			due:  due.Add(time.Duration(float64(n) * s.random.Float64() * float64(maxRepeatDelay))),
			vm:   s.nextVM(s.count + n),
			book: caller.NewBooking(attemptID, s.stream.profile, s.stream.set.Name(), recordKey, body, key, s.stream.deadline),
			body: body,
		})
	}
	return out
}

// launch sends a request without waiting for its answer. If too many requests are in
// flight, the request is counted as not sent.
func (s *sender) launch(q request) {
	sent := s.run.requests.TryGo(func() error {
		s.recordResult(s.execute(q))
		return nil
	})
	if !sent {
		s.recordResult(requestResult{notSent: true})
	}
}

func (s *sender) recordResult(r requestResult) {
	r.phase, r.stream, r.booking = s.phase, s.streamIndex, s.stream.book
	_ = s.run.results.Push(context.Background(), r)
}

// execute sends a request when it is due and checks its answer. It does not use the
// context of the phase, so that requests in flight when the phase ends still get their
// answers.
func (s *sender) execute(q request) requestResult {
	ctx, cancel := context.WithDeadline(context.Background(), q.due.Add((s.stream.deadline + answerGrace).Duration()))
	defer cancel()
	if err := sleepUntil(ctx, q.due); err != nil {
		return requestResult{}
	}
	a, err := s.call(ctx, q)
	if err != nil {
		return s.failedResult(q, err)
	}
	r := requestResult{latency: time.Since(q.due), answer: a}
	r.inTime = r.latency <= s.stream.deadline.Duration()
	if s.stream.book {
		r.violations = s.run.bookings.RecordOutcome(q.id, q.body, a)
	} else {
		r.violations = s.run.checker.CheckSearch(q.query, a)
	}
	return r
}

// failedResult returns the result of a request that got no answer. If VMs are only
// stopped gracefully during the workload, a missing answer is a violation.
func (s *sender) failedResult(q request, err error) requestResult {
	if !s.run.workload.plannedStopsOnly {
		return requestResult{}
	}
	return requestResult{violations: []checker.Violation{{Kind: checker.Unanswered, RequestID: q.id, Detail: err.Error()}}}
}

func (s *sender) call(ctx context.Context, q request) (*checker.Answer, error) {
	switch {
	case s.stream.book:
		return q.vm.Book(ctx, q.book)
	case s.stream.direct:
		return s.run.direct.Search(ctx, q.search)
	default:
		return q.vm.Search(ctx, q.search)
	}
}
