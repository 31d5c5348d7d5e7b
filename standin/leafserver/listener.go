package leafserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// boundedListener refuses connections beyond a limit and makes each new one
// wait before its first byte is read.
type boundedListener struct {
	net.Listener
	limit   int64
	cost    time.Duration
	open    atomic.Int64
	openMax atomic.Int64
	made    atomic.Int64
	refused atomic.Int64
}

func newBoundedListener(l net.Listener, limit int, cost time.Duration) *boundedListener {
	return &boundedListener{Listener: l, limit: int64(limit), cost: cost}
}

// Accept returns the next connection within the limit; it closes the others.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Load() >= l.limit {
			l.refused.Add(1)
			_ = c.Close()
			continue
		}
		raise(&l.openMax, l.open.Add(1))
		l.made.Add(1)
		return &costlyConn{Conn: c, ready: time.Now().Add(l.cost), l: l}, nil
	}
}

// costlyConn can't be read before it is ready, and counts as open until it
// is closed.
type costlyConn struct {
	net.Conn
	ready time.Time
	l     *boundedListener
	once  sync.Once
}

// Read waits until the connection is ready.
func (c *costlyConn) Read(b []byte) (int, error) {
	if d := time.Until(c.ready); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Read(b)
}

// Close gives the connection's place back.
func (c *costlyConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}
