// Package acceptor accepts callers' connections and reads the bodies of their requests, within limits on the
// connections and on the memory that callers can hold. Callers that the process does not control may open any number
// of connections and send legal requests that never end; those that hold the most for the longest time are cut off
// when others need it.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/reserver"
)

// Limits are the most that callers can hold together.
type Limits struct {
	connections int
	bytes       int64
}

const (
	// bodyMemoryFraction and connectionMemoryFraction are the parts of a process's memory that the requests' bodies
	// and the connections may take, and connectionBytes what a connection takes besides.
	bodyMemoryFraction       = 8
	connectionMemoryFraction = 4
	connectionBytes          = 32 << 10
	// reservedDescriptors are for files, listeners and the store. Callers get half of the others; the rest is for
	// backend servers and other VMs.
	reservedDescriptors = 200
	minConnections      = 16
)

// LimitsFor returns the limits of a process that may use so much memory, in bytes, and so many file descriptors.
func LimitsFor(memory int64, descriptors int) Limits {
	connections := min(int64(descriptors-reservedDescriptors)/2, memory/connectionMemoryFraction/connectionBytes)
	return Limits{connections: max(int(connections), minConnections), bytes: memory / bodyMemoryFraction}
}

// Connections is the most connections.
func (l Limits) Connections() int { return l.connections }

// Bytes is the most bytes of requests, without a small part of each.
func (l Limits) Bytes() int64 { return l.bytes }

// Counts are the present holdings and totals since the start.
type Counts struct {
	Connections int   // open
	Bytes       int64 // held for requests
	Evicted     int64 // connections closed so that others get their place or memory
	Refused     int64 // connections and requests for which there was no place or memory
}

// Acceptor holds the callers' connections. It is safe for concurrent use.
type Acceptor struct {
	clock   *tier.Clock
	onEvict func(Eviction)

	refused, evicted atomic.Int64

	mu       sync.Mutex
	reserver *reserver.Reserver
	conns    map[reserver.Holder]*conn
	lastID   reserver.Holder
}

// Eviction is the end of a connection so that another one gets its place or memory.
type Eviction struct {
	address string
	bytes   int64
}

// Address is the caller's address.
func (e Eviction) Address() string { return e.address }

// Bytes is what the connection held for its request.
func (e Eviction) Bytes() int64 { return e.bytes }

// Option configures an Acceptor.
type Option func(*Acceptor)

// WithEvictionHandler sets a function that is called with each eviction.
func WithEvictionHandler(f func(Eviction)) Option { return func(a *Acceptor) { a.onEvict = f } }

// New returns an acceptor without connections.
func New(clock *tier.Clock, limits Limits, options ...Option) *Acceptor {
	a := &Acceptor{
		clock: clock, onEvict: func(Eviction) {},
		reserver: reserver.New(limits.Connections(), limits.Bytes()), conns: map[reserver.Holder]*conn{},
	}
	for _, o := range options {
		o(a)
	}
	return a
}

// Counts returns the holdings and totals.
func (a *Acceptor) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	connections, bytes := a.reserver.Held()
	return Counts{Connections: connections, Bytes: bytes, Evicted: a.evicted.Load(), Refused: a.refused.Load()}
}

// Accept takes over a caller's new connection. It closes it and returns false if all connections are those of
// requests that are being served.
func (a *Acceptor) Accept(raw net.Conn) (net.Conn, bool) {
	a.mu.Lock()
	a.lastID++
	c := &conn{Conn: raw, acceptor: a, id: a.lastID}
	c.beginHeader()
	d := a.reserver.Open(a.clock.Now(), c.id)
	victims := a.takeVictims(d)
	if d.Granted() {
		a.conns[c.id] = c
	}
	a.mu.Unlock()
	a.evict(victims)
	if !d.Granted() {
		a.refused.Add(1)
		_ = raw.Close()
		return nil, false
	}
	return c, true
}

// Listener returns a listener whose connections come from Accept.
func (a *Acceptor) Listener(l net.Listener) net.Listener { return listener{l, a} }

// listener accepts callers' connections.
type listener struct {
	net.Listener
	acceptor *Acceptor
}

// Accept returns the next connection for which there is a place.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c, accepted := l.acceptor.Accept(raw); accepted {
			return c, nil
		}
	}
}

// takeVictims returns the connections that a decision takes. The caller holds the lock.
func (a *Acceptor) takeVictims(d reserver.Decision) []*conn {
	victims := make([]*conn, 0, len(d.Evicted()))
	for _, id := range d.Evicted() {
		if c, ok := a.conns[id]; ok {
			victims = append(victims, c)
			delete(a.conns, id)
		}
	}
	return victims
}

// evict ends connections. The caller does not hold the lock.
func (a *Acceptor) evict(victims []*conn) {
	for _, c := range victims {
		a.evicted.Add(1)
		c.evict()
		a.onEvict(Eviction{address: c.RemoteAddr().String(), bytes: c.held.Load()})
	}
}

// grow reserves bytes for a connection's request.
func (a *Acceptor) grow(c *conn, bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	a.mu.Lock()
	d := a.reserver.Grow(a.clock.Now(), c.id, bytes)
	victims := a.takeVictims(d)
	a.mu.Unlock()
	a.evict(victims)
	if d.Granted() {
		c.held.Add(bytes)
	}
	return d.Granted()
}

// receive says that a connection's request has begun to come.
func (a *Acceptor) receive(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.Receive(a.clock.Now(), c.id)
}

// serve says that a connection's request has come completely. It returns false if the connection was evicted.
func (a *Acceptor) serve(c *conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserver.Serve(c.id)
}

// answer says that the process waits for the caller to read its answer.
func (a *Acceptor) answer(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserver.Answer(a.clock.Now(), c.id)
}

// ConnState is the ConnState hook of an http.Server whose connections come from Accept.
func (a *Acceptor) ConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.beginHeader()
		a.reserver.Release(a.clock.Now(), c.id)
	case http.StateClosed, http.StateHijacked:
		a.reserver.Close(c.id)
		delete(a.conns, c.id)
	}
}

// connKey is the key of a connection in its requests' context.
type connKey struct{}

// ConnContext is the ConnContext hook of an http.Server whose connections come from Accept.
func (a *Acceptor) ConnContext(ctx context.Context, raw net.Conn) context.Context {
	if c, ok := raw.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// connOf returns the connection of a request, or nil if it has come through no Acceptor.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
