package soaker

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// request is one attempt of a caller, and what became of it.
type request struct {
	attempt, method, path, route, vm string

	sent     time.Time
	limit    tier.Millis
	once     bool // it may run once at most
	proper   bool // every configuration that may be in force allows it
	status   int  // 0 until an answer has come whole
	header   http.Header
	body     []byte
	ended    time.Time // zero while it is under way
	left     time.Time // when the caller gave up early, or zero
	readByVM bool      // on a connection that was opened for it
}

// served reports whether the answer is a success.
func (q *request) served() bool { return q.status >= 200 && q.status < 300 }

// version is one configuration: when the store confirmed it, and the services
// that each route may use.
type version struct {
	number    int64
	confirmed time.Time
	routes    map[string][]string
}

// span is a time in which something is out of order.
type span struct {
	vm       string // or "" for all
	what     string
	from, to time.Time // to is zero while it lasts
	planned  bool
}

// drained is a leaf that the store knows to be leaving.
type drained struct {
	leaf string
	at   time.Time
}

// stop is a planned stop of one process.
type stop struct {
	vm       string
	from, to time.Time // to is zero while the process lives
	code     int
}

// ledger is what callers, leafs and the operator have seen.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*request
	order    []*request
	arrivals []responder.Request
	runs     []responder.Request
	versions []version
	spans    []span
	drains   []drained
	stops    []stop
	exits    []string // processes that ended by themselves
	memory   map[string]int
	lastEnd  time.Time // of the last fault
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, memory: map[string]int{}}
}

func (l *ledger) sending(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[q.attempt] = q
	l.order = append(l.order, q)
}

// update changes a record under the lock.
func (l *ledger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *ledger) arrived(r responder.Request) {
	l.update(func() { l.arrivals = append(l.arrivals, r) })
}

func (l *ledger) ran(r responder.Request) { l.update(func() { l.runs = append(l.runs, r) }) }

// begin notes the start of a disturbance, and returns its end.
func (l *ledger) begin(s span) func() {
	s.from = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans = append(l.spans, s)
	i := len(l.spans) - 1
	return func() {
		l.update(func() {
			l.spans[i].to = time.Now()
			l.lastEnd = l.spans[i].to
		})
	}
}

// disturbed reports whether a VM, or all, was out of order at some time from one
// moment to another. Planned disturbances count where planned says so.
func (l *ledger) disturbed(vm string, from, to time.Time, planned bool) bool {
	return slices.ContainsFunc(l.spans, func(s span) bool {
		return (s.vm == "" || s.vm == vm) && (planned || !s.planned) && s.from.Before(to) &&
			(s.to.IsZero() || s.to.After(from))
	})
}

// inTouch reports whether a VM was calm for the stable window before a moment,
// and until another.
func (l *ledger) inTouch(vm string, at, until time.Time) bool {
	return !l.disturbed(vm, at.Add(-stableWindow.Duration()), until, true)
}
