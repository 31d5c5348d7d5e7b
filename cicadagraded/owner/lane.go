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

// call is a leaf call while it runs.
type call struct {
	attempt  uint64
	id       tier.AttemptID
	part     uint64
	set      string
	shard    string
	server   string
	snapshot tier.Snapshot
	term     string
	booking  *Booking
	ctx      context.Context
	cancel   context.CancelFunc
	records  []tier.Record
	receipt  string
	lane     *lane
	over     bool
}

// expect is what the reply has to echo.
func (c *call) expect() correlator.Expectation {
	return correlator.NewExpectation(c.id, c.set, c.shard, c.snapshot)
}

// lane is the link to one backend server with a worker for each of its
// slots, joined to the loop by a ring.
type lane struct {
	link   *backendclient.Client
	ring   *queue.Queue[*call]
	probes *queue.Queue[uint64]
	ctx    context.Context
	cancel context.CancelFunc
	open   int
	ending bool
}

// startLane starts the workers of a server in the group.
func (o *Owner) startLane(server tier.Backend) *lane {
	ctx, cancel := context.WithCancel(o.ctx)
	l := &lane{
		link:   backendclient.New(server, server.Slots()),
		ring:   queue.New[*call](server.Slots()),
		probes: queue.New[uint64](1),
		ctx:    ctx,
		cancel: cancel,
	}
	for range server.Slots() {
		o.group.Go(func() error { return o.work(l) })
	}
	o.group.Go(func() error { return o.probe(l) })
	return l
}

// end stops a lane once no call uses it.
func (l *lane) end() {
	l.ending = true
	if l.open == 0 {
		l.cancel()
		l.link.Close()
	}
}

// closed notes that a call of the lane is over.
func (l *lane) closed() {
	l.open--
	if l.ending {
		l.end()
	}
}

// work runs leaf calls one after the other until the lane ends.
func (o *Owner) work(l *lane) error {
	for {
		c, err := l.ring.Pop(l.ctx)
		if err != nil {
			return nil
		}
		m := o.run(l, c)
		c.cancel()
		if err := o.inbox.Push(o.ctx, m); err != nil {
			return nil
		}
	}
}

// run makes one leaf call.
func (o *Owner) run(l *lane, c *call) *repliedMessage {
	if c.booking != nil {
		return book(l, c)
	}
	return search(l, c)
}

func search(l *lane, c *call) *repliedMessage {
	reply, err := l.link.Search(c.ctx, &backendv1.SearchRequest{
		Attempt:  c.id.String(),
		Set:      c.set,
		Shard:    c.shard,
		Snapshot: &backendv1.Snapshot{Epoch: uint64(c.snapshot.Epoch()), Version: uint64(c.snapshot.Version())},
		Term:     c.term,
	})
	if err != nil {
		return failed(c, err)
	}
	records := toRecords(reply.GetRecords())
	got := correlator.NewSearchReply(reply.GetAttempt(), reply.GetSet(), reply.GetShard(), toSnapshot(reply.GetSnapshot()), records, int(reply.GetCount()), reply.GetDigest())
	m := &repliedMessage{attempt: c.attempt, state: toState(reply.GetState())}
	if err := correlator.CheckSearchReply(c.expect(), got); err != nil {
		m.result = &dispatcher.ReplyRejected{}
		m.rejected = true
		return m
	}
	m.result = &dispatcher.ReplyOK{}
	m.records = records
	m.holding = toHeld(reply.GetHolding())
	return m
}

func book(l *lane, c *call) *repliedMessage {
	reply, err := l.link.Book(c.ctx, &backendv1.BookRequest{
		Attempt:   c.id.String(),
		Set:       c.set,
		Shard:     c.shard,
		RecordKey: c.booking.recordKey,
		Body:      c.booking.body,
	})
	if err != nil {
		return failed(c, err)
	}
	got := correlator.NewBookingReply(reply.GetAttempt(), reply.GetSet(), reply.GetShard(), reply.GetReceipt())
	m := &repliedMessage{attempt: c.attempt, state: toState(reply.GetState())}
	if err := correlator.CheckBookingReply(c.expect(), got); err != nil {
		m.result = &dispatcher.ReplyRejected{}
		m.rejected = true
		return m
	}
	m.result = &dispatcher.ReplyOK{}
	m.receipt = reply.GetReceipt()
	return m
}

// failed turns the error of a leaf call into what the dispatcher needs.
func failed(c *call, err error) *repliedMessage {
	m := &repliedMessage{attempt: c.attempt, result: &dispatcher.ReplyFailed{}, cancelled: errors.Is(c.ctx.Err(), context.Canceled)}
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
		m.refused = notRun.ConnectionRefused()
		m.result = dispatcher.NewReplyNotRun(dispatcher.NotRunShed)
	}
	return m
}
