// Package leafclient is an HTTP/1.1 client for calls to leafs. It reports whether a request
// was written, whether the complete reply was received, and whether the connection was
// new. It never retries a request.
//
// The Transport of net/http does not fit: it retries a GET if a reused connection fails,
// needs two goroutines for each connection, and takes whatever bytes come next on a
// connection as the reply. So this package pools its own connections, and uses net/http
// only to parse replies.
package leafclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

// Limits of connections and replies.
const (
	// dialTimeout bounds the opening of a connection. It is below one second, after which
	// TCP retransmits a lost SYN, since a connection that late would not help.
	dialTimeout = 900 * tier.Millisecond
	// maxIdleTime is how long a connection may be idle before reuse. The server's
	// Keep-Alive header can only shorten it.
	maxIdleTime = 4 * tier.Second
	// keepAliveFraction is the part of the server's Keep-Alive timeout within which a
	// connection is reused.
	keepAliveFraction = 0.8
	// maxIdlePerAddress bounds the idle connections to one address. Servers accept few
	// connections from all VMs together.
	maxIdlePerAddress = 3
	// maxReplyBytes bounds the body of a reply, and maxHeadBytes its status line and header.
	maxReplyBytes = 8 << 20
	maxHeadBytes  = 64 << 10
	// smallReplyBytes is the part of a body that does not count towards the limit of
	// WithBodyMemory.
	smallReplyBytes = 64 << 10
	// defaultBodyMemory is the limit without WithBodyMemory, in bytes.
	defaultBodyMemory = 64 << 20
	// maxRepliesPerCall bounds the replies that are read for one request, including
	// interim replies and late replies to earlier requests.
	maxRepliesPerCall = 4
	readBufferBytes   = 4 << 10
)

// Reply is a complete reply of a server.
type Reply struct {
	status int
	header http.Header
	body   []byte
}

// NewReply returns a reply that another client has received.
func NewReply(status int, header http.Header, body []byte) *Reply {
	return &Reply{status: status, header: header, body: body}
}

// Status is the status code.
func (r *Reply) Status() int { return r.status }

// Header is the reply's header.
func (r *Reply) Header() http.Header { return r.header }

// Body is the complete body.
func (r *Reply) Body() []byte { return r.body }

// Counts are totals since the client was created.
type Counts struct {
	Dials        int64 // attempts to open a connection
	Requests     int64 // requests written
	StaleReplies int64 // skipped replies to earlier requests
	OutOfSync    int64 // connections closed because of bytes that no request asked for
}

// Client is an HTTP client with a pool of connections to many addresses. It is safe for
// concurrent use.
type Client struct {
	dial   Dial
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool

	bodyMemory int64
	bodyBytes  atomic.Int64 // of bodies being read, without smallReplyBytes of each

	connectedAt atomic.Int64 // when a connection was last opened, in nanoseconds of Unix time

	dials, requests, staleReplies, outOfSync atomic.Int64
}

// Option changes a Client.
type Option func(*Client)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// WithDial replaces the function that opens connections. Without it, they are TCP connections
// that are opened within dialTimeout.
func WithDial(dial Dial) Option { return func(c *Client) { c.dial = dial } }

// WithBodyMemory bounds the bytes of all large bodies that are being read at a time. A call
// that would exceed it fails: servers in trouble may send bytes without end.
func WithBodyMemory(bytes int64) Option { return func(c *Client) { c.bodyMemory = bytes } }

// New returns a client without connections.
func New(options ...Option) *Client {
	c := &Client{
		dial:       (&net.Dialer{Timeout: dialTimeout.Duration(), KeepAlive: -1}).DialContext,
		idle:       map[string][]*conn{},
		bodyMemory: defaultBodyMemory,
	}
	for _, set := range options {
		set(c)
	}
	return c
}

// Counts returns the totals.
func (c *Client) Counts() Counts {
	return Counts{
		Dials: c.dials.Load(), Requests: c.requests.Load(),
		StaleReplies: c.staleReplies.Load(), OutOfSync: c.outOfSync.Load(),
	}
}

// conn is a connection to a server with its buffered reader.
type conn struct {
	net.Conn
	limiter     *headLimiter
	reader      *bufio.Reader
	idleSince   time.Time
	idleTimeout time.Duration
	hasReplied  bool
	answered    answeredIDs
}

// Call is a request and the conditions for sending it.
type Call struct {
	// Method is the request's method; a reply to HEAD has no body.
	Method string
	// Request is the request as it is sent, and Rest the rest of its body, which calls may share.
	Request, Rest []byte
	// ID is the request's id, which servers echo, and EchoedID returns the id from a reply's
	// header, or "". A request that is sent again has the same id. If EchoedID is nil, any reply
	// is accepted.
	ID       string
	EchoedID func(http.Header) string
	// MaxIdle is the longest idle time of a connection reused for this request; 0 sets
	// no limit beyond the client's.
	MaxIdle tier.Millis
}

