package entry

import (
	"context"
	"runtime"
	"sync/atomic"

	"cicadagrade.example/tier"
)

const (
	// turnSampleInterval is how often the wait for a turn on the processor is measured, and
	// idleSampleInterval the same while no request is in progress.
	turnSampleInterval = 20 * tier.Millisecond
	idleSampleInterval = 100 * tier.Millisecond
	// turnWaitWindow is the time of which the longest wait is reported.
	turnWaitWindow = tier.Second
)

// turns measures how long a goroutine that is ready waits for its turn on the processor.
type turns struct {
	beganAt     atomic.Int64 // of the wait in progress, or 0
	longest     atomic.Int64 // wait in the present window
	previous    atomic.Int64 // longest wait in the window before
	windowEndAt tier.Millis
}

// RunTurnSamples measures the waits until ctx ends.
func (e *Entry) RunTurnSamples(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, e.sampleTurn())
	}
	return nil
}

// sampleTurn measures a wait and returns the pause before the next one.
func (e *Entry) sampleTurn() tier.Millis {
	began := e.clock.Now()
	e.turns.beganAt.Store(int64(began))
	e.mu.Lock()
	e.shedder.Waiting(began)
	e.mu.Unlock()
	// The scheduler puts a goroutine that yields at the end of the same queue as those whose data
	// have come from the network while the processor was busy.
	runtime.Gosched()
	e.turns.beganAt.Store(0)
	now := e.clock.Now()
	e.turns.ended(began, now)
	e.mu.Lock()
	e.shedder.Waited(now)
	use := e.scheduler.TakeRoomUse()
	e.room.Heard(now, use.Parts(), use.Late())
	level, busy := e.levelFor(now, true), e.scheduler.Busy()
	e.mu.Unlock()
	e.logOverload(now, level)
	if level >= 1 && !busy {
		return idleSampleInterval
	}
	return turnSampleInterval
}

// ended records a wait.
func (t *turns) ended(began, now tier.Millis) {
	if now >= t.windowEndAt {
		t.previous.Store(t.longest.Swap(0))
		t.windowEndAt = now + turnWaitWindow
	}
	t.longest.Store(max(t.longest.Load(), int64(now-began)))
}

// wait is the longest wait of the last one to two seconds, one in progress included.
func (t *turns) wait(now tier.Millis) tier.Millis {
	longest := max(t.longest.Load(), t.previous.Load())
	if began := t.beganAt.Load(); began != 0 {
		longest = max(longest, int64(now)-began)
	}
	return tier.Millis(longest)
}
