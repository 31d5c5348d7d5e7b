package soaker

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// request is one request of a caller, and its outcome.
type request struct {
	attempt, method, path, route, vm string

	sentAt            time.Time
	timeout           tier.Millis
	atMostOnce        bool // it must not run twice
	alwaysRouted      bool // every configuration has its route
	status            int  // 0 unless a complete reply has arrived
	header            http.Header
	body              []byte
	endedAt           time.Time // zero while it is in progress
	leftAt            time.Time // when the caller closed the connection early, or zero
	firstOnConnection bool      // the first request on its connection
	key, organisation string    // both "" for a request without a key
}

// served reports whether the reply is a success.
func (q *request) served() bool { return q.status >= 200 && q.status < 300 }

// version is one version of the configuration: when the store confirmed its write, and
// the services of each route.
type version struct {
	number      int64
	writtenAt   time.Time // before the first attempt to write it
	confirmedAt time.Time
	routes      map[string][]string
	keys        []string
}

// disturbance is a period during which a fault is in effect.
type disturbance struct {
	vm          string // or "" if it affects all VMs
	description string
	from, to    time.Time // to is zero while it is in effect
	planned     bool
	ofLeafLinks bool // of the links to a leaf: its replies may not arrive
}

// overlaps reports whether the disturbance was in effect at some time of a period.
func (s disturbance) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}

// drainRecord is the time at which a leaf's draining state was first in the store.
type drainRecord struct {
	leaf string
	at   time.Time
}

// evacuation is an evacuation of one data centre.
type evacuation struct {
	zone             string
	confirmedAt      time.Time
	removalStartedAt time.Time // never until the removal starts
}

// coldPeriod is a time in which a leaf of coldService is cold.
type coldPeriod struct {
	leaf     string
	from, to time.Time
}

// plannedStop is a planned stop of one VM's process.
type plannedStop struct {
	vm       string
	from, to time.Time // to is zero until the process has exited
	code     int
}

// history is what callers, leafs and the operator have observed during a run. The checks
// run over it.
type history struct {
	mu           sync.Mutex
	byAttempt    map[string]*request
	sent         []*request
	calls        []responder.Request
	runs         []responder.Request
	versions     []version
	disturbances []disturbance
	drains       []drainRecord
	stops        []plannedStop
	leafZones    map[string]string // data centres by leaf instance
	evacuations  []evacuation
	coldPeriods  []coldPeriod
	starts       map[string][]time.Time // of processes, by VM
	exits        []string               // processes that exited without a kill or stop
	peakMemoryMB map[string]int
	lastFaultEnd time.Time // when the last fault before the drills ended
	drillsFrom   time.Time // when the drills began, or zero
}

func newHistory() *history {
	return &history{byAttempt: map[string]*request{}, peakMemoryMB: map[string]int{}, leafZones: map[string]string{}, starts: map[string][]time.Time{}}
}

func (h *history) addRequest(q *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byAttempt[q.attempt] = q
	h.sent = append(h.sent, q)
}

// update runs a change of the history or its requests under the lock.
func (h *history) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

func (h *history) addCall(r responder.Request) { h.update(func() { h.calls = append(h.calls, r) }) }

func (h *history) addRun(r responder.Request) { h.update(func() { h.runs = append(h.runs, r) }) }

// beginDisturbance records the start of a disturbance, and returns the function that
// records its end.
func (h *history) beginDisturbance(s disturbance) func() {
	s.from = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, s)
	i := len(h.disturbances) - 1
	return func() {
		h.update(func() {
			h.disturbances[i].to = time.Now()
			if h.drillsFrom.IsZero() {
				h.lastFaultEnd = h.disturbances[i].to
			}
		})
	}
}

// anyVM stands for all VMs, of which none may have been disturbed.
const anyVM = "any"

// disturbed reports whether a disturbance of the VM, or of all VMs, overlaps the period
// between from and to. Planned disturbances count only if planned is set.
func (h *history) disturbed(vm string, from, to time.Time, planned bool) bool {
	return slices.ContainsFunc(h.disturbances, func(s disturbance) bool {
		return (s.vm == "" || s.vm == vm || vm == anyVM) && (planned || !s.planned) && s.overlaps(from, to)
	})
}

// isStable reports whether nothing disturbed a VM from stableWindow before at until the
// time until. Timed checks judge only VMs that are stable.
func (h *history) isStable(vm string, at, until time.Time) bool {
	return !h.disturbed(vm, at.Add(-stableWindow.Duration()), until, true)
}
