package leafserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// boundedListener closes connections beyond a limit, and delays the first read of each new
// one by the cost of a connection. It can be taken down and brought up again.
type boundedListener struct {
	address        net.Addr
	limit          int64
	connectionCost time.Duration
	open           atomic.Int64
	openMax        atomic.Int64
	accepted       atomic.Int64
	refused        atomic.Int64

	mu       sync.Mutex
	listener net.Listener  // nil while down
	upAgain  chan struct{} // closed when it comes up again
	closed   bool
	conns    map[net.Conn]struct{}
}

func newBoundedListener(l net.Listener, limit int, cost time.Duration) *boundedListener {
	return &boundedListener{
		address:        l.Addr(),
		limit:          int64(limit),
		connectionCost: cost,
		listener:       l,
		upAgain:        make(chan struct{}),
		conns:          map[net.Conn]struct{}{},
	}
}

// Addr is the address that it listens at.
func (l *boundedListener) Addr() net.Addr { return l.address }

// Accept returns the next connection within the limit; it closes the others.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.awaitUp()
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
		if l.admit(c) {
			return &delayedConn{Conn: c, ready: time.Now().Add(l.connectionCost), listener: l}, nil
		}
		l.refused.Add(1)
		_ = c.Close()
	}
}

// awaitUp waits while the server is down, and returns the current listener.
func (l *boundedListener) awaitUp() (net.Listener, error) {
	for {
		l.mu.Lock()
		inner, upAgain, closed := l.listener, l.upAgain, l.closed
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if inner != nil {
			return inner, nil
		}
		<-upAgain
	}
}

// replaced reports whether the listener was taken down since it was returned by awaitUp.
func (l *boundedListener) replaced(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener != inner && !l.closed
}

// Close closes the listener. It cannot be brought up again.
func (l *boundedListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	if l.listener == nil {
		close(l.upAgain)
		return nil
	}
	return l.listener.Close()
}

// admit registers a connection, unless the server is down or the limit is reached.
func (l *boundedListener) admit(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil || l.open.Load() >= l.limit {
		return false
	}
	l.conns[c] = struct{}{}
	storeMax(&l.openMax, l.open.Add(1))
	l.accepted.Add(1)
	return true
}

func (l *boundedListener) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.open.Add(-1)
}

// setDown closes the listener and all connections, or listens again.
func (l *boundedListener) setDown(down bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || down == (l.listener == nil) {
		return nil
	}
	if !down {
		return l.listen()
	}
	_ = l.listener.Close()
	l.listener = nil
	l.upAgain = make(chan struct{})
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
	l.listener = inner
	close(l.upAgain)
	return nil
}

// delayedConn is a connection whose reads wait until a time, and which counts towards the
// limit until it is closed.
type delayedConn struct {
	net.Conn
	ready    time.Time
	listener *boundedListener
	once     sync.Once
}

// Read waits until the connection is ready.
func (c *delayedConn) Read(b []byte) (int, error) {
	if d := time.Until(c.ready); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Read(b)
}

// Close closes the connection and takes it off the limit.
func (c *delayedConn) Close() error {
	c.once.Do(func() { c.listener.remove(c.Conn) })
	return c.Conn.Close()
}
