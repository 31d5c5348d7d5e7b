package leafclient

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Prepare makes sure that there is a connection to an address that has been idle for a short
// time only, so that the next request need not wait for one.
func (c *Client) Prepare(ctx context.Context, address string) error {
	if c.hasFresh(address) {
		return nil
	}
	cn, err := c.open(ctx, address)
	if err != nil {
		return errors.Wrap(err, "Client.Prepare")
	}
	c.release(address, cn)
	return nil
}

// hasFresh reports whether the connection that the next request would take has been idle for less
// than a quarter of its time.
func (c *Client) hasFresh(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	return len(list) > 0 && time.Since(list[len(list)-1].idleSince) < list[len(list)-1].idleTimeout/4
}

// popIdle removes and returns the most recently used idle connection to an address on which the
// request with an id was not answered, or nil.
func (c *Client) popIdle(address, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for k := len(list) - 1; k >= 0; k-- {
		if cn := list[k]; !cn.answered.has(id) {
			c.idle[address] = slices.Delete(list, k, k+1)
			return cn
		}
	}
	return nil
}

// release returns a connection to the pool, or closes it if the pool is full or closed.
func (c *Client) release(address string, cn *conn) {
	cn.idleSince = time.Now()
	_ = cn.SetDeadline(time.Time{})
	c.mu.Lock()
	list := c.idle[address]
	full := c.closed || len(list) >= maxIdlePerAddress
	if !full {
		c.idle[address] = append(list, cn)
	}
	c.mu.Unlock()
	if full {
		_ = cn.Close()
	}
}

// isAlive reports whether an idle connection is open and has no unread bytes, which would
// belong to no request. It does not block.
func (c *Client) isAlive(cn *conn) bool {
	if cn.reader.Buffered() > 0 {
		return false
	}
	s, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		count, err := syscall.Read(int(fd), one[:])
		noData = count < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK) //nolint:errorlint // a bare errno
		if count > 0 {
			c.outOfSync.Add(1)
		}
		return true
	})
	return err == nil && noData
}

// CloseExpired closes the connections that have been idle for too long to be reused, so
// that they do not count towards the servers' limits of connections.
func (c *Client) CloseExpired() {
	now := time.Now()
	var expired []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Sub(cn.idleSince) > cn.idleTimeout {
				expired = append(expired, cn)
				continue
			}
			kept = append(kept, cn)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
	c.mu.Unlock()
	for _, cn := range expired {
		_ = cn.Close()
	}
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range list {
		_ = cn.Close()
	}
}

// Close closes all idle connections. Connections in use are closed after their call.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseAllIdle()
}

// CloseAllIdle closes the idle connections to all addresses.
func (c *Client) CloseAllIdle() {
	c.mu.Lock()
	all := c.idle
	c.idle = map[string][]*conn{}
	c.mu.Unlock()
	for _, list := range all {
		for _, cn := range list {
			_ = cn.Close()
		}
	}
}
