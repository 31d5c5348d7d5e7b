package leafserver

import (
	"context"
	"sync/atomic"
	"time"
)

// slotPool is the slots of a server, and a bounded queue for calls that find none free. The
// queue is as long as there are slots.
type slotPool struct {
	slots        chan struct{}
	queueLimit   int64
	queueTimeout time.Duration
	queued       atomic.Int64
	inUseMax     atomic.Int64
	offeredMax   atomic.Int64
	noFreeSlot   atomic.Int64
	shed         atomic.Int64
}

func newSlotPool(slots int, queueTimeout time.Duration) *slotPool {
	return &slotPool{
		slots:        make(chan struct{}, slots),
		queueLimit:   int64(slots),
		queueTimeout: queueTimeout,
	}
}

// acquire takes a slot, and waits for one if none is free. It returns errShed if the queue
// is full or the queue timeout passes, and the context's error if ctx ends first.
func (p *slotPool) acquire(ctx context.Context) error {
	select {
	case p.slots <- struct{}{}:
		p.recordInUse()
		return nil
	default:
	}
	p.noFreeSlot.Add(1)
	if p.queued.Add(1) > p.queueLimit {
		p.queued.Add(-1)
		p.shed.Add(1)
		return errShed
	}
	defer p.queued.Add(-1)
	storeMax(&p.offeredMax, p.inUse()+p.queued.Load())
	return p.wait(ctx)
}

func (p *slotPool) wait(ctx context.Context) error {
	t := time.NewTimer(p.queueTimeout)
	defer t.Stop()
	select {
	case p.slots <- struct{}{}:
		p.recordInUse()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		p.shed.Add(1)
		return errShed
	}
}

func (p *slotPool) release() { <-p.slots }

func (p *slotPool) inUse() int64 { return int64(len(p.slots)) }

// recordInUse updates the maxima after a slot was taken.
func (p *slotPool) recordInUse() {
	n := p.inUse()
	storeMax(&p.inUseMax, n)
	storeMax(&p.offeredMax, n)
}

// storeMax raises a to n if it is lower.
func storeMax(a *atomic.Int64, n int64) {
	for {
		old := a.Load()
		if n <= old || a.CompareAndSwap(old, n) {
			return
		}
	}
}
