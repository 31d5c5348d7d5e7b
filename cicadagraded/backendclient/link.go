// Package backendclient holds the links to backend servers: one bounded connection
// pool for each server, spoken to by the Connect protocol over HTTP/1.1.
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

// Limits of a link.
const (
	connectTimeout    = 2 * time.Second
	maxReplyBytes     = 8 << 20
	probeConnections  = 1
	keepAliveInterval = 30 * time.Second
)

// Client is the connection pool of one VM to one backend server. It holds at
// most one connection for each call that the VM may have in flight there,
// and one for probes.
type Client struct {
	server tier.Backend
	calls  backendv1connect.LeafServiceClient
	probes backendv1connect.LeafServiceClient
	close  func()
}

// New returns a link that holds at most connections connections for
// calls. No connection is made yet.
func New(server tier.Backend, connections int) *Client {
	calls := newTransport(connections)
	probes := newTransport(probeConnections)
	return &Client{
		server: server,
		calls:  newClient(server.Address(), calls),
		probes: newClient(server.Address(), probes),
		close: func() {
			calls.CloseIdleConnections()
			probes.CloseIdleConnections()
		},
	}
}

func newTransport(connections int) *http.Transport {
	d := &net.Dialer{Timeout: connectTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		DisableCompression:  true,
	}
}

func newClient(address string, t *http.Transport) backendv1connect.LeafServiceClient {
	return backendv1connect.NewLeafServiceClient(
		&http.Client{Transport: t},
		"http://"+address,
		connect.WithReadMaxBytes(maxReplyBytes),
		connect.WithAcceptCompression("gzip", nil, nil),
	)
}

// Server is the backend server at the other end.
func (l *Client) Server() tier.Backend { return l.server }

// Close drops the connections that no call uses.
func (l *Client) Close() { l.close() }

// Search makes one search call. Its error is a *NotRunError when the server
// says that it did not run the call, or a *LostError when it may have run.
func (l *Client) Search(ctx context.Context, r *backendv1.SearchRequest) (*backendv1.SearchReply, error) {
	reply, err := l.calls.Search(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errors.Wrap(classify(err), "Link.Search")
	}
	return reply.Msg, nil
}

// Book runs a request that may not be repeated, once. Its errors are those
// of Search.
func (l *Client) Book(ctx context.Context, r *backendv1.BookRequest) (*backendv1.BookReply, error) {
	reply, err := l.calls.Book(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errors.Wrap(classify(err), "Link.Book")
	}
	return reply.Msg, nil
}

// Health asks for the server's state over the probe connection.
func (l *Client) Health(ctx context.Context) (*backendv1.HealthReply, error) {
	reply, err := l.probes.Health(ctx, connect.NewRequest(&backendv1.HealthRequest{}))
	if err != nil {
		return nil, errors.Wrap(classify(err), "Link.Health")
	}
	return reply.Msg, nil
}
