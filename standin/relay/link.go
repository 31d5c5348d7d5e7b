// Package relay joins two addresses by TCP links that can be cut, delayed or
// made to lose answers while connections run over them.
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

// The ways to cut a link.
const (
	CutNone  Cut = "none"
	CutStall Cut = "stall" // bytes wait until the link is joined again, as in a network partition
	CutReset Cut = "reset" // connections are closed and new ones closed at once
)

// Valid reports whether c is one of the ways.
func (c Cut) Valid() bool { return c == CutNone || c == CutStall || c == CutReset }

// Condition is how a link behaves.
type Condition struct {
	cut         Cut
	delay       tier.Millis
	loseAnswers bool
}

// NewCondition returns a condition. The delay is one way; when answers are
// lost, the target's bytes are thrown away, and connections that lost some
// are closed when the link loses answers no longer.
func NewCondition(cut Cut, delay tier.Millis, loseAnswers bool) Condition {
	return Condition{cut: cut, delay: delay, loseAnswers: loseAnswers}
}

// Link carries connections from its listening address to its target.
type Link struct {
	name   string
	from   string
	to     string
	listen string
	target string

	mu        sync.Mutex
	condition Condition
	changed   chan struct{} // closed at each change
	open      atomic.Int64
	lost      atomic.Int64
}

// NewLink returns a link between two places, such as data centres.
func NewLink(name, from, to, listen, target string, c Condition) *Link {
	return &Link{name: name, from: from, to: to, listen: listen, target: target, condition: c, changed: make(chan struct{})}
}

// Name is the link's name.
func (l *Link) Name() string { return l.name }

// From is the place that the link's callers are in.
func (l *Link) From() string { return l.from }

// Addresses are where the link listens and where it leads.
func (l *Link) Addresses() (listen, target string) { return l.listen, l.target }

// SetCondition changes how the link behaves from now on.
func (l *Link) SetCondition(c Condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.condition = c
	close(l.changed)
	l.changed = make(chan struct{})
}

// Condition is how the link behaves now.
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
				l.carry(ctx, c)
				return nil
			})
		}
	})
	return g.Wait()
}

// carry joins one connection with the target until either end closes, the
// link is reset, or ctx ends.
func (l *Link) carry(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	if err := l.passable(ctx); err != nil {
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
	l.join(ctx, c.(*net.TCPConn), t.(*net.TCPConn))
}

func (l *Link) join(ctx context.Context, caller, target *net.TCPConn) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	forth := newPump(l, caller, target, false)
	back := newPump(l, target, caller, true)
	var both errgroup.Group
	for _, p := range []*pump{forth, back} {
		g.Go(func() error { return p.read(ctx) })
		done := make(chan struct{})
		g.Go(func() error {
			defer close(done)
			return p.write(ctx)
		})
		both.Go(func() error { <-done; return nil })
	}
	g.Go(func() error { return l.guard(ctx, back) })
	g.Go(func() error {
		<-ctx.Done()
		_ = caller.Close()
		_ = target.Close()
		return nil
	})
	_ = both.Wait()
	stop()
	_ = g.Wait()
}

var errReset = errors.New("the link was reset")

// passable waits while the link stalls.
func (l *Link) passable(ctx context.Context) error {
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

// guard ends a connection when the link is reset, or when it lost bytes and
// the link no longer loses any.
func (l *Link) guard(ctx context.Context, back *pump) error {
	for {
		c, changed := l.watch()
		if c.cut == CutReset || (back.spoilt.Load() && !c.loseAnswers) {
			return errReset
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// pause waits until t.
func pause(ctx context.Context, t time.Time) error {
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
