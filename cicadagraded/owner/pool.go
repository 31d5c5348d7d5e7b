package owner

import (
	"context"

	"github.com/pkg/errors"

	backendv1 "cicadagrade.example/api/backend/v1"
	"cicadagrade.example/cicadagraded/backendclient"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/correlator"
	"cicadagrade.example/tier/dispatcher"
	"cicadagrade.example/tier/queue"
)

// call is a leaf call that was started.
type call struct {
	attempt   uint64 // the dispatcher's number of the call
	attemptID tier.AttemptID
	part      uint64
	set       string
	shard     string
	server    string
	snapshot  tier.Snapshot
	term      string
	booking   *Booking
	ctx       context.Context
	cancel    context.CancelFunc
	records   []tier.Record
	receipt   string
	pool      *workerPool
	ended     bool
}

// expectation lists the values that the reply has to repeat.
func (c *call) expectation() correlator.Expectation {
	return correlator.NewExpectation(c.attemptID, c.set, c.shard, c.snapshot)
}

// workerPool makes the calls to one backend server. It has one worker for each slot of
// the server, and one more for health probes.
type workerPool struct {
	client    *backendclient.Client
	calls     *queue.Queue[*call]
	probes    *queue.Queue[uint64]
	ctx       context.Context
	cancel    context.CancelFunc
	openCalls int
	closing   bool
}

// startPool starts the workers of a backend server.
func (o *Owner) startPool(server tier.Backend) *workerPool {
	ctx, cancel := context.WithCancel(o.ctx)
	w := &workerPool{
		client: backendclient.New(server, server.Slots()),
		calls:  queue.New[*call](server.Slots()),
		probes: queue.New[uint64](1),
		ctx:    ctx,
		cancel: cancel,
	}
	for range server.Slots() {
		o.group.Go(func() error { return o.runCalls(w) })
	}
	o.group.Go(func() error { return o.runProbes(w) })
	return w
}

// closeWhenIdle stops the pool as soon as it has no open calls.
func (w *workerPool) closeWhenIdle() {
	w.closing = true
	if w.openCalls == 0 {
		w.cancel()
		w.client.Close()
	}
}

// callEnded records that one of the pool's calls has ended.
func (w *workerPool) callEnded() {
	w.openCalls--
	if w.closing {
		w.closeWhenIdle()
	}
}

// runCalls makes queued leaf calls, one after the other, until the pool is stopped.
func (o *Owner) runCalls(w *workerPool) error {
	for {
		c, err := w.calls.Pop(w.ctx)
		if err != nil {
			return nil
		}
		m := o.runCall(w, c)
		c.cancel()
		if err := o.inbox.Push(o.ctx, m); err != nil {
			return nil
		}
	}
}

// runCall makes one leaf call and returns its result.
func (o *Owner) runCall(w *workerPool, c *call) *callEndedMessage {
	if c.booking != nil {
		return runBooking(w, c)
	}
	return runSearch(w, c)
}

func runSearch(w *workerPool, c *call) *callEndedMessage {
	reply, err := w.client.Search(c.ctx, &backendv1.SearchRequest{
		Attempt:  c.attemptID.String(),
		Set:      c.set,
		Shard:    c.shard,
		Snapshot: &backendv1.Snapshot{Epoch: uint64(c.snapshot.Epoch()), Version: uint64(c.snapshot.Version())},
		Term:     c.term,
	})
	if err != nil {
		return failureMessage(c, err)
	}
	records := toRecords(reply.GetRecords())
	got := correlator.NewSearchReply(reply.GetAttempt(), reply.GetSet(), reply.GetShard(), toSnapshot(reply.GetSnapshot()), records, int(reply.GetCount()), reply.GetDigest())
	m := &callEndedMessage{attempt: c.attempt, state: toState(reply.GetState())}
	if err := correlator.CheckSearchReply(c.expectation(), got); err != nil {
		m.result = &dispatcher.ReplyRejected{}
		m.rejected = true
		return m
	}
	m.result = &dispatcher.ReplyOK{}
	m.records = records
	m.heldVersions = toHeldVersions(reply.GetHolding())
	return m
}

func runBooking(w *workerPool, c *call) *callEndedMessage {
	reply, err := w.client.Book(c.ctx, &backendv1.BookRequest{
		Attempt:   c.attemptID.String(),
		Set:       c.set,
		Shard:     c.shard,
		RecordKey: c.booking.recordKey,
		Body:      c.booking.body,
	})
	if err != nil {
		return failureMessage(c, err)
	}
	got := correlator.NewBookingReply(reply.GetAttempt(), reply.GetSet(), reply.GetShard(), reply.GetReceipt())
	m := &callEndedMessage{attempt: c.attempt, state: toState(reply.GetState())}
	if err := correlator.CheckBookingReply(c.expectation(), got); err != nil {
		m.result = &dispatcher.ReplyRejected{}
		m.rejected = true
		return m
	}
	m.result = &dispatcher.ReplyOK{}
	m.receipt = reply.GetReceipt()
	return m
}

// failureMessage converts the error of a leaf call to a result for the dispatcher, and a
// state of the backend server if the error shows one.
func failureMessage(c *call, err error) *callEndedMessage {
	m := &callEndedMessage{attempt: c.attempt, result: &dispatcher.ReplyFailed{}, cancelled: errors.Is(c.ctx.Err(), context.Canceled)}
	var notRun *backendclient.NotRunError
	if !errors.As(err, &notRun) {
		return m
	}
	switch notRun.Reason() {
	case backendclient.NotRunShed:
		m.state = tier.BackendShedding
		m.result = dispatcher.NewReplyNotRun(dispatcher.NotRunShed)
	case backendclient.NotRunLeaving:
		m.state = tier.BackendLeaving
		m.result = dispatcher.NewReplyNotRun(dispatcher.NotRunLeaving)
	case backendclient.NotRunWrongSnapshot:
		m.result = dispatcher.NewReplyNotRun(dispatcher.NotRunWrongSnapshot)
	case backendclient.NotRunNoConnection:
		m.state = tier.BackendLost
		m.connectionRefused = notRun.ConnectionRefused()
		m.result = dispatcher.NewReplyNotRun(dispatcher.NotRunShed)
	}
	return m
}
