package booker

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/claimer"
	"cicadagrade.example/tier/queue"
)

// Request is a booking under an idempotency key.
type Request struct {
	key      string
	set      string
	record   string
	body     string
	deadline tier.Millis
	first    bool
}

// RequestOption sets one field of a request.
type RequestOption func(*Request)

// WithFirstSending says that the caller vouches never to have sent this key
// before. Then a refusal without a look at the store is true of the key, not
// of this sending alone.
func WithFirstSending() RequestOption { return func(r *Request) { r.first = true } }

// NewRequest returns a booking that has to end by deadline, on the clock
// that Booker was given. The key is a caller's own or a minted one.
func NewRequest(key, set, record, body string, deadline tier.Millis, opts ...RequestOption) Request {
	r := Request{key: key, set: set, record: record, body: body, deadline: deadline}
	for _, o := range opts {
		o(&r)
	}
	return r
}

// SendFunc sends a booking on its way. It returns *tier.Booked, *tier.Refused
// only if the booking was not run and never will be by this sending, or
// *tier.Unknown.
type SendFunc func(ctx context.Context) tier.Outcome

// Mint returns a key that this life of the VM alone can run. It is empty if
// the duty has stopped or ctx ended.
func (c *Booker) Mint(ctx context.Context) string {
	minted := queue.New[claimer.Key](1)
	if c.tell(ctx, message{minted: minted}) != nil {
		return ""
	}
	select {
	case k := <-minted.Chan():
		return k.String()
	case <-c.stopped:
	case <-ctx.Done():
	}
	return ""
}

// Book runs a booking at most once: send is called once, or not at all when
// the key ran before, is claimed elsewhere, or can't be claimed. The error
// is a *claimer.KeyReusedError or a *tier.InvalidError. When ctx ends before
// the send, nothing is sent; a send that has begun goes on to its deadline,
// so that its outcome can be recorded.
func (c *Booker) Book(ctx context.Context, r Request, send SendFunc) (tier.Outcome, error) {
	key, err := claimer.ParseKey(r.key)
	if err != nil {
		return nil, errors.Wrap(err, "Booker.Book")
	}
	ticket := c.tickets.Add(1)
	mail := queue.New[claimer.Action](2)
	fingerprint := claimer.Fingerprint(r.set, r.record, r.body)
	submit := claimer.NewSubmit(ticket, key, r.set, fingerprint, r.first, r.deadline, c.clock.WallTime())
	if c.tell(ctx, message{event: submit, ticket: ticket, mail: mail}) != nil {
		return claimer.NotRunOutcome(r.first, tier.RefuseCallerGone), nil
	}
	o, err := c.await(ctx, ticket, mail, send)
	return o, errors.Wrap(err, "Booker.Book")
}

// await follows a booking to its end.
func (c *Booker) await(ctx context.Context, ticket uint64, mail *queue.Queue[claimer.Action], send SendFunc) (tier.Outcome, error) {
	gone := ctx.Done()
	for {
		select {
		case a := <-mail.Chan():
			switch a := a.(type) {
			case *claimer.Run:
				o := c.sendOnce(ctx, a, send)
				_ = c.tell(context.WithoutCancel(ctx), message{event: claimer.NewRan(ticket, o)})
			case *claimer.Finish:
				return a.Outcome(), a.Err()
			}
		case <-gone:
			gone = nil
			_ = c.tell(context.WithoutCancel(ctx), message{event: claimer.NewCallerGone(ticket)})
		case <-c.stopped:
			return tier.NewUnknown(tier.UnknownHolderGone), nil
		}
	}
}

// sendOnce sends unless the caller has gone or the deadline has passed, as
// after a pause of the VM.
func (c *Booker) sendOnce(ctx context.Context, a *claimer.Run, send SendFunc) tier.Outcome {
	if ctx.Err() != nil {
		return tier.NewRefused(tier.RefuseCallerGone, 0)
	}
	left := a.Deadline() - c.clock.Now()
	if left <= 0 {
		return tier.NewRefused(tier.RefuseDeadline, 0)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), left.Duration())
	defer cancel()
	return send(ctx)
}

// Fence has nothing more sent: a later life of this VM has been seen.
func (c *Booker) Fence(ctx context.Context) error {
	return errors.Wrap(c.tell(ctx, message{event: &claimer.Fenced{}}), "Booker.Fence")
}

// Flush returns once every booking has ended and its outcome is recorded. A
// planned stop calls it before Run's context ends.
func (c *Booker) Flush(ctx context.Context) error {
	flushed := make(chan struct{})
	if err := c.tell(ctx, message{event: &claimer.Flush{}, flushed: flushed}); err != nil {
		return errors.Wrap(err, "Booker.Flush")
	}
	select {
	case <-flushed:
		return nil
	case <-c.stopped:
		return errors.WithStack(&StoppedError{})
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "Booker.Flush")
	}
}

// Counters are the counts so far; false if the duty has stopped or ctx ended.
func (c *Booker) Counters(ctx context.Context) (claimer.Counters, bool) {
	counted := queue.New[claimer.Counters](1)
	if err := c.tell(ctx, message{counted: counted}); err != nil {
		return claimer.Counters{}, false
	}
	select {
	case n := <-counted.Chan():
		return n, true
	case <-c.stopped:
	case <-ctx.Done():
	}
	return claimer.Counters{}, false
}

// tell hands a message to the duty.
func (c *Booker) tell(ctx context.Context, m message) error {
	select {
	case <-c.stopped:
		return errors.WithStack(&StoppedError{})
	default:
	}
	return c.events.Push(ctx, m)
}

// StoppedError says that the duty has ended.
type StoppedError struct{}

// Error says so.
func (*StoppedError) Error() string { return "the booker has stopped" }

// KeyDate is the UTC date that a caller's own key of now starts with.
func KeyDate(clock *tier.Clock) string {
	return time.UnixMilli(int64(clock.WallTime())).UTC().Format(time.DateOnly)
}
