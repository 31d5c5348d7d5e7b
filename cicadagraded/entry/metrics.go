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

// gauge is a metric that is read from an Entry. A test checks that docs/OPERATIONS.md
// lists each gauge with the same description.
type gauge struct {
	name        string
	description string
	read        func(*Entry) int64
}

// gauges lists all gauges. Cumulative ones count from the start of the process. A part is
// what one service, such as a shard, contributes to the response to a request.
func gauges() []gauge {
	return []gauge{
		{"cicadagrade.entry.ready", "1 if the VM passes the balancer's readiness check", func(e *Entry) int64 { return boolToInt(e.Ready()) }},
		{"cicadagrade.entry.isolated", "1 if neither the store nor any other VM answers", func(e *Entry) int64 { return boolToInt(e.isolated.Load()) }},
		{"cicadagrade.entry.configuration.version", "version of the configuration in force, 0 if there is none", (*Entry).configurationVersion},
		{"cicadagrade.entry.view.age", "time since the store last answered this VM or the one that sent the view, in milliseconds", func(e *Entry) int64 { return int64(e.viewAge()) }},
		{"cicadagrade.entry.turn.wait", "longest wait of a ready goroutine for its turn on the processor in the last second or two, in milliseconds", func(e *Entry) int64 { return int64(e.turns.wait(e.clock.Now())) }},
		{"cicadagrade.entry.overload.refusing", "part of the requests and shares that this VM refuses now because it is overloaded, in thousandths", func(e *Entry) int64 { return int64(refusedPermille(e.loadLevel(true))) }},
		{"cicadagrade.entry.overload.requests", "callers' requests refused because this VM, or all VMs that reach leafs, are overloaded", func(e *Entry) int64 { return e.shedRequests.Load() }},
		{"cicadagrade.entry.overload.shares", "shares of other VMs refused because this VM is overloaded", func(e *Entry) int64 { return e.shedShares.Load() }},
		{"cicadagrade.entry.view.revision", "revision of the store up to which the VM has read", withLock(func(e *Entry) int64 { return e.relayer.Revision() })},
		{"cicadagrade.entry.leafs", "registrations of leafs, usable or not", withLock(func(e *Entry) int64 { return int64(e.scheduler.Lister().Len()) })},
		{"cicadagrade.entry.leafs.usable", "leafs that can be called", withLock(func(e *Entry) int64 { return int64(e.scheduler.Lister().UsableCount()) })},
		{"cicadagrade.entry.leafs.limited", "leafs that limit the rate of requests", withLock(func(e *Entry) int64 { return int64(e.scheduler.Balancer().LimitedCount()) })},
		{"cicadagrade.entry.evacuations", "data centres whose leafs are not used, because operators have evacuated them", withLock(func(e *Entry) int64 { return int64(e.scheduler.Lister().Evacuations()) })},
		{"cicadagrade.entry.refused.regions", "requests refused because too few leafs are in the regions in which they may be served", func(e *Entry) int64 { return e.refusedRegions.Load() }},
		{"cicadagrade.entry.leafs.cold", "cold leafs whose service names a rate for them", withLock(func(e *Entry) int64 { return int64(e.scheduler.Balancer().ColdLimitedCount(e.clock.Now())) })},
		{"cicadagrade.entry.calls.cold", "calls held back, passed on or refused because of the rates of cold leafs", withLock(func(e *Entry) int64 { return e.scheduler.HeldByCold() })},
		{"cicadagrade.entry.leafs.unreachable", "1 if this VM reaches no leaf, whether or not other VMs do", withLock(func(e *Entry) int64 { return boolToInt(e.scheduler.Balancer().LinksLost()) })},
		{"cicadagrade.entry.store.away", "1 if this VM's last read of the store failed", func(e *Entry) int64 { return boolToInt(e.storeUnreachable.Load()) }},
		{"cicadagrade.entry.vms", "known VMs, including this one", withLock(func(e *Entry) int64 { return int64(e.scheduler.Partitioner().MemberCount()) })},
		{"cicadagrade.entry.vms.sound", "other VMs that are not suspected to have failed", withLock(func(e *Entry) int64 { return int64(len(e.scheduler.Partitioner().HealthyPeers())) })},
		{"cicadagrade.entry.followers", "VMs without a registration that have copied this VM's view within 3 seconds", withLock(func(e *Entry) int64 { return int64(e.followers.Count(e.clock.Now())) })},
		{"cicadagrade.entry.fleet", "estimated number of VMs of the deployment, by which the retry budget is divided", withLock(func(e *Entry) int64 { return int64(e.fleetSize()) })},
		{"cicadagrade.entry.parts.waiting", "parts that wait for a free slot of a leaf", withLock(func(e *Entry) int64 { return int64(e.scheduler.QueueLength()) })},
		{"cicadagrade.entry.calls", "calls to leafs, including those that other VMs made for this one", func(e *Entry) int64 { return e.leafCalls.Load() }},
		{"cicadagrade.entry.quarantine.requests", "requests, by caller and content, under which leafs have ended", withLock(func(e *Entry) int64 { return int64(e.scheduler.Quarantiner().Len()) })},
		{"cicadagrade.entry.quarantine.refused", "times that a request under which several leafs have ended was not sent", withLock(func(e *Entry) int64 { return e.scheduler.Quarantiner().Refused() })},
		{"cicadagrade.entry.calls.extra", "hedges and retries among the calls to leafs", func(e *Entry) int64 { return e.extraCalls.Load() }},
		{"cicadagrade.entry.calls.denied", "hedges and retries denied by the retry budget", withLock(func(e *Entry) int64 { return e.scheduler.Budgeter().Denied() })},
		{"cicadagrade.entry.calls.slowest", "calls of this VM to the leaf that it knew as the slowest of its service, where it knew unlike ones", withLock(func(e *Entry) int64 { return e.scheduler.Balancer().UseCounts().Slowest() })},
		{"cicadagrade.entry.calls.fastest", "the same of the fastest leaf of the service", withLock(func(e *Entry) int64 { return e.scheduler.Balancer().UseCounts().Fastest() })},
		{"cicadagrade.entry.calls.waited", "calls of this VM whose reply was late while another leaf of the service replied as usual", withLock(func(e *Entry) int64 { return e.scheduler.Balancer().UseCounts().Waited() })},
		{"cicadagrade.entry.budget.least", "hedges and retries left in the retry budget of the service with the fewest left", withLock(func(e *Entry) int64 { return int64(e.scheduler.Budgeter().FewestTokens()) })},
		{"cicadagrade.entry.bytes.far", "bytes of replies from leafs and VMs in other regions", func(e *Entry) int64 { return e.crossRegionBytes.Load() }},
		{"cicadagrade.entry.parts.missing", "parts not received by the end of their request", func(e *Entry) int64 { return e.missingParts.Load() }},
		{"cicadagrade.entry.connections.opened", "connections opened to leafs", func(e *Entry) int64 { return e.leafClient.Counts().Dials }},
		{"cicadagrade.entry.connections.spoiled", "connections to leafs closed because of bytes that belong to no request", func(e *Entry) int64 { return e.leafClient.Counts().OutOfSync }},
		{"cicadagrade.entry.replies.stray", "late replies of leafs to earlier requests, which were skipped", func(e *Entry) int64 { return e.leafClient.Counts().StaleReplies }},
		{"cicadagrade.entry.keys.unknown", "requests refused because they have no known key", func(e *Entry) int64 { return e.unknownKeys.Load() }},
		{"cicadagrade.entry.quota.refused", "requests refused because their organisation is over its quota", withLock(func(e *Entry) int64 { return e.quotas.refused })},
		{"cicadagrade.entry.quota.reports", "reports on organisations' requests sent to other VMs", withLock(func(e *Entry) int64 { return e.quotas.reports })},
		{"cicadagrade.entry.quota.accounts", "accounts of organisations that this VM keeps", withLock(func(e *Entry) int64 { return int64(e.quotas.ledger.Len()) })},
		{"cicadagrade.entry.quota.debt", "requests by which the account furthest over its quota exceeds it, among those that this VM keeps", withLock(func(e *Entry) int64 { return int64(e.quotas.ledger.LargestDebt()) })},
		{"cicadagrade.entry.callers", "callers' connections", func(e *Entry) int64 { return int64(e.acceptor.Counts().Connections) }},
		{"cicadagrade.entry.callers.bytes", "bytes held for callers' requests, without a small part of each", func(e *Entry) int64 { return e.acceptor.Counts().Bytes }},
		{"cicadagrade.entry.callers.evicted", "callers' connections closed so that others get their place or memory", func(e *Entry) int64 { return e.acceptor.Counts().Evicted }},
		{"cicadagrade.entry.callers.refused", "callers' connections and requests for which there was no place or memory", func(e *Entry) int64 { return e.acceptor.Counts().Refused }},
		{"cicadagrade.entry.shares.refused", "shares of other VMs for whose request there was no memory", func(e *Entry) int64 { return e.shareMemory.refused.Load() }},
		{"cicadagrade.entry.memory", "memory of the process, in bytes", func(*Entry) int64 { return readRuntimeMetric("/memory/classes/total:bytes") }},
		{"cicadagrade.entry.processor.time", "CPU time used by the process, in milliseconds", func(*Entry) int64 { return processCPUTime() }},
		{"cicadagrade.entry.goroutines", "goroutines", func(*Entry) int64 { return readRuntimeMetric("/sched/goroutines:goroutines") }},
	}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// withLock wraps read to hold the lock of the Entry.
func withLock(read func(*Entry) int64) func(*Entry) int64 {
	return func(e *Entry) int64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return read(e)
	}
}

