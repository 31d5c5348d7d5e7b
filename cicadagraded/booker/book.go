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
	key          string
	set          string
	recordKey    string
	body         string
	deadline     tier.Millis
	firstSending bool
}

// RequestOption sets one field of a request.
type RequestOption func(*Request)

// WithFirstSending says that the caller guarantees never to have sent this key before.
// Then a request refused without reading the store was never run; otherwise an earlier
// request with the key may have run.
func WithFirstSending() RequestOption { return func(r *Request) { r.firstSending = true } }

// NewRequest returns a booking. The key is a caller's own or a minted one. The deadline
// is a time of the Booker's clock.
func NewRequest(key, set, recordKey, body string, deadline tier.Millis, opts ...RequestOption) Request {
	r := Request{key: key, set: set, recordKey: recordKey, body: body, deadline: deadline}
	for _, o := range opts {
		o(&r)
	}
	return r
}

// SendFunc sends a booking to be run. It returns *tier.Refused only if the booking was not
// run and will not be run because of this call, and *tier.Booked or *tier.Unknown
// otherwise.
type SendFunc func(ctx context.Context) tier.Outcome

// Mint returns a key that only this incarnation of the VM can run, or an empty one if the
// Booker has stopped or ctx ended.
func (b *Booker) Mint(ctx context.Context) string {
	reply := queue.New[claimer.Key](1)
	if b.post(ctx, message{keyReply: reply}) != nil {
		return ""
	}
	select {
	case k := <-reply.Chan():
		return k.String()
	case <-b.stopped:
	case <-ctx.Done():
	}
	return ""
}

// Book runs a booking at most once: it calls send once, or not at all if the key ran
// before, is claimed by another VM or can't be claimed. Its errors are
// *claimer.KeyReusedError and *tier.InvalidError. If ctx ends before send is called,
// nothing is sent. A call of send that has started continues until its deadline, so that
// its outcome can be recorded.
func (b *Booker) Book(ctx context.Context, r Request, send SendFunc) (tier.Outcome, error) {
	key, err := claimer.ParseKey(r.key)
	if err != nil {
		return nil, errors.Wrap(err, "Booker.Book")
	}
	submissionID := b.lastSubmission.Add(1)
	actions := queue.New[claimer.Action](2)
	fingerprint := claimer.Fingerprint(r.set, r.recordKey, r.body)
	submit := claimer.NewSubmit(submissionID, key, r.set, fingerprint, r.firstSending, r.deadline, b.clock.WallTime())
	if b.post(ctx, message{event: submit, submissionID: submissionID, actions: actions}) != nil {
		return claimer.NotRunOutcome(r.firstSending, tier.RefuseCallerGone), nil
	}
	o, err := b.awaitOutcome(ctx, submissionID, actions, send)
	return o, errors.Wrap(err, "Booker.Book")
}

// awaitOutcome performs the actions of a submitted booking until it ends.
func (b *Booker) awaitOutcome(ctx context.Context, submissionID uint64, actions *queue.Queue[claimer.Action], send SendFunc) (tier.Outcome, error) {
	callerGone := ctx.Done()
	for {
		select {
		case a := <-actions.Chan():
			switch a := a.(type) {
			case *claimer.Run:
				o := b.sendOnce(ctx, a, send)
				_ = b.post(context.WithoutCancel(ctx), message{event: claimer.NewRan(submissionID, o)})
			case *claimer.Finish:
				return a.Outcome(), a.Err()
			}
		case <-callerGone:
			callerGone = nil
			_ = b.post(context.WithoutCancel(ctx), message{event: claimer.NewCallerGone(submissionID)})
		case <-b.stopped:
			return tier.NewUnknown(tier.UnknownHolderGone), nil
		}
	}
}

// sendOnce calls send unless the caller has gone or the deadline has passed, which it may
// have if the VM was paused.
func (b *Booker) sendOnce(ctx context.Context, a *claimer.Run, send SendFunc) tier.Outcome {
	if ctx.Err() != nil {
		return tier.NewRefused(tier.RefuseCallerGone, 0)
	}
	remaining := a.Deadline() - b.clock.Now()
	if remaining <= 0 {
		return tier.NewRefused(tier.RefuseDeadline, 0)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining.Duration())
	defer cancel()
	return send(ctx)
}

// Fence stops all sending. It is called once a later incarnation of this VM has been
// seen.
func (b *Booker) Fence(ctx context.Context) error {
	return errors.Wrap(b.post(ctx, message{event: &claimer.Fenced{}}), "Booker.Fence")
}

// Flush returns once every booking has ended and its outcome is recorded. A graceful
// shutdown calls it before it ends the context of Run.
func (b *Booker) Flush(ctx context.Context) error {
	flushed := make(chan struct{})
	if err := b.post(ctx, message{event: &claimer.Flush{}, flushed: flushed}); err != nil {
		return errors.Wrap(err, "Booker.Flush")
	}
	select {
	case <-flushed:
		return nil
	case <-b.stopped:
		return errors.WithStack(&StoppedError{})
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "Booker.Flush")
	}
}

// Counters returns the counts since the start, or false if the Booker has stopped or ctx
// ended.
func (b *Booker) Counters(ctx context.Context) (claimer.Counters, bool) {
	reply := queue.New[claimer.Counters](1)
	if err := b.post(ctx, message{countersReply: reply}); err != nil {
		return claimer.Counters{}, false
	}
	select {
	case n := <-reply.Chan():
		return n, true
	case <-b.stopped:
	case <-ctx.Done():
	}
	return claimer.Counters{}, false
}

// post sends a message to the event loop.
func (b *Booker) post(ctx context.Context, m message) error {
	select {
	case <-b.stopped:
		return errors.WithStack(&StoppedError{})
	default:
	}
	return b.messages.Push(ctx, m)
}

// StoppedError reports that the Booker has stopped.
type StoppedError struct{}

// Error describes the error.
func (*StoppedError) Error() string { return "the booker has stopped" }

// KeyDate returns the current UTC date in the form with which a caller's own key starts.
func KeyDate(clock *tier.Clock) string {
	return time.UnixMilli(int64(clock.WallTime())).UTC().Format(time.DateOnly)
}
