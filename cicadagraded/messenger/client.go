// Package messenger carries requests between entry VMs over Connect. Its Client sends
// searches and bookings to the VMs that own a shard set, and its Server handles those from
// other VMs.
package messenger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	peerv1 "cicadagrade.example/api/peer/v1"
	"cicadagrade.example/api/peer/v1/peerv1connect"
	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
)

// Limits and timeouts of the connections between VMs.
const (
	connectTimeout = 500 * time.Millisecond
	maxReplyBytes  = 64 << 20
	pingInterval   = 500 * time.Millisecond
	pingTimeout    = 1 * time.Second
)

// Client sends requests to other VMs. Requests to this VM are direct calls without a
// connection.
type Client struct {
	self        tier.VM
	local       *Server
	clock       *tier.Clock
	http        *http.Client
	dialAddress func(address string) string
	onThreshold func(set, vm string, t admitter.Threshold)
	mu          sync.Mutex
	byAddress   map[string]peerv1connect.PeerServiceClient
}

// Option configures a Client.
type Option func(*Client)

// WithDialAddress sets a function that returns the address to dial for a VM's address.
func WithDialAddress(f func(address string) string) Option {
	return func(c *Client) { c.dialAddress = f }
}

// WithThresholdHandler sets a function that is called with the owner's admission threshold
// that comes with each reply.
func WithThresholdHandler(f func(set, vm string, t admitter.Threshold)) Option {
	return func(c *Client) { c.onThreshold = f }
}

// NewClient returns the client of the VM self; requests to self go to local.
func NewClient(self tier.VM, local *Server, clock *tier.Clock, opts ...Option) *Client {
	c := &Client{
		self:        self,
		local:       local,
		clock:       clock,
		http:        NewHTTPClient(),
		dialAddress: func(address string) string { return address },
		onThreshold: func(string, string, admitter.Threshold) {},
		byAddress:   map[string]peerv1connect.PeerServiceClient{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// NewHTTPClient returns a client that multiplexes requests over one HTTP/2
// connection to each VM.
func NewHTTPClient() *http.Client {
	d := &net.Dialer{Timeout: connectTimeout}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext,
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}}
}

// Service returns a client of the peer service of the VM at an address.
func (c *Client) Service(address string) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.byAddress[address]
	if !ok {
		s = peerv1connect.NewPeerServiceClient(c.http, "http://"+c.dialAddress(address), connect.WithReadMaxBytes(maxReplyBytes))
		c.byAddress[address] = s
	}
	return s
}

// Ask sends a part of a search to a VM and returns its result.
func (c *Client) Ask(ctx context.Context, vm tier.VM, set string, s owner.Search) (owner.PartResult, error) {
	if vm.Name() == c.self.Name() {
		result := c.local.search(ctx, set, s)
		c.onThreshold(set, vm.Name(), c.local.owners.Threshold(set))
		return result, nil
	}
	reply, err := c.Service(vm.Address()).Ask(ctx, connect.NewRequest(c.askRequest(set, s)))
	if err != nil {
		return nil, errors.Wrap(classifySendError(err), "Client.Ask")
	}
	c.onThreshold(set, vm.Name(), fromAdmission(reply.Msg.GetAdmission()))
	if got := fromPeerSnapshot(reply.Msg.GetSnapshot()); reply.Msg.GetRefusal() == nil && got != s.Snapshot() {
		return nil, errors.Wrap(&MismatchedReplyError{want: s.Snapshot().String(), got: got.String()}, "Client.Ask")
	}
	return fromAskReply(reply.Msg), nil
}

// Book sends a booking to a VM and returns its outcome. It never retries.
func (c *Client) Book(ctx context.Context, vm tier.VM, b coordinator.ForwardedBooking) (tier.Outcome, error) {
	if vm.Name() == c.self.Name() {
		return c.local.book(ctx, b)
	}
	reply, err := c.Service(vm.Address()).Book(ctx, connect.NewRequest(c.bookRequest(b)))
	if err != nil {
		return nil, errors.Wrap(classifyBookError(err, b.IdempotencyKey()), "Client.Book")
	}
	if got := reply.Msg.GetIdempotencyKey(); got != b.IdempotencyKey() {
		return nil, errors.Wrap(&MismatchedReplyError{want: b.IdempotencyKey(), got: got}, "Client.Book")
	}
	return fromBookReply(reply.Msg), nil
}

func (c *Client) askRequest(set string, s owner.Search) *peerv1.AskRequest {
	return &peerv1.AskRequest{
		Front:       c.self.Name(),
		Incarnation: uint64(c.self.Incarnation()),
		Set:         set,
		Snapshot:    toPeerSnapshot(s.Snapshot()),
		Shards:      s.Shards(),
		Term:        s.Term(),
		Terms:       toTerms(s.Profile()),
		DeadlineMs:  int64(s.Deadline() - c.clock.Now()),
	}
}

func (c *Client) bookRequest(b coordinator.ForwardedBooking) *peerv1.BookRequest {
	return &peerv1.BookRequest{
		Request:        b.ID(),
		Front:          c.self.Name(),
		Incarnation:    uint64(c.self.Incarnation()),
		Set:            b.Set(),
		Shard:          b.Shard(),
		IdempotencyKey: b.IdempotencyKey(),
		Minted:         b.Minted(),
		First:          b.FirstSending(),
		RecordKey:      b.RecordKey(),
		Body:           b.Body(),
		Terms:          toTerms(b.Profile()),
		DeadlineMs:     int64(b.Deadline() - c.clock.Now()),
	}
}