// configurationVersion is the version of the configuration in force, or 0 if there is none.
func (e *Entry) configurationVersion() int64 {
	if t := e.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// readRuntimeMetric reads a metric of the Go runtime, or 0 if it is not supported.
func readRuntimeMetric(name string) int64 {
	s := []metrics.Sample{{Name: name}}
	metrics.Read(s)
	if s[0].Value.Kind() != metrics.KindUint64 {
		return 0 // not supported by this version of the runtime
	}
	return int64(s[0].Value.Uint64())
}

// processCPUTime is the CPU time that the process has used, user and system, in
// milliseconds, or 0 if it can't be read.
func processCPUTime() int64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / int64(time.Millisecond)
}

// registerGauges registers all gauges with the meter.
func (e *Entry) registerGauges() error {
	for _, g := range gauges() {
		read := g.read
		if err := e.meter.RegisterGauge(g.name, g.description, func() []meter.Point {
			return []meter.Point{meter.NewPoint(read(e))}
		}); err != nil {
			return errors.Wrap(err, "Entry.registerGauges")
		}
	}
	for _, g := range organisationGauges() {
		if err := e.meter.RegisterGauge(g.name, g.description, func() []meter.Point { return g.read(e) }); err != nil {
			return errors.Wrap(err, "Entry.registerGauges")
		}
	}
	return nil
}

// countCalls adds the calls and missing parts of a finished search to the totals.
func (e *Entry) countCalls(outcome searcher.Outcome) {
	e.leafCalls.Add(int64(outcome.CallsSent()))
	e.extraCalls.Add(int64(outcome.ExtraCalls()))
	e.missingParts.Add(int64(outcome.Missing()))
}

// MetricsPath is the path of the metrics.
const MetricsPath = "/metrics"

// MetricsHandler returns a handler that serves the metrics in the Prometheus format.
func (e *Entry) MetricsHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(MetricsPath, e.meter.Handler())
	return m
}
