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

// maxRepeatDelay is the longest time between two sendings of a booking.
const maxRepeatDelay = 100 * time.Millisecond

// duty sends the requests of one stream in one phase.
type duty struct {
	run    *Run
	phase  int
	index  int
	stream stream
	random *rand.Rand
	count  int
}

// request is one request with the time at which it is due.
type request struct {
	id     string
	due    time.Time
	vm     *caller.VMClient
	search caller.Search
	query  checker.Query
	book   caller.Booking
	body   string
}

// send sends at random times at the stream's mean rate.
func (d *duty) send(ctx context.Context, start, end time.Time) error {
	due := start
	for {
		due = due.Add(time.Duration(d.random.ExpFloat64() / d.stream.rate * float64(time.Second)))
		if due.After(end) {
			return nil
		}
		if err := sleepUntil(ctx, due); err != nil {
			return err
		}
		d.next(due)
	}
}

func (d *duty) next(due time.Time) {
	d.count++
	id := fmt.Sprintf("%s-%d-%d-%d", d.run.started, d.phase, d.index, d.count)
	if !d.stream.book {
		d.launch(d.search(id, due))
		return
	}
	for _, q := range d.bookings(id, due) {
		d.run.ledger.RecordAttempt(q.id, q.body)
		d.launch(q)
	}
}

// vm takes the ready VMs in turn, as the platform's balancer does.
func (d *duty) vm(n int) *caller.VMClient { return d.run.vms[d.run.balancer.pick(d.stream.vms, n)] }

func (d *duty) search(id string, due time.Time) request {
	terms := d.run.records.Terms(d.stream.set.Name())
	term := terms[d.random.IntN(len(terms))]
	return request{
		id:     id,
		due:    due,
		vm:     d.vm(d.count),
		search: caller.NewSearch(id, d.stream.profile, d.stream.set.Name(), recordgenerator.TagTerm(term, id), d.stream.deadline),
		query:  checker.NewQuery(id, d.stream.profile, d.stream.set.Name(), term),
	}
}

// bookings is one booking with a key of the caller's own, some of them sent
// again a little later through another VM.
func (d *duty) bookings(id string, due time.Time) []request {
	key := time.Now().UTC().Format(time.DateOnly) + "-" + id
	record := fmt.Sprintf("booking-%d", d.random.IntN(1<<20))
	body := "booking " + id
	sendings := 1
	if d.random.Float64() < d.stream.repeats {
		sendings = 2
	}
	var out []request
	for n := range sendings {
		name := fmt.Sprintf("%s-%d", id, n)
		out = append(out, request{
			id:   name,
			due:  due.Add(time.Duration(float64(n) * d.random.Float64() * float64(maxRepeatDelay))),
			vm:   d.vm(d.count + n),
			book: caller.NewBooking(name, d.stream.profile, d.stream.set.Name(), record, body, key, d.stream.deadline),
			body: body,
		})
	}
	return out
}

// launch sends a request without waiting for it, unless too many are in
// flight.
func (d *duty) launch(q request) {
	sent := d.run.requests.TryGo(func() error {
		d.end(d.do(q))
		return nil
	})
	if !sent {
		d.end(ended{notSent: true})
	}
}

func (d *duty) end(e ended) {
	e.phase, e.stream, e.booking = d.phase, d.index, d.stream.book
	_ = d.run.ends.Push(context.Background(), e)
}

// do sends a request and checks its answer. Requests in flight outlive the
// phase, so that each gets its answer.
func (d *duty) do(q request) ended {
	ctx, cancel := context.WithDeadline(context.Background(), q.due.Add((d.stream.deadline + grace).Duration()))
	defer cancel()
	if err := sleepUntil(ctx, q.due); err != nil {
		return ended{}
	}
	a, err := d.ask(ctx, q)
	if err != nil {
		return d.failed(q, err)
	}
	e := ended{latency: time.Since(q.due), answer: a}
	e.inTime = e.latency <= d.stream.deadline.Duration()
	if d.stream.book {
		e.violations = d.run.ledger.RecordOutcome(q.id, q.body, a)
	} else {
		e.violations = d.run.checker.CheckSearch(q.query, a)
	}
	return e
}

// failed is the end of a request without an answer. Where VMs only stop as
// planned, none may be cut off.
func (d *duty) failed(q request, err error) ended {
	if !d.run.workload.planned {
		return ended{}
	}
	return ended{violations: []checker.Violation{{Kind: checker.Unanswered, RequestID: q.id, Detail: err.Error()}}}
}

func (d *duty) ask(ctx context.Context, q request) (*checker.Answer, error) {
	switch {
	case d.stream.book:
		return q.vm.Book(ctx, q.book)
	case d.stream.bare:
		return d.run.straight.Search(ctx, q.search)
	default:
		return q.vm.Search(ctx, q.search)
	}
}
