package main

import (
	"sync"
	"sync/atomic"

	"cicadagrade.example/tier"
)

// stopPoll is how often a planned stop looks whether it is over.
const stopPoll = 20 * tier.Millis(1)

// inflight lists requests in flight, bounds those of callers, and says
// whether the balancer may send more.
type inflight struct {
	most  int
	ready atomic.Bool

	mu      sync.Mutex
	leaving bool
	last    uint64
	callers int
	open    map[uint64]string
}

func newInflight(most int) *inflight {
	return &inflight{most: most, open: map[uint64]string{}}
}

// Begin counts a caller's request in, unless there are too many. The
// name is for the log line of a stop that has to cut it off.
func (f *inflight) Begin(name string) (end func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.callers >= f.most {
		return nil, false
	}
	f.callers++
	n := f.add(name)
	return func() { f.end(n, 1) }, true
}

// enterPeer counts a peer's request in.
func (f *inflight) enterPeer(name string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.add(name)
	return func() { f.end(n, 0) }
}

func (f *inflight) add(name string) uint64 {
	f.last++
	f.open[f.last] = name
	return f.last
}

func (f *inflight) end(n uint64, callers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, n)
	f.callers -= callers
}

// join has the balancer send work, unless the VM leaves.
func (f *inflight) join() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready.Store(!f.leaving)
	return !f.leaving
}

// leave has the balancer send no more work.
func (f *inflight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.ready.Store(false)
}

// Ready reports whether the balancer may send work here.
func (f *inflight) Ready() bool { return f.ready.Load() }

// idle reports whether nothing is in flight.
func (f *inflight) idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open) == 0
}

// count says how many callers' requests, and how many in all, are in flight.
func (f *inflight) count() (callers, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.callers, len(f.open)
}

// list names each request in flight.
func (f *inflight) list() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.open))
	for _, name := range f.open {
		out = append(out, name)
	}
	return out
}
