package acceptor

import (
	"bytes"
	"io"
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

	inHeader    atomic.Bool // what is read belongs to a request's header
	headerBytes int64       // memory of the header, used by Read only

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

// beginHeader says that the next bytes are those of a request's header. Nothing is being read meanwhile.
func (c *conn) beginHeader() {
	c.held.Store(0)
	c.headerBytes = 0
	c.inHeader.Store(true)
}

const (
	// uncountedHeaderBytes is the part of each header's memory that does not count towards the limit of bytes. The
	// limit on connections bounds it.
	uncountedHeaderBytes = 8 << 10
	// headerLineBytes is what net/http needs for a line of a header, besides its bytes.
	headerLineBytes = 128
)

// Read reads from the connection. It reserves the memory of headers, and ends the connection if there is none: many
// short lines take far more than their bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 || !c.inHeader.Load() {
		return n, err
	}
	before := max(c.headerBytes, uncountedHeaderBytes)
	c.headerBytes += int64(n) + int64(bytes.Count(p[:n], []byte{'\n'}))*headerLineBytes
	if before == uncountedHeaderBytes && c.headerBytes > before {
		c.acceptor.receive(c)
	}
	if !c.acceptor.grow(c, c.headerBytes-before) {
		c.acceptor.refused.Add(1)
		_ = c.Close()
		return 0, io.EOF
	}
	return n, err
}

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
