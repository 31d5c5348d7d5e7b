// Package backendclient is a client of backend servers. It uses the Connect protocol over
// HTTP/1.1 with a bounded number of connections to each server.
package backendclient

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	backendv1 "cicadagrade.example/api/backend/v1"
	"cicadagrade.example/api/backend/v1/backendv1connect"
	"cicadagrade.example/tier"
)

// Limits of the connections to one backend server.
const (
	connectTimeout      = 2 * time.Second
	maxReplyBytes       = 8 << 20
	maxProbeConnections = 1
	keepAliveInterval   = 30 * time.Second
)

// Client is the client of one backend server. It holds at most one connection for each
// call that this VM may have in flight on the server, and one more for health probes,
// which therefore never wait for a call. It is safe for concurrent use.
type Client struct {
	server      tier.Backend
	callClient  backendv1connect.LeafServiceClient
	probeClient backendv1connect.LeafServiceClient
	close       func()
}

// New returns the client of a backend server. It opens connections on demand, at most
// maxConnections of them for calls.
func New(server tier.Backend, maxConnections int) *Client {
	callTransport := newTransport(maxConnections)
	probeTransport := newTransport(maxProbeConnections)
	return &Client{
		server:      server,
		callClient:  newServiceClient(server.Address(), callTransport),
		probeClient: newServiceClient(server.Address(), probeTransport),
		close: func() {
			callTransport.CloseIdleConnections()
			probeTransport.CloseIdleConnections()
		},
	}
}

func newTransport(maxConnections int) *http.Transport {
	d := &net.Dialer{Timeout: connectTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		DisableCompression:  true,
	}
}

func newServiceClient(address string, t *http.Transport) backendv1connect.LeafServiceClient {
	return backendv1connect.NewLeafServiceClient(
		&http.Client{Transport: t},
		"http://"+address,
		connect.WithReadMaxBytes(maxReplyBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
}

// Server is the backend server that the client calls.
func (c *Client) Server() tier.Backend { return c.server }

// Close closes the idle connections.
func (c *Client) Close() { c.close() }

// Search makes one search call. Its error is a *NotRunError if the call was certainly not
// run, and a *NoReplyError if it may have run.
func (c *Client) Search(ctx context.Context, r *backendv1.SearchRequest) (*backendv1.SearchReply, error) {
	reply, err := c.callClient.Search(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errors.Wrap(classify(err), "Client.Search")
	}
	return reply.Msg, nil
}

// Book sends a booking, which is not idempotent, once. Its errors are those of Search.
func (c *Client) Book(ctx context.Context, r *backendv1.BookRequest) (*backendv1.BookReply, error) {
	reply, err := c.callClient.Book(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errors.Wrap(classify(err), "Client.Book")
	}
	return reply.Msg, nil
}

// Health requests the server's state on the connection for probes. Its errors are those
// of Search.
func (c *Client) Health(ctx context.Context) (*backendv1.HealthReply, error) {
	reply, err := c.probeClient.Health(ctx, connect.NewRequest(&backendv1.HealthRequest{}))
	if err != nil {
		return nil, errors.Wrap(classify(err), "Client.Health")
	}
	return reply.Msg, nil
}
