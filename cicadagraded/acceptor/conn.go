package acceptor

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/tier/reserver"
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	acceptor *Acceptor
	id       reserver.Holder
	held     atomic.Int64 // bytes reserved for the request

	mu       sync.Mutex
	readBody bool // the handler reads the request's body, and can answer if that ends
	evicted  bool
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// evict ends the connection. A handler that is reading the request's body gets a chance to answer.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	if c.readBody {
		_ = c.Conn.SetReadDeadline(expired)
		return
	}
	_ = c.Close()
}

// isEvicted reports whether the connection has been evicted.
func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// setReadingBody says whether a handler reads the request's body.
func (c *conn) setReadingBody(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBody = reading
}

// beginHeader says that the next bytes are those of a request's header.
func (c *conn) beginHeader() { c.held.Store(0) }

// SetReadDeadline sets the deadline of reads, unless the connection has been evicted.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending side, as net/http does before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.New("conn.CloseWrite: not supported")
}

// SyscallConn returns the connection's socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("conn.SyscallConn: not supported")
	}
	return s.SyscallConn()
}