// Do sends a request to an address and waits for the complete reply until ctx ends. The
// error is a *NotSentError or a *NoReplyError.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Reply, error) {
	cn, err := c.acquire(ctx, address, call)
	if err != nil {
		return nil, &NotSentError{address: address, cause: err}
	}
	if at, ok := ctx.Deadline(); ok {
		_ = cn.SetDeadline(at)
	}
	stopWatching := context.AfterFunc(ctx, func() { _ = cn.Close() })
	if written, err := cn.writeRequest(call); err != nil {
		stopWatching()
		_ = cn.Close()
		if written == 0 {
			return nil, &NotSentError{address: address, connected: true, cause: err}
		}
		return nil, &NoReplyError{address: address, ended: ctx.Err() == nil && isConnectionEnd(err), cause: err}
	}
	c.requests.Add(1)
	r, keep, err := c.readReply(cn, call)
	if !stopWatching() && err == nil {
		keep = false // the end of ctx has closed the connection
	}
	if err != nil {
		_ = cn.Close()
		ended := ctx.Err() == nil && isConnectionEnd(err)
		rejected := !cn.hasReplied && ctx.Err() == nil && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF))
		return nil, &NoReplyError{address: address, rejected: rejected, ended: ended, cause: err}
	}
	cn.hasReplied = true
	if keep {
		c.release(address, cn)
	} else {
		_ = cn.Close()
	}
	return r, nil
}

// writeRequest writes a request. The first result is 0 if nothing of it was sent.
func (cn *conn) writeRequest(call Call) (int, error) {
	n, err := cn.Write(call.Request)
	if err != nil || len(call.Rest) == 0 {
		return n, err
	}
	more, err := cn.Write(call.Rest)
	return n + more, err
}

// Accepts reports whether a server accepts a connection before ctx ends. One that has ended
// refuses it, or nothing answers at its address.
func (c *Client) Accepts(ctx context.Context, address string) bool {
	connection, err := c.connect(ctx, address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// ConnectedSince reports whether a connection to any server has been opened since a time.
func (c *Client) ConnectedSince(t time.Time) bool { return c.connectedAt.Load() >= t.UnixNano() }

// connect opens a connection.
func (c *Client) connect(ctx context.Context, address string) (net.Conn, error) {
	connection, err := c.dial(ctx, "tcp", address)
	if err == nil {
		c.connectedAt.Store(time.Now().UnixNano())
	}
	return connection, err
}

// readReply reads the reply to the request just written. The second result reports whether
// the connection can be reused.
func (c *Client) readReply(cn *conn, call Call) (*Reply, bool, error) {
	request := &http.Request{Method: call.Method}
	for range maxRepliesPerCall {
		cn.limiter.limit(maxHeadBytes)
		response, err := http.ReadResponse(cn.reader, request)
		if err != nil {
			return nil, false, errors.Wrap(err, "Client.readReply")
		}
		cn.limiter.unlimit()
		if response.StatusCode < 100 || response.StatusCode > 599 {
			return nil, false, errors.Errorf("Client.readReply: the reply's status %03d is none of HTTP", response.StatusCode)
		}
		body, err := c.readBody(call.Method, response)
		if err != nil {
			return nil, false, errors.Wrap(err, "Client.readReply")
		}
		if response.StatusCode < 200 {
			continue // an interim (1xx) reply
		}
		isReply, err := cn.answered.add(call, response.Header)
		if err != nil {
			return nil, false, errors.Wrap(err, "Client.readReply")
		}
		if !isReply {
			c.staleReplies.Add(1)
			if response.Close {
				return nil, false, errors.New("Client.readReply: the reply is to another request")
			}
			continue
		}
		keep := !response.Close
		if cn.reader.Buffered() > 0 {
			c.outOfSync.Add(1)
			keep = false
		}
		cn.idleTimeout = keepAliveTimeout(response.Header)
		return &Reply{status: response.StatusCode, header: response.Header, body: body}, keep, nil
	}
	return nil, false, errors.New("Client.readReply: too many interim replies or replies to other requests")
}

// acquire returns an idle connection that is still open, has not been idle for longer than the call
// allows, and has brought no reply to the same request, or a new connection.
func (c *Client) acquire(ctx context.Context, address string, call Call) (*conn, error) {
	for {
		cn := c.popIdle(address, call.ID)
		if cn == nil {
			break
		}
		age := time.Since(cn.idleSince)
		stale := age > cn.idleTimeout || call.MaxIdle > 0 && age > call.MaxIdle.Duration()
		if !stale && c.isAlive(cn) {
			return cn, nil
		}
		_ = cn.Close()
	}
	cn, err := c.open(ctx, address)
	return cn, errors.Wrap(err, "Client.acquire")
}

// open opens a connection.
func (c *Client) open(ctx context.Context, address string) (*conn, error) {
	c.dials.Add(1)
	raw, err := c.connect(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "Client.open")
	}
	limiter := &headLimiter{source: raw}
	return &conn{
		Conn: raw, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), idleTimeout: maxIdleTime.Duration(),
	}, nil
}
