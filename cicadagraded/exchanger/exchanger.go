// Package exchanger runs the gossip protocol of a VM over the network: it drives the state
// machine of package gossiper, and starts exchanges (a request and its reply) with peers and
// serves theirs. The rest of the daemon reads the members and their published values from
// it, and publishes through it.
package exchanger

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/cicadagraded/ticker"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/gossiper"
	"cicadagrade.example/tier/queue"

	peerv1 "cicadagrade.example/api/peer/v1"
	"cicadagrade.example/api/peer/v1/peerv1connect"
)

const (
	senderCount     = 16 // goroutines that send exchanges, and so exchanges in flight
	sendQueueSize   = 64
	minTickInterval = tier.Millis(10)
	maxMessageBytes = 64 << 10 // largest message accepted from a peer
)

// TooLargeError reports that a key or a value is too large to publish.
type TooLargeError struct {
	key  string
	size int
}

// Key is the key that was to be published.
func (e *TooLargeError) Key() string { return e.key }

// Error includes the key, the value's size and the allowed size.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %q has %d bytes, %d allowed", e.key, e.size, gossiper.MaxValueBytes)
}

// Traffic holds totals of the exchanges with peers. Bytes include an estimate of the
// protocol headers by the gossiper.
type Traffic struct {
	exchanges uint64
	failures  uint64
	sent      uint64
	received  uint64
}

// Exchanges is the number of exchanges that this VM started.
func (t Traffic) Exchanges() uint64 { return t.exchanges }

// Failures is the number of them that failed.
func (t Traffic) Failures() uint64 { return t.failures }

// Sent is the number of bytes sent in requests and replies.
func (t Traffic) Sent() uint64 { return t.sent }

// Received is the number of bytes received in requests and replies.
func (t Traffic) Received() uint64 { return t.received }

// Exchanger runs the gossip protocol of one VM. It is safe for concurrent use.
type Exchanger struct {
	clock         *tier.Clock
	timeout       tier.Millis
	dialAddresses map[string]string
	gossipOptions []gossiper.Option
	client        *http.Client
	changes       *queue.Queue[gossiper.Action]

	mu       sync.Mutex
	gossiper *gossiper.Gossiper

	sendQueue      *queue.Queue[*gossiper.SendRequest]
	wake           *queue.Queue[struct{}]
	droppedChanges atomic.Uint64

	exchanges, failures, sent, received atomic.Uint64
}

// Option sets an option of an Exchanger.
type Option func(*Exchanger)

// WithTimeout bounds an exchange with a peer.
func WithTimeout(m tier.Millis) Option { return func(x *Exchanger) { x.timeout = m } }

// WithAddresses maps addresses that peers publish to the addresses to dial instead, such
// as those of a proxy.
func WithAddresses(dial map[string]string) Option {
	return func(x *Exchanger) { x.dialAddresses = dial }
}

// WithChanges sets the queue that receives each gossiper.MemberChanged and EntryChanged.
// Changes that find the queue full are dropped, and counted by DroppedChanges.
func WithChanges(changes *queue.Queue[gossiper.Action]) Option {
	return func(x *Exchanger) { x.changes = changes }
}

// WithGossip passes options to the gossiper.
func WithGossip(opts ...gossiper.Option) Option {
	return func(x *Exchanger) { x.gossipOptions = append(x.gossipOptions, opts...) }
}

// New returns the exchanger of a VM in state joining. Its errors are of type
// *tier.InvalidError.
func New(self tier.VM, clock *tier.Clock, opts ...Option) (*Exchanger, error) {
	x := &Exchanger{
		clock:     clock,
		sendQueue: queue.New[*gossiper.SendRequest](sendQueueSize),
		wake:      queue.New[struct{}](1),
	}
	x.setDefaults()
	for _, o := range opts {
		o(x)
	}
	g, err := gossiper.New(self, x.gossipOptions...)
	if err != nil {
		return nil, errors.Wrap(err, "New")
	}
	x.gossiper = g
	x.client = newClient(x.timeout)
	return x, nil
}

// setDefaults sets the default timeout.
func (x *Exchanger) setDefaults() { x.timeout = tier.Second }

