package entry

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/refresher"
)

const (
	// maxOverdueViewAge is the age of the view above which a VM that is late itself handles no
	// request by it. It leaves time until a change must be in force everywhere, 4 s after it.
	maxOverdueViewAge = 3 * tier.Second
	// overdueSlack is how much longer than its limit a step of reading may take before the VM
	// counts as late itself.
	overdueSlack = 500 * tier.Millisecond
)

// reading is how the reads of the view have gone since it was last current.
type reading struct {
	dueAt     atomic.Int64 // when the present step ends at the latest if the VM is not late, or 0
	overranAt atomic.Int64 // when a step or a read last ended later than it may, or 0
	whole     atomic.Bool  // the read of the store in progress reads all of it

	mu            sync.Mutex // guards the fields below
	storeFailures int
	peerFailures  int
	longest       tier.Millis // time of a read
	lastError     error
	heard         map[string]tier.Millis // ages of the views that VMs have sent last, by name
	late          bool                   // the view is older than staleViewAge, and that has been logged
}

// limitOf is how long a read may take that is not one of the whole store.
func limitOf(source refresher.Source) tier.Millis {
	switch source.(type) {
	case refresher.Peer, refresher.Seed:
		return fetchAllTimeout
	}
	return storeCallTimeout
}

// step ends a step of RunRefresh, and begins one that takes at most limit.
func (r *reading) step(now, limit tier.Millis) {
	if due := r.dueAt.Load(); due != 0 && int64(now) > due {
		r.overranAt.Store(int64(now))
	}
	r.dueAt.Store(int64(now + limit + overdueSlack))
}

// overdue reports whether the view is too old to handle requests by it because this VM is late
// itself: its reads get no turn, or end long after their limit. While the store and the other VMs
// do not answer, reads fail in time.
func (r *reading) overdue(now, viewAge tier.Millis) bool {
	if viewAge <= maxOverdueViewAge {
		return false
	}
	due, overran := r.dueAt.Load(), r.overranAt.Load()
	return due != 0 && int64(now) > due || overran != 0 && overran >= int64(now-viewAge)
}

// end records the result of a read that took some time, and the age of a view that another VM has sent.
func (r *reading) end(now tier.Millis, source refresher.Source, took, age tier.Millis, err error) {
	limit := limitOf(source)
	if _, ok := source.(refresher.Store); ok && r.whole.Swap(false) {
		limit = readAllTimeout
	}
	if took > limit+overdueSlack {
		r.overranAt.Store(int64(now))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longest = max(r.longest, took)
	if err == nil {
		if peer, ok := source.(refresher.Peer); ok {
			if r.heard == nil {
				r.heard = map[string]tier.Millis{}
			}
			r.heard[peer.Member.VM().Name()] = age
		}
		return
	}
	r.lastError = err
	switch source.(type) {
	case refresher.Store, refresher.StoreVMs:
		r.storeFailures++
	default:
		r.peerFailures++
	}
}

// heardAges lists the ages of the views that VMs have sent, as name:milliseconds.
func (r *reading) heardAges() string {
	list := make([]string, 0, len(r.heard))
	for name, age := range r.heard {
		list = append(list, fmt.Sprintf("%s:%d", name, age))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// suspected lists the names of the VMs that this one suspects.
func (e *Entry) suspected() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scheduler.Partitioner().SuspectedNames()
}

// logViewAge logs when the view becomes too old to be sure of, with what its reads have met, and
// when it is current again.
func (e *Entry) logViewAge(age tier.Millis) {
	r := &e.reading
	suspected := e.suspected()
	r.mu.Lock()
	defer r.mu.Unlock()
	late := age > staleViewAge && e.table.Load() != nil
	switch {
	case late && !r.late:
		e.log.Warn("view-late", "view-age-ms", int64(age), "store-failures", r.storeFailures, "peer-failures", r.peerFailures,
			"longest-read-ms", int64(r.longest), "turn-wait-ms", int64(e.turns.wait(e.clock.Now())), "error", r.lastError,
			"heard-ages-ms", r.heardAges(), "suspected", strings.Join(suspected, " "))
	case !late && r.late:
		e.log.Info("view-current", "store-failures", r.storeFailures, "peer-failures", r.peerFailures,
			"longest-read-ms", int64(r.longest), "turn-wait-ms", int64(e.turns.wait(e.clock.Now())))
	}
	if !late {
		r.storeFailures, r.peerFailures, r.longest, r.lastError, r.heard = 0, 0, 0, nil, nil
	}
	r.late = late
}
