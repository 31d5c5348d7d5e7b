// Package exchanger runs the gossip of a VM: it serves peers' exchanges,
// sends its own, and shows the daemon the members and what they publish.
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
	"cicadagrade.example/tier/ring"

	peerv1 "cicadagrade.example/api/peer/v1"
	"cicadagrade.example/api/peer/v1/peerv1connect"
)

const (
	senders    = 16 // exchanges in flight at once
	sendQueue  = 64
	minWait    = tier.Millis(10)
	maxMessage = 64 << 10 // bytes read of a peer's message
)

// TooLargeError says that a key or a value is too large to publish.
type TooLargeError struct {
	key  string
	size int
}

// Key is the key that was to be published.
func (e *TooLargeError) Key() string { return e.key }

// Error names the key and the sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %q has %d bytes, %d allowed", e.key, e.size, gossiper.MaxValue)
}

// Traffic counts what the gossip sent and received, with headers as estimated
// by the gossiper.
type Traffic struct {
	exchanges uint64
	failures  uint64
	sent      uint64
	received  uint64
}

// Exchanges is how many exchanges were started.
func (t Traffic) Exchanges() uint64 { return t.exchanges }

// Failures is how many of them failed.
func (t Traffic) Failures() uint64 { return t.failures }

// Sent is the bytes sent, requests and replies.
func (t Traffic) Sent() uint64 { return t.sent }

// Received is the bytes received, requests and replies.
func (t Traffic) Received() uint64 { return t.received }

// Exchanger is the gossip of one VM. It is safe for concurrent use.
type Exchanger struct {
	clock     *tier.Clock
	timeout   tier.Millis
	addresses map[string]string
	options   []gossiper.Option
	client    *http.Client
	changes   *ring.Ring[gossiper.Action]

	lock     sync.Mutex
	gossiper *gossiper.Gossiper

	queue   *ring.Ring[*gossiper.SendExchange]
	wake    *ring.Ring[struct{}]
	dropped atomic.Uint64

	exchanges, failures, sent, received atomic.Uint64
}

// Option sets one field of an Exchanger.
type Option func(*Exchanger)

// WithTimeout sets how long a peer may take to answer.
func WithTimeout(m tier.Millis) Option { return func(x *Exchanger) { x.timeout = m } }

// WithAddresses sets other addresses to dial for the addresses that peers
// publish, such as those of a relay.
func WithAddresses(dial map[string]string) Option {
	return func(x *Exchanger) { x.addresses = dial }
}

// WithChanges sets the ring that takes each MemberChanged and EntryChanged.
// When it is full they are dropped and counted by Dropped.
func WithChanges(r *ring.Ring[gossiper.Action]) Option {
	return func(x *Exchanger) { x.changes = r }
}

// WithGossip passes options to the gossiper.
func WithGossip(opts ...gossiper.Option) Option {
	return func(x *Exchanger) { x.options = append(x.options, opts...) }
}

// New returns the exchanger of a VM, which starts joining. Its errors are of
// type *tier.InvalidError.
func New(self tier.VM, clock *tier.Clock, opts ...Option) (*Exchanger, error) {
	x := &Exchanger{
		clock: clock,
		queue: ring.New[*gossiper.SendExchange](sendQueue),
		wake:  ring.New[struct{}](1),
	}
	x.Defaults()
	for _, o := range opts {
		o(x)
	}
	g, err := gossiper.New(self, x.options...)
	if err != nil {
		return nil, errors.Wrap(err, "New")
	}
	x.gossiper = g
	x.client = newClient(x.timeout)
	return x, nil
}

// Defaults sets the timeout.
func (x *Exchanger) Defaults() { x.timeout = tier.Second }

func newClient(timeout tier.Millis) *http.Client {
	dialer := &net.Dialer{Timeout: timeout.Duration()}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        sendQueue,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// Run sends exchanges until ctx ends. It is one duty of a run group.
func (x *Exchanger) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return x.tick(ctx) })
	for range senders {
		group.Go(func() error { return x.send(ctx) })
	}
	err := group.Wait()
	x.client.CloseIdleConnections()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Wrap(err, "Run")
}

// tick steps the gossiper whenever it is due.
func (x *Exchanger) tick(ctx context.Context) error {
	return ticker.Run(ctx, x.wake, func() { x.step(&gossiper.Tick{}) }, x.wait)
}

func (x *Exchanger) wait() tier.Millis {
	x.lock.Lock()
	defer x.lock.Unlock()
	next, _ := x.gossiper.Next()
	return max(next-x.clock.Now(), minWait)
}

// send sends queued requests, one at a time.
func (x *Exchanger) send(ctx context.Context) error {
	for {
		a, err := x.queue.Pop(ctx)
		if err != nil {
			return err
		}
		x.exchangeWith(ctx, a)
	}
}

func (x *Exchanger) exchangeWith(ctx context.Context, a *gossiper.SendExchange) {
	ctx, cancel := context.WithTimeout(ctx, x.timeout.Duration())
	defer cancel()
	x.exchanges.Add(1)
	x.sent.Add(uint64(a.Message().Size()))
	reply, err := x.peer(a.Address()).Exchange(ctx, connect.NewRequest(encodeRequest(a.Message())))
	if err != nil {
		x.failures.Add(1)
		x.step(gossiper.NewPeerFailed(a.Number()))
		return
	}
	r := reply.Msg
	m := decodeMessage(r.GetSender(), r.GetIncarnation(), r.GetDigests(), r.GetEntries())
	x.received.Add(uint64(m.Size()))
	x.step(gossiper.NewReplyReceived(a.Number(), m))
}

func (x *Exchanger) peer(address string) peerv1connect.PeerServiceClient {
	if dial, ok := x.addresses[address]; ok {
		address = dial
	}
	return peerv1connect.NewPeerServiceClient(x.client, "http://"+address,
		connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessage))
}

// Exchange serves a peer's request. It is a method of the peer service.
func (x *Exchanger) Exchange(_ context.Context, r *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeReply], error) {
	q := r.Msg
	m := decodeMessage(q.GetSender(), q.GetIncarnation(), q.GetDigests(), q.GetEntries())
	x.received.Add(uint64(m.Size()))
	reply := x.step(gossiper.NewExchangeReceived(m))
	x.sent.Add(uint64(reply.Size()))
	return connect.NewResponse(encodeReply(reply)), nil
}

// step drives the gossiper, passes its actions on, and returns its reply if
// there is one.
func (x *Exchanger) step(e gossiper.Event) *gossiper.Message {
	x.lock.Lock()
	defer x.lock.Unlock()
	before, _ := x.gossiper.Next()
	var reply *gossiper.Message
	for _, a := range x.gossiper.Step(x.clock.Now(), e) {
		switch a := a.(type) {
		case *gossiper.SendExchange:
			x.queue.TryPush(a)
		case *gossiper.Reply:
			reply = a.Message()
		default:
			x.tell(a)
		}
	}
	if next, _ := x.gossiper.Next(); next < before {
		x.wake.TryPush(struct{}{})
	}
	return reply
}

func (x *Exchanger) tell(a gossiper.Action) {
	if x.changes != nil && !x.changes.TryPush(a) {
		x.dropped.Add(1)
	}
}
