package leafserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// boundedListener refuses connections beyond a limit and makes each new one
// wait before its first byte is read. It can be taken down and brought back.
type boundedListener struct {
	address net.Addr
	limit   int64
	cost    time.Duration
	open    atomic.Int64
	openMax atomic.Int64
	made    atomic.Int64
	refused atomic.Int64

	mu     sync.Mutex
	inner  net.Listener  // nil while down
	back   chan struct{} // closed when it is no longer down
	closed bool
	conns  map[net.Conn]struct{}
}

func newBoundedListener(l net.Listener, limit int, cost time.Duration) *boundedListener {
	return &boundedListener{
		address: l.Addr(),
		limit:   int64(limit),
		cost:    cost,
		inner:   l,
		back:    make(chan struct{}),
		conns:   map[net.Conn]struct{}{},
	}
}

// Addr is where it listens.
func (l *boundedListener) Addr() net.Addr { return l.address }

// Accept returns the next connection within the limit; it closes the others.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.up()
		if err != nil {
			return nil, err
		}
		c, err := inner.Accept()
		if err != nil && l.replaced(inner) {
			continue
		}
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

// up waits while the server is down.
func (l *boundedListener) up() (net.Listener, error) {
	for {
		l.mu.Lock()
		inner, back, closed := l.inner, l.back, l.closed
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if inner != nil {
			return inner, nil
		}
		<-back
	}
}

func (l *boundedListener) replaced(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner != inner && !l.closed
}

// Close ends it for good.
func (l *boundedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	if l.inner == nil {
		close(l.back)
		return nil
	}
	return l.inner.Close()
}

// enter counts a connection in, unless the server is down or full.
func (l *boundedListener) enter(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner == nil || l.open.Load() >= l.limit {
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

// setDown closes the port and every connection, or listens again.
func (l *boundedListener) setDown(down bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || down == (l.inner == nil) {
		return nil
	}
	if !down {
		return l.listen()
	}
	_ = l.inner.Close()
	l.inner = nil
	l.back = make(chan struct{})
	for c := range l.conns {
		_ = c.Close()
	}
	return nil
}

func (l *boundedListener) listen() error {
	inner, err := net.Listen(l.address.Network(), l.address.String())
	if err != nil {
		return err
	}
	l.inner = inner
	close(l.back)
	return nil
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
