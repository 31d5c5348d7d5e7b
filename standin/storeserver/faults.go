package storeserver

import (
	"context"
	"sync"

	"cicadagrade.example/tier"
)

// Faults are the faults that a test sets on the store.
type Faults struct {
	// Down closes the connection of every call and watch without a reply.
	Down bool `json:"down"`
	// Delay is how long each call waits before it is processed.
	Delay tier.Millis `json:"delay-ms"`
	// LoseReplies is how many of the next writes take effect without a reply; -1 stands for
	// all.
	LoseReplies int `json:"lose-answers"`
	// StaleReads has reads return the state at the time it was set, and holds back the events of
	// watches.
	StaleReads bool `json:"stale"`
}

// CallCounts counts the calls to the store, by kind and in total.
type CallCounts struct {
	ByKind        map[string]int64 `json:"kinds"`
	Total         int64            `json:"total"`
	OpenWatches   int64            `json:"open-watches"`
	PeakPerSecond int64            `json:"most-in-a-second"`
}

// faultInjector holds the faults that are set, and counts calls.
type faultInjector struct {
	clock *tier.Clock

	mu            sync.Mutex
	faults        Faults
	staleState    keyState
	calls         CallCounts
	second        tier.Millis // the current second, which callsInSecond belongs to
	callsInSecond int64
	watchBreak    chan struct{} // closed and replaced when watches must end
}

func newFaultInjector(clock *tier.Clock) *faultInjector {
	return &faultInjector{clock: clock, calls: CallCounts{ByKind: map[string]int64{}}, watchBreak: make(chan struct{})}
}

// set replaces the faults. If they make reads stale, reads return current from here on.
func (f *faultInjector) set(faults Faults, current keyState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.StaleReads && !f.faults.StaleReads {
		f.staleState = current
	}
	f.faults = faults
	if faults.Down {
		f.breakWatches()
	}
}

// breakWatches closes the connections of all open watches. The caller holds mu.
func (f *faultInjector) breakWatches() {
	close(f.watchBreak)
	f.watchBreak = make(chan struct{})
}

func (f *faultInjector) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// readState is the state that reads return.
func (f *faultInjector) readState(current keyState) keyState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.StaleReads {
		return f.staleState
	}
	return current
}

// watchesBroken returns a channel that is closed when open watches are to be broken.
func (f *faultInjector) watchesBroken() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchBreak
}

// count adds one call of a kind.
func (f *faultInjector) count(kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls.ByKind[kind]++
	f.calls.Total++
	second := f.clock.Now() / tier.Second
	if second != f.second {
		f.second, f.callsInSecond = second, 0
	}
	f.callsInSecond++
	f.calls.PeakPerSecond = max(f.calls.PeakPerSecond, f.callsInSecond)
}

func (f *faultInjector) addOpenWatches(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls.OpenWatches += n
}

func (f *faultInjector) callCounts() CallCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := f.calls
	counts.ByKind = make(map[string]int64, len(f.calls.ByKind))
	for k, n := range f.calls.ByKind {
		counts.ByKind[k] = n
	}
	return counts
}

// resetCalls resets the counts, other than that of open watches.
func (f *faultInjector) resetCalls() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = CallCounts{ByKind: map[string]int64{}, OpenWatches: f.calls.OpenWatches}
	f.callsInSecond = 0
}

// delay holds a call back for the delay that is set, and reports whether the call may be
// processed.
func (f *faultInjector) delay(ctx context.Context) bool {
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

// takeLostReply reports whether the reply to the current write is to be lost.
func (f *faultInjector) takeLostReply() bool {
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