func newClient(timeout tier.Millis) *http.Client {
	dialer := &net.Dialer{Timeout: timeout.Duration()}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        sendQueueSize,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// Run sends exchanges until ctx ends, and then returns nil.
func (x *Exchanger) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return x.runTicker(ctx) })
	for range senderCount {
		group.Go(func() error { return x.sendExchanges(ctx) })
	}
	err := group.Wait()
	x.client.CloseIdleConnections()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Wrap(err, "Run")
}

// runTicker sends a tick to the gossiper whenever it is due, or sooner if woken.
func (x *Exchanger) runTicker(ctx context.Context) error {
	return ticker.Run(ctx, x.wake, func() { x.step(&gossiper.Tick{}) }, x.untilNextTick)
}

// untilNextTick returns the time until the gossiper's next tick is due.
func (x *Exchanger) untilNextTick() tier.Millis {
	x.mu.Lock()
	defer x.mu.Unlock()
	due, _ := x.gossiper.Next()
	return max(due-x.clock.Now(), minTickInterval)
}

// sendExchanges sends queued exchanges, one at a time, until ctx ends.
func (x *Exchanger) sendExchanges(ctx context.Context) error {
	for {
		a, err := x.sendQueue.Pop(ctx)
		if err != nil {
			return err
		}
		x.exchangeWith(ctx, a)
	}
}

// exchangeWith sends one exchange to a peer and passes the result to the gossiper.
func (x *Exchanger) exchangeWith(ctx context.Context, a *gossiper.SendRequest) {
	ctx, cancel := context.WithTimeout(ctx, x.timeout.Duration())
	defer cancel()
	x.exchanges.Add(1)
	x.sent.Add(uint64(a.Message().Size()))
	reply, err := x.clientOf(a.Address()).Exchange(ctx, connect.NewRequest(encodeRequest(a.Message())))
	if err != nil {
		x.failures.Add(1)
		x.step(gossiper.NewExchangeFailed(a.Number()))
		return
	}
	r := reply.Msg
	m := decodeMessage(r.GetSender(), r.GetIncarnation(), r.GetDigests(), r.GetEntries())
	x.received.Add(uint64(m.Size()))
	x.step(gossiper.NewReplyReceived(a.Number(), m))
}

// clientOf returns a client of the peer that publishes an address.
func (x *Exchanger) clientOf(address string) peerv1connect.PeerServiceClient {
	if dial, ok := x.dialAddresses[address]; ok {
		address = dial
	}
	return peerv1connect.NewPeerServiceClient(x.client, "http://"+address,
		connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessageBytes))
}

// Exchange serves a peer's exchange. It implements a method of the PeerService.
func (x *Exchanger) Exchange(_ context.Context, r *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeReply], error) {
	q := r.Msg
	m := decodeMessage(q.GetSender(), q.GetIncarnation(), q.GetDigests(), q.GetEntries())
	x.received.Add(uint64(m.Size()))
	reply := x.step(gossiper.NewRequestReceived(m))
	x.sent.Add(uint64(reply.Size()))
	return connect.NewResponse(encodeReply(reply)), nil
}

// step passes an event to the gossiper and carries out the resulting actions. It returns
// the reply to the peer, or nil if there is none. Exchanges that find the queue full are
// dropped.
func (x *Exchanger) step(e gossiper.Event) *gossiper.Message {
	x.mu.Lock()
	defer x.mu.Unlock()
	previousDue, _ := x.gossiper.Next()
	var reply *gossiper.Message
	for _, a := range x.gossiper.Step(x.clock.Now(), e) {
		switch a := a.(type) {
		case *gossiper.SendRequest:
			x.sendQueue.TryPush(a)
		case *gossiper.SendReply:
			reply = a.Message()
		default:
			x.pushChange(a)
		}
	}
	if due, _ := x.gossiper.Next(); due < previousDue {
		x.wake.TryPush(struct{}{})
	}
	return reply
}

// pushChange queues a change for the reader set by WithChanges, or counts it as dropped.
func (x *Exchanger) pushChange(a gossiper.Action) {
	if x.changes != nil && !x.changes.TryPush(a) {
		x.droppedChanges.Add(1)
	}
}
