// Package leafclient is an HTTP/1.1 client for calls whose fate must be known:
// whether a request was written, whether its reply came whole, and which
// connection it used. It never sends a request twice by itself.
//
// net/http's Transport repeats a GET on a connection that died, keeps two
// goroutines for each connection, and takes whatever bytes come next as the
// reply; so this package keeps its own connections, and parses replies with
// net/http.
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

// Defaults.
const (
	// dialTimeout is the longest wait for a connection: a lost opening packet
	// is sent again after a second, which is too late to help.
	dialTimeout = 900 * tier.Millisecond
	// idleLimit is how long an idle connection is used again if its server
	// names no time of its own.
	idleLimit = 4 * tier.Second
	// idleShare is the part of the server's own idle time that is used.
	idleShare = 0.8
	// maxIdle bounds the idle connections to one address: servers take few
	// from all VMs together.
	maxIdle = 3
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 8 << 20
	// maxStrays is how many replies to other requests are skipped on a
	// connection before it is given up.
	maxStrays  = 4
	bufferSize = 4 << 10
)

// NotSentError says that no byte of the request was written.
type NotSentError struct {
	address string
	dialled bool
	cause   error
}

// Connected reports whether a connection had been made.
func (e *NotSentError) Connected() bool { return e.dialled }

// Unwrap is the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// Error names the address and the cause.
func (e *NotSentError) Error() string {
	return "nothing was sent to " + e.address + ": " + e.cause.Error()
}

// NoReplyError says that the request was sent, at least in part, and no whole
// reply came.
type NoReplyError struct {
	address string
	fresh   bool
	cause   error
}

// ConnectionRejected reports whether the connection was a new one that the server ended
// without a byte.
func (e *NoReplyError) ConnectionRejected() bool { return e.fresh }

// Unwrap is the cause.
func (e *NoReplyError) Unwrap() error { return e.cause }

// Error names the address and the cause.
func (e *NoReplyError) Error() string { return "no reply from " + e.address + ": " + e.cause.Error() }

// Reply is a whole reply.
type Reply struct {
	status int
	header http.Header
	body   []byte
}

// Status is the status code.
func (r *Reply) Status() int { return r.status }

// Header is the reply's header.
func (r *Reply) Header() http.Header { return r.header }

// Body is the whole body.
func (r *Reply) Body() []byte { return r.body }

// Counts are totals since the start.
type Counts struct {
	Dials        int64 // connections opened
	Requests     int64 // requests written
	StaleReplies int64 // replies to other requests that were skipped
	OutOfSync    int64 // connections dropped for bytes that belong to no request
}

// Client keeps connections to many addresses.
type Client struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool

	dials, calls, strays, spoiled atomic.Int64
}

// New returns a courier without connections.
func New() *Client {
	return &Client{
		dialer: net.Dialer{Timeout: dialTimeout.Duration(), KeepAlive: -1},
		idle:   map[string][]*conn{},
	}
}

// Counts returns the totals.
func (c *Client) Counts() Counts {
	return Counts{
		Dials: c.dials.Load(), Requests: c.calls.Load(),
		StaleReplies: c.strays.Load(), OutOfSync: c.spoiled.Load(),
	}
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	idleAt time.Time
	limit  time.Duration
	used   bool
}

// Call says how a request may be sent.
type Call struct {
	// Method is needed to know whether the reply has a body.
	Method string
	// Request is the whole request as it goes over the wire.
	Request []byte
	// IsReply tells the reply to this request from one to an earlier request
	// that came late; nil takes any.
	IsReply func(http.Header) bool
	// MaxIdle uses no connection that has been idle for longer; 0 uses any.
	MaxIdle tier.Millis
}

