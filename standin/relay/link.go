// Package relay forwards TCP connections over links that can be cut, delayed or made to lose
// replies while connections are open.
package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/tier"
)

// Cut says how a link is cut.
type Cut string

// The ways to cut a link. CutNone stands for a link that is not cut.
const (
	CutNone  Cut = "none"
	CutStall Cut = "stall" // bytes are held until the link is restored, as in a network partition
	CutReset Cut = "reset" // open connections are closed, and new ones at once
)

// Valid reports whether c is one of the constants.
func (c Cut) Valid() bool { return c == CutNone || c == CutStall || c == CutReset }

// Condition is how a link behaves.
type Condition struct {
	cut         Cut
	delay       tier.Millis
	loseReplies bool
}

// NewCondition returns a condition. The delay applies to each direction. If replies are to
// be lost, the target's bytes are discarded; connections that lost some are closed when the
// link stops losing replies.
func NewCondition(cut Cut, delay tier.Millis, loseReplies bool) Condition {
	return Condition{cut: cut, delay: delay, loseReplies: loseReplies}
}

// Link forwards connections from its listening address to its target.
type Link struct {
	name   string
	from   string
	to     string
	listen string
	target string

	mu        sync.Mutex
	condition Condition
	changed   chan struct{} // closed and replaced at each change
	open      atomic.Int64  // connections
	lostBytes atomic.Int64
}

// NewLink returns a link between two places, such as data centres.
func NewLink(name, from, to, listen, target string, c Condition) *Link {
	return &Link{name: name, from: from, to: to, listen: listen, target: target, condition: c, changed: make(chan struct{})}
}

// Name is the link's name.
func (l *Link) Name() string { return l.name }

// From is the place that the link's callers are in.
func (l *Link) From() string { return l.from }

// Addresses are the address that the link listens at and that of its target.
func (l *Link) Addresses() (listen, target string) { return l.listen, l.target }

// SetCondition changes the condition of the link and its open connections.
func (l *Link) SetCondition(c Condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.condition = c
	close(l.changed)
	l.changed = make(chan struct{})
}

// Condition is the current condition.
func (l *Link) Condition() Condition {
	c, _ := l.watch()
	return c
}

// watch returns the condition and a channel that is closed when it changes.
func (l *Link) watch() (Condition, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.condition, l.changed
}

// Serve listens at the link's address until ctx ends.
func (l *Link) Serve(ctx context.Context) error {
	ln, err := net.Listen("tcp", l.listen)
	if err != nil {
		return errors.Wrap(err, "Link.Serve")
	}
	return l.ServeOn(ctx, ln)
}

// ServeOn accepts connections until ctx ends, and closes the listener.
func (l *Link) ServeOn(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close()
	})
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return errors.Wrap(err, "Link.ServeOn")
			}
			g.Go(func() error {
				l.proxy(ctx, c)
				return nil
			})
		}
	})
	return g.Wait()
}

// proxy connects to the target and forwards a connection until it ends, the link is reset,
// or ctx ends.
func (l *Link) proxy(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	if err := l.awaitPassable(ctx); err != nil {
		return
	}
	var d net.Dialer
	t, err := d.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	l.open.Add(1)
	defer l.open.Add(-1)
	l.copyBothWays(ctx, c.(*net.TCPConn), t.(*net.TCPConn))
}

// copyBothWays copies bytes between the caller and the target until both directions have
// ended.
func (l *Link) copyBothWays(ctx context.Context, caller, target *net.TCPConn) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	toTarget := newPump(l, caller, target, false)
	toCaller := newPump(l, target, caller, true)
	var writers errgroup.Group
	for _, p := range []*pump{toTarget, toCaller} {
		g.Go(func() error { return p.read(ctx) })
		done := make(chan struct{})
		g.Go(func() error {
			defer close(done)
			return p.write(ctx)
		})
		writers.Go(func() error { <-done; return nil })
	}
	g.Go(func() error { return l.closeOnReset(ctx, toCaller) })
	g.Go(func() error {
		<-ctx.Done()
		_ = caller.Close()
		_ = target.Close()
		return nil
	})
	_ = writers.Wait()
	stop()
	_ = g.Wait()
}

var errReset = errors.New("the link was reset")

// awaitPassable waits while the link is stalled. It fails if the link is reset.
func (l *Link) awaitPassable(ctx context.Context) error {
	for {
		c, changed := l.watch()
		switch c.cut {
		case CutReset:
			return errReset
		case CutStall:
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		default:
			return nil
		}
	}
}

// closeOnReset returns an error, which closes the connection, when the link is reset, or
// when the connection has lost replies and the link no longer loses any.
func (l *Link) closeOnReset(ctx context.Context, toCaller *pump) error {
	for {
		c, changed := l.watch()
		if c.cut == CutReset || (toCaller.lostReplies.Load() && !c.loseReplies) {
			return errReset
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// waitUntil waits until t, or until ctx ends.
func waitUntil(ctx context.Context, t time.Time) error {
	d := time.Until(t)
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
