package main

import (
	"sync"
	"sync/atomic"

	"cicadagrade.example/tier"
)

// stopPollInterval is how often a graceful shutdown checks whether requests are in flight.
const stopPollInterval = 20 * tier.Millis(1)

// inflight tracks the requests in flight, limits those of callers, and holds whether the VM is
// ready for more from the load balancer.
type inflight struct {
	maxCallers int
	ready      atomic.Bool

	mu      sync.Mutex
	leaving bool
	lastID  uint64
	callers int
	names   map[uint64]string
}

func newInflight(maxCallers int) *inflight {
	return &inflight{maxCallers: maxCallers, names: map[uint64]string{}}
}

// Begin registers a caller's request, unless there are too many; end removes it. The name is
// logged if a shutdown has to abandon the request.
func (f *inflight) Begin(name string) (end func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.callers >= f.maxCallers {
		return nil, false
	}
	f.callers++
	id := f.add(name)
	return func() { f.remove(id, 1) }, true
}

// beginPeer registers a request of another VM; end removes it.
func (f *inflight) beginPeer(name string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := f.add(name)
	return func() { f.remove(id, 0) }
}

func (f *inflight) add(name string) uint64 {
	f.lastID++
	f.names[f.lastID] = name
	return f.lastID
}

func (f *inflight) remove(id uint64, callers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.names, id)
	f.callers -= callers
}

// markReady makes the readiness check succeed, unless the VM is leaving. It reports whether
// it did.
func (f *inflight) markReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready.Store(!f.leaving)
	return !f.leaving
}

// markLeaving makes the readiness check fail for good.
func (f *inflight) markLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.ready.Store(false)
}

// Ready reports whether the load balancer may send requests to this VM.
func (f *inflight) Ready() bool { return f.ready.Load() }

// idle reports whether nothing is in flight.
func (f *inflight) idle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.names) == 0
}

// counts returns the number of requests in flight, from callers and in total.
func (f *inflight) counts() (callers, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.callers, len(f.names)
}

// requestNames lists the names of the requests in flight.
func (f *inflight) requestNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.names))
	for _, name := range f.names {
		out = append(out, name)
	}
	return out
}
