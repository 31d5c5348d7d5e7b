package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/router"
)

// Bounds on callers while the configuration names none.
const (
	// defaultHeaderTime bounds the reading of a request's header; the brief
	// names no bound, so this is generous.
	defaultHeaderTime = 10 * tier.Second
	// defaultIdleTime is how long a caller's connection may be idle.
	defaultIdleTime = 120 * tier.Second
	// acceptPause is how long accepting rests after the system refused a
	// connection, for example for want of descriptors.
	acceptPause = 5 * time.Millisecond
)

// CallerServer takes callers' connections. An http.Server's limits are fixed once it
// serves, and the operator's may change: there is one server for each set of
// limits, and a connection keeps those under which it came.
type CallerServer struct {
	entry *Entry
	group sync.WaitGroup

	mu      sync.Mutex
	servers map[router.Limits]*callersServer
	closed  bool
}

// NewCallerServer returns what takes callers' connections for an entry VM.
func NewCallerServer(e *Entry) *CallerServer {
	return &CallerServer{entry: e, servers: map[router.Limits]*callersServer{}}
}

// Serve accepts connections until the listener is closed.
func (c *CallerServer) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			c.entry.log.Warn("connection-not-accepted", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		s := c.server()
		if s == nil || !s.take(conn) {
			_ = conn.Close()
		}
	}
}

// server is the one for the limits in force, or nil after the end.
func (c *CallerServer) server() *callersServer {
	var limits router.Limits
	if t := c.entry.table.Load(); t != nil {
		limits = t.Limits()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	s, ok := c.servers[limits]
	if !ok {
		s = newCallersServer(c.entry, limits)
		c.servers[limits] = s
		c.group.Go(func() {
			if err := s.http.Serve(s); !errors.Is(err, http.ErrServerClosed) {
				c.entry.log.Warn("callers-not-served", "error", err)
			}
		})
	}
	return s
}

// end marks the end and returns the servers there were.
func (c *CallerServer) end() []*callersServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	all := make([]*callersServer, 0, len(c.servers))
	for _, s := range c.servers {
		all = append(all, s)
	}
	return all
}

// Shutdown waits until no request is in flight, or for the context's end. The
// listener has to be closed before.
func (c *CallerServer) Shutdown(ctx context.Context) error {
	var first error
	for _, s := range c.end() {
		if err := s.http.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrap(err, "Callers.Shutdown")
		}
	}
	return first
}

// Close ends all connections.
func (c *CallerServer) Close() {
	for _, s := range c.end() {
		if err := s.http.Close(); err != nil {
			c.entry.log.Warn("callers-not-closed", "error", err)
		}
	}
	c.group.Wait()
}

// callersServer is a server with fixed limits; it is its own listener.
type callersServer struct {
	http   *http.Server
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

func newCallersServer(e *Entry, l router.Limits) *callersServer {
	closed := make(chan struct{})
	s := &callersServer{
		conns: make(chan net.Conn), closed: closed,
		close: sync.OnceFunc(func() { close(closed) }),
	}
	s.http = &http.Server{
		Handler: e, ConnContext: e.ConnContext,
		MaxHeaderBytes:    l.HeaderBytes(), // 0 is the library's default
		ReadHeaderTimeout: orElse(l.HeaderTime(), defaultHeaderTime).Duration(),
		IdleTimeout:       orElse(l.IdleTime(), defaultIdleTime).Duration(),
	}
	return s
}

func orElse(m, otherwise tier.Millis) tier.Millis {
	if m > 0 {
		return m
	}
	return otherwise
}

// take hands a connection to the server, unless it is closed.
func (s *callersServer) take(conn net.Conn) bool {
	select {
	case s.conns <- conn:
		return true
	case <-s.closed:
		return false
	}
}

// Accept, Close and Addr make the server a net.Listener.
func (s *callersServer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

func (s *callersServer) Close() error {
	s.close()
	return nil
}

func (s *callersServer) Addr() net.Addr { return &net.TCPAddr{} }
