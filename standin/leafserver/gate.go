package leafserver

import (
	"context"
	"sync/atomic"
	"time"
)

// gate holds the slots of a server and the short queue before them.
type gate struct {
	slots      chan struct{}
	queueLimit int64
	patience   time.Duration
	waiting    atomic.Int64
	inUseMax   atomic.Int64
	offeredMax atomic.Int64
	overbooked atomic.Int64
	shed       atomic.Int64
}

func newGate(slots int, patience time.Duration) *gate {
	return &gate{
		slots:      make(chan struct{}, slots),
		queueLimit: int64(slots),
		patience:   patience,
	}
}

// enter takes a slot, waiting briefly for one. It returns errShed when the
// queue is full or the wait too long, and the context's error when the call
// ends first.
func (g *gate) enter(ctx context.Context) error {
	select {
	case g.slots <- struct{}{}:
		g.entered()
		return nil
	default:
	}
	g.overbooked.Add(1)
	if g.waiting.Add(1) > g.queueLimit {
		g.waiting.Add(-1)
		g.shed.Add(1)
		return errShed
	}
	defer g.waiting.Add(-1)
	raise(&g.offeredMax, g.inUse()+g.waiting.Load())
	return g.wait(ctx)
}

func (g *gate) wait(ctx context.Context) error {
	t := time.NewTimer(g.patience)
	defer t.Stop()
	select {
	case g.slots <- struct{}{}:
		g.entered()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		g.shed.Add(1)
		return errShed
	}
}

func (g *gate) leave() { <-g.slots }

func (g *gate) inUse() int64 { return int64(len(g.slots)) }

func (g *gate) entered() {
	n := g.inUse()
	raise(&g.inUseMax, n)
	raise(&g.offeredMax, n)
}

// raise makes a at least n.
func raise(a *atomic.Int64, n int64) {
	for {
		old := a.Load()
		if n <= old || a.CompareAndSwap(old, n) {
			return
		}
	}
}
