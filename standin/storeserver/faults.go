package storeserver

import (
	"context"
	"sync"

	"cicadagrade.example/tier"
)

// Faults is what a test makes the store do wrong.
type Faults struct {
	// Down breaks every call and watch without an answer.
	Down bool `json:"down"`
	// Delay is how long each call waits before it is carried out.
	Delay tier.Millis `json:"delay-ms"`
	// LoseReplies is how many of the next writes take effect without an
	// answer; -1 stands for all.
	LoseReplies int `json:"lose-answers"`
	// StaleReads has reads answer from the state at the time it was set, and
	// holds back what watches would see.
	StaleReads bool `json:"stale"`
}

// CallCounts counts the calls that the store took, by kind.
type CallCounts struct {
	ByKind        map[string]int64 `json:"kinds"`
	Total         int64            `json:"total"`
	OpenWatches   int64            `json:"open-watches"`
	PeakPerSecond int64            `json:"most-in-a-second"`
}

// faulty holds the faults that are set and counts calls.
type faulty struct {
	clock *tier.Clock

	mu       sync.Mutex
	faults   Faults
	stale    state
	calls    CallCounts
	second   tier.Millis
	inSecond int64
	broken   chan struct{} // closed and replaced when watches must end
}

func newFaulty(clock *tier.Clock) *faulty {
	return &faulty{clock: clock, calls: CallCounts{ByKind: map[string]int64{}}, broken: make(chan struct{})}
}

// set takes new faults; now is the state that stale reads show from here on.
func (f *faulty) set(faults Faults, now state) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.StaleReads && !f.faults.StaleReads {
		f.stale = now
	}
	f.faults = faults
	if faults.Down {
		f.breakWatches()
	}
}

func (f *faulty) breakWatches() {
	close(f.broken)
	f.broken = make(chan struct{})
}

func (f *faulty) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// view is the state that reads show.
func (f *faulty) view(now state) state {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.StaleReads {
		return f.stale
	}
	return now
}

func (f *faulty) brokenSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken
}

// count adds one call of a kind.
func (f *faulty) count(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls.ByKind[kind]++
	f.calls.Total++
	second := f.clock.Now() / tier.Second
	if second != f.second {
		f.second, f.inSecond = second, 0
	}
	f.inSecond++
	f.calls.PeakPerSecond = max(f.calls.PeakPerSecond, f.inSecond)
}

func (f *faulty) watching(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls.OpenWatches += n
}

func (f *faulty) counted() CallCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.calls
	out.ByKind = make(map[string]int64, len(f.calls.ByKind))
	for k, n := range f.calls.ByKind {
		out.ByKind[k] = n
	}
	return out
}

func (f *faulty) resetCalls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = CallCounts{ByKind: map[string]int64{}, OpenWatches: f.calls.OpenWatches}
	f.inSecond = 0
}

// wait holds a call back for the set delay and reports whether it may be
// carried out.
func (f *faulty) wait(ctx context.Context) bool {
	faults := f.get()
	if faults.Down {
		return false
	}
	if faults.Delay > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-after(faults.Delay):
		}
	}
	return !f.get().Down
}

// loses reports whether the answer of the present write is lost.
func (f *faulty) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseReplies == 0 {
		return false
	}
	if f.faults.LoseReplies > 0 {
		f.faults.LoseReplies--
	}
	return true
}