// Do sends a request to an address and waits for its whole reply, until ctx
// ends. The error is a *NotSentError or a *LostError.
func (c *Client) Do(ctx context.Context, address string, q Call) (*Reply, error) {
	n, err := c.take(ctx, address, q.MaxIdle)
	if err != nil {
		return nil, &NotSentError{address: address, cause: err}
	}
	if at, ok := ctx.Deadline(); ok {
		_ = n.SetDeadline(at)
	}
	stop := context.AfterFunc(ctx, func() { _ = n.Close() })
	if written, err := n.Write(q.Request); err != nil {
		stop()
		_ = n.Close()
		if written == 0 {
			return nil, &NotSentError{address: address, dialled: true, cause: err}
		}
		return nil, &NoReplyError{address: address, cause: err}
	}
	c.calls.Add(1)
	r, keep, err := c.read(n, q)
	if !stop() && err == nil {
		keep = false // closed by the end of ctx
	}
	if err != nil {
		_ = n.Close()
		fresh := !n.used && ctx.Err() == nil && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF))
		return nil, &NoReplyError{address: address, fresh: fresh, cause: err}
	}
	n.used = true
	if keep {
		c.put(address, n)
	} else {
		_ = n.Close()
	}
	return r, nil
}

// read returns the reply to the request just written, and whether the
// connection can be used again.
func (c *Client) read(n *conn, q Call) (*Reply, bool, error) {
	request := &http.Request{Method: q.Method}
	for range maxStrays {
		p, err := http.ReadResponse(n.reader, request)
		if err != nil {
			return nil, false, errors.Wrap(err, "Courier.read")
		}
		body, err := readBody(q.Method, p)
		if err != nil {
			return nil, false, errors.Wrap(err, "Courier.read")
		}
		if p.StatusCode < 200 {
			continue // an interim reply
		}
		if q.IsReply != nil && !q.IsReply(p.Header) {
			c.strays.Add(1)
			if p.Close {
				return nil, false, errors.New("Courier.read: the reply was to another request")
			}
			continue
		}
		keep := !p.Close
		if n.reader.Buffered() > 0 {
			c.spoiled.Add(1)
			keep = false
		}
		n.limit = keepAlive(p.Header)
		return &Reply{status: p.StatusCode, header: p.Header, body: body}, keep, nil
	}
	return nil, false, errors.New("Courier.read: too many replies to other requests")
}

// take returns an idle connection that is still alive, or a new one.
func (c *Client) take(ctx context.Context, address string, maxIdleTime tier.Millis) (*conn, error) {
	for {
		n := c.pop(address)
		if n == nil {
			break
		}
		age := time.Since(n.idleAt)
		stale := age > n.limit || maxIdleTime > 0 && age > maxIdleTime.Duration()
		if !stale && c.alive(n) {
			return n, nil
		}
		_ = n.Close()
	}
	c.dials.Add(1)
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "Courier.take")
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize), limit: idleLimit.Duration()}, nil
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	n := list[len(list)-1]
	list[len(list)-1] = nil
	c.idle[address] = list[:len(list)-1]
	return n
}

func (c *Client) put(address string, n *conn) {
	n.idleAt = time.Now()
	_ = n.SetDeadline(time.Time{})
	c.mu.Lock()
	list := c.idle[address]
	full := c.closed || len(list) >= maxIdle
	if !full {
		c.idle[address] = append(list, n)
	}
	c.mu.Unlock()
	if full {
		_ = n.Close()
	}
}

// alive looks, without waiting, whether an idle connection has been closed or
// has bytes that nobody asked for.
func (c *Client) alive(n *conn) bool {
	if n.reader.Buffered() > 0 {
		return false
	}
	s, ok := n.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		count, err := syscall.Read(int(fd), one[:])
		quiet = count < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK) //nolint:errorlint // a bare errno
		if count > 0 {
			c.spoiled.Add(1)
		}
		return true
	})
	return err == nil && quiet
}

// CloseExpired closes connections that have been idle for too long, so that they do
// not count at their servers.
func (c *Client) CloseExpired() {
	now := time.Now()
	var old []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, n := range list {
			if now.Sub(n.idleAt) > n.limit {
				old = append(old, n)
				continue
			}
			kept = append(kept, n)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
	c.mu.Unlock()
	for _, n := range old {
		_ = n.Close()
	}
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, n := range list {
		_ = n.Close()
	}
}

// Close closes all idle connections and keeps no more.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	all := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, list := range all {
		for _, n := range list {
			_ = n.Close()
		}
	}
}
