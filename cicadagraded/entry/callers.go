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

// Limits on callers' connections where the configuration sets none.
const (
	// defaultHeaderTimeout bounds the reading of a request's header. No requirement sets
	// this bound, so it is generous.
	defaultHeaderTimeout = 10 * tier.Second
	// defaultIdleTimeout bounds how long a caller's connection may be idle.
	defaultIdleTimeout = 120 * tier.Second
	// acceptPause is the pause after a failed accept, for example because the process has
	// run out of file descriptors.
	acceptPause = 5 * time.Millisecond
)

// CallerServer serves callers' connections. The limits of an http.Server are fixed once it
// serves, but the configuration's limits can change, so there is one http.Server for each
// set of limits. A connection keeps the limits in force when it was accepted.
type CallerServer struct {
	entry *Entry
	group sync.WaitGroup

	mu      sync.Mutex
	servers map[router.Limits]*limitsServer
	closed  bool
}

// NewCallerServer returns a server of callers' connections for an entry VM.
func NewCallerServer(e *Entry) *CallerServer {
	return &CallerServer{entry: e, servers: map[router.Limits]*limitsServer{}}
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
		conn, accepted := c.entry.acceptor.Accept(conn)
		if !accepted {
			continue
		}
		s := c.currentServer()
		if s == nil || !s.handOver(conn) {
			_ = conn.Close()
			c.entry.acceptor.ConnState(conn, http.StateClosed)
		}
	}
}

// currentServer returns the server for the limits in force, and starts it if needed. It
// returns nil after stopAccepting.
func (c *CallerServer) currentServer() *limitsServer {
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
		s = newLimitsServer(c.entry, limits)
		c.servers[limits] = s
		c.group.Go(func() {
			if err := s.http.Serve(s); !errors.Is(err, http.ErrServerClosed) {
				c.entry.log.Warn("callers-not-served", "error", err)
			}
		})
	}
	return s
}

// stopAccepting makes currentServer return nil from now on, and returns all servers.
func (c *CallerServer) stopAccepting() []*limitsServer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	all := make([]*limitsServer, 0, len(c.servers))
	for _, s := range c.servers {
		all = append(all, s)
	}
	return all
}

// Shutdown waits until no request is in flight or ctx ends. The listener passed to Serve
// must be closed first.
func (c *CallerServer) Shutdown(ctx context.Context) error {
	var firstErr error
	for _, s := range c.stopAccepting() {
		if err := s.http.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "CallerServer.Shutdown")
		}
	}
	return firstErr
}

// Close closes all connections, also those with requests in flight.
func (c *CallerServer) Close() {
	for _, s := range c.stopAccepting() {
		if err := s.http.Close(); err != nil {
			c.entry.log.Warn("callers-not-closed", "error", err)
		}
	}
	c.group.Wait()
}

// limitsServer is an http.Server for one set of limits. It is the net.Listener of that
// server, which accepts the connections passed to handOver.
type limitsServer struct {
	http   *http.Server
	conns  chan net.Conn
	closed chan struct{}
	close  func()
}

func newLimitsServer(e *Entry, limits router.Limits) *limitsServer {
	closed := make(chan struct{})
	s := &limitsServer{
		conns: make(chan net.Conn), closed: closed,
		close: sync.OnceFunc(func() { close(closed) }),
	}
	s.http = &http.Server{
		Handler: e, ConnContext: e.ConnContext, ConnState: e.acceptor.ConnState,
		MaxHeaderBytes:    limits.MaxHeaderBytes(), // 0 selects the default of net/http
		ReadHeaderTimeout: valueOrDefault(limits.HeaderTimeout(), defaultHeaderTimeout).Duration(),
		IdleTimeout:       valueOrDefault(limits.IdleTimeout(), defaultIdleTimeout).Duration(),
	}
	return s
}

func valueOrDefault(m, fallback tier.Millis) tier.Millis {
	if m > 0 {
		return m
	}
	return fallback
}

// handOver passes a connection to the server. It returns false if the server is closed.
func (s *limitsServer) handOver(conn net.Conn) bool {
	select {
	case s.conns <- conn:
		return true
	case <-s.closed:
		return false
	}
}

// Accept returns the next connection passed to handOver.
func (s *limitsServer) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept fail with net.ErrClosed.
func (s *limitsServer) Close() error {
	s.close()
	return nil
}

// Addr returns an empty address, which net.Listener requires.
func (s *limitsServer) Addr() net.Addr { return &net.TCPAddr{} }
