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

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]struct{}
}

func newBoundedListener(l net.Listener, limit int, cost time.Duration) *boundedListener {
	return &boundedListener{Listener: l, limit: int64(limit), cost: cost, conns: map[net.Conn]struct{}{}}
}

// Accept returns the next connection within the limit; it closes the others.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.enter(c) {
			return &costlyConn{Conn: c, ready: time.Now().Add(l.cost), l: l}, nil
		}
		l.refused.Add(1)
		_ = c.Close()
	}
}

// enter counts a connection in, unless the server is down or full.
func (l *boundedListener) enter(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.open.Load() >= l.limit {
		return false
	}
	l.conns[c] = struct{}{}
	raise(&l.openMax, l.open.Add(1))
	l.made.Add(1)
	return true
}

func (l *boundedListener) leave(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.open.Add(-1)
}

// setDown closes every connection and refuses new ones while down.
func (l *boundedListener) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	if !down {
		return
	}
	for c := range l.conns {
		_ = c.Close()
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
	c.once.Do(func() { c.l.leave(c.Conn) })
	return c.Conn.Close()
}
