package entry

import (
	"net/http"
	"runtime/metrics"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"cicadagrade.example/cicadagraded/meter"
	"cicadagrade.example/tier/searcher"
)

// gauge is one row of the table of gauges. docs/OPERATIONS.md is checked
// against it by a test.
type gauge struct {
	name        string
	description string
	read        func(*Entry) int64
}

// gauges lists every gauge. Those that only grow count since the start of the
// process.
func gauges() []gauge {
	return []gauge{
		{"cicadagrade.entry.ready", "1 if the VM asks to be sent callers", func(e *Entry) int64 { return flag(e.Ready()) }},
		{"cicadagrade.entry.isolated", "1 if neither the store nor any VM answers", func(e *Entry) int64 { return flag(e.isolated.Load()) }},
		{"cicadagrade.entry.configuration.version", "version of the configuration in force, 0 without any", (*Entry).version},
		{"cicadagrade.entry.view.age", "time since the store answered this VM or the one it follows, in milliseconds", func(e *Entry) int64 { return int64(e.viewAge()) }},
		{"cicadagrade.entry.view.revision", "revision of the store up to which the VM has read", locked(func(e *Entry) int64 { return e.relayer.Revision() })},
		{"cicadagrade.entry.leafs", "registrations of leafs, usable or not", locked(func(e *Entry) int64 { return int64(e.core.Lister().Len()) })},
		{"cicadagrade.entry.leafs.usable", "leafs that calls may go to", locked(func(e *Entry) int64 { return int64(e.core.Lister().UsableCount()) })},
		{"cicadagrade.entry.store.away", "1 if the store did not answer this VM's last call", func(e *Entry) int64 { return flag(e.away.Load()) }},
		{"cicadagrade.entry.vms", "VMs known, with this one", locked(func(e *Entry) int64 { return int64(e.core.Partitioner().MemberCount()) })},
		{"cicadagrade.entry.vms.sound", "other VMs that answer", locked(func(e *Entry) int64 { return int64(len(e.core.Partitioner().HealthyPeers())) })},
		{"cicadagrade.entry.parts.waiting", "parts that wait for room at a leaf", locked(func(e *Entry) int64 { return int64(e.core.QueueLength()) })},
		{"cicadagrade.entry.calls", "calls to leafs, also those that other VMs made for this one", func(e *Entry) int64 { return e.sent.Load() }},
		{"cicadagrade.entry.calls.extra", "hedges and retries among them", func(e *Entry) int64 { return e.extra.Load() }},
		{"cicadagrade.entry.calls.denied", "hedges and retries that the budget did not grant", locked(func(e *Entry) int64 { return e.core.Budgeter().Denied() })},
		{"cicadagrade.entry.budget.least", "extra calls left to the service that has the fewest", locked(func(e *Entry) int64 { return int64(e.core.Budgeter().FewestTokens()) })},
		{"cicadagrade.entry.bytes.far", "bytes of replies from other regions, of leafs and of VMs", func(e *Entry) int64 { return e.far.Load() }},
		{"cicadagrade.entry.parts.missing", "parts that were not in when their request ended", func(e *Entry) int64 { return e.missing.Load() }},
		{"cicadagrade.entry.connections.opened", "connections opened to leafs", func(e *Entry) int64 { return e.courier.Counts().Dials }},
		{"cicadagrade.entry.connections.spoiled", "connections dropped for bytes that belong to no request", func(e *Entry) int64 { return e.courier.Counts().OutOfSync }},
		{"cicadagrade.entry.replies.stray", "replies to earlier requests that were skipped", func(e *Entry) int64 { return e.courier.Counts().StaleReplies }},
		{"cicadagrade.entry.memory", "memory of the process, in bytes", func(*Entry) int64 { return sample("/memory/classes/total:bytes") }},
		{"cicadagrade.entry.processor.time", "processor time of the process, in milliseconds", func(*Entry) int64 { return processorTime() }},
		{"cicadagrade.entry.goroutines", "goroutines", func(*Entry) int64 { return sample("/sched/goroutines:goroutines") }},
	}
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func locked(read func(*Entry) int64) func(*Entry) int64 {
	return func(e *Entry) int64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return read(e)
	}
}

func (e *Entry) version() int64 {
	if t := e.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

func sample(name string) int64 {
	s := []metrics.Sample{{Name: name}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindUint64 {
		return 0 // not known to this runtime
	}
	return int64(s[0].Value.Uint64())
}

// processorTime is what the system has charged the process, in milliseconds, or
// 0 if it does not say.
func processorTime() int64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / int64(time.Millisecond)
}

// observe registers the gauges.
func (e *Entry) observe() error {
	for _, g := range gauges() {
		read := g.read
		if err := e.meter.RegisterGauge(g.name, g.description, func() []meter.Point {
			return []meter.Point{meter.NewPoint(read(e))}
		}); err != nil {
			return errors.Wrap(err, "Entry.observe")
		}
	}
	return nil
}

// count adds up what the ends of searches tell.
func (e *Entry) count(o searcher.Outcome) {
	e.sent.Add(int64(o.CallsSent()))
	e.extra.Add(int64(o.ExtraCalls()))
	e.missing.Add(int64(o.Missing()))
}

// MetricsPath is where the metrics are served.
const MetricsPath = "/metrics"

// MetricsHandler serves the metrics in the Prometheus format.
func (e *Entry) MetricsHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(MetricsPath, e.meter.Handler())
	return m
}
