package main

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/meter"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
)

const (
	// maxStatusAge is how long the gauges reuse the owners' status that was read last.
	maxStatusAge = tier.Second
	// statusTimeout bounds the wait for the status of the owners or the booker.
	statusTimeout = tier.Second
	permille      = 1000
)

// gauge describes a gauge and how its points are read.
type gauge struct {
	name        string
	description string
	read        func(*gaugeReader) []meter.Point
}

// gaugeTable lists every gauge. A test checks docs/operators/running.md against it. Values
// that only grow count from the start of the process, or from when an owner took over its
// set.
func gaugeTable() []gauge {
	return []gauge{
		{"cicadagrade.members", "known VMs, by data centre and state", (*gaugeReader).members},
		{"cicadagrade.inflight", "requests in flight, from callers and from other VMs", (*gaugeReader).inflight},
		{"cicadagrade.callers", "callers' connections, and the bytes held for their requests; those closed so that others get their place or memory, and those refused", (*gaugeReader).callers},
		{"cicadagrade.owned", "1 for each set that this VM considers itself the owner of, 0 for other sets that it still runs", perOwner(ownedValue)},
		{"cicadagrade.parts", "queued and running parts of searches and bookings, by set", perOwner(partsValue)},
		{"cicadagrade.queue", "queued parts, by set and rank", perRank(queuedValue)},
		{"cicadagrade.queue.wait.ms", "time to drain the queue at the measured rate, in milliseconds, by set and rank", perRank(drainTimeValue)},
		{"cicadagrade.admitted.permille", "fraction of the requests that owners admit, in thousandths, by set and rank", perRank(admittedValue)},
		{"cicadagrade.parts.refused", "refused parts, by set and rank", perRank(refusedValue)},
		{"cicadagrade.slots.used", "slots of backend servers in use, by set", perOwner(usedSlotsValue)},
		{"cicadagrade.slots.limit", "limit of the slots of backend servers in use at once, by set", perOwner(slotLimitValue)},
		{"cicadagrade.backends", "backend servers, by set and state", (*gaugeReader).backends},
		{"cicadagrade.hedge.tokens.permille", "hedge tokens left, in thousandths of a token, by set", perOwner(hedgeTokensValue)},
		{"cicadagrade.leaf.calls", "leaf calls made, by set", perOwner(callsValue)},
		{"cicadagrade.leaf.calls.extra", "leaf calls that were hedges or retries, by set", perOwner(extraCallsValue)},
		{"cicadagrade.leaf.calls.failed", "leaf calls without a usable reply, by set", perOwner(failedCallsValue)},
		{"cicadagrade.leaf.calls.not.run", "leaf calls that a backend server did not run, by set", perOwner(notRunCallsValue)},
		{"cicadagrade.replies.rejected", "replies rejected because they did not match their call, by set", perOwner(rejectedRepliesValue)},
		{"cicadagrade.gossip.bytes", "gossip bytes, by direction; headers are estimated", (*gaugeReader).gossipBytes},
		{"cicadagrade.gossip.exchanges", "gossip exchanges started, and how many of them failed", (*gaugeReader).gossipExchanges},
		{"cicadagrade.configuration.epoch", "epoch of each configuration document in force", (*gaugeReader).epochs},
		{"cicadagrade.configuration.revision", "revision of each configuration document in force", (*gaugeReader).revisions},
		{"cicadagrade.configuration.warnings", "configuration warnings, from all VMs", (*gaugeReader).warnings},
		{"cicadagrade.configuration.watcher", "1 if this VM watches the store for its data centre", (*gaugeReader).watcher},
		{"cicadagrade.configuration.calls", "calls for configuration documents: reads and watches of the store, fetches from other VMs", (*gaugeReader).configurationCalls},
		{"cicadagrade.claims", "claims of callers' own idempotency keys: pages read and written, conflicting writes, failed store calls, bookings sent", (*gaugeReader).claims},
	}
}

// gaugeReader reads the values of the gauges from the daemon when the metrics are scraped.
type gaugeReader struct {
	daemon   *daemon
	mu       sync.Mutex
	loaded   bool
	loadedAt tier.Millis
	statuses []owner.Status
}

// registerGauges registers every gauge with the meter.
func (d *daemon) registerGauges() error {
	gr := &gaugeReader{daemon: d}
	for _, g := range gaugeTable() {
		if err := d.meter.RegisterGauge(g.name, g.description, func() []meter.Point { return g.read(gr) }); err != nil {
			return errors.Wrap(err, "daemon.registerGauges")
		}
	}
	return nil
}

// owners returns the owners' status, which is read once for all gauges of a scrape.
func (gr *gaugeReader) owners() []owner.Status {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	now := gr.daemon.clock.Now()
	if gr.loaded && now-gr.loadedAt < maxStatusAge {
		return gr.statuses
	}
	ctx, cancel := context.WithTimeout(gr.daemon.ctx, statusTimeout.Duration())
	defer cancel()
	gr.statuses = gr.daemon.registry.Statuses(ctx)
	gr.loaded, gr.loadedAt = true, now
	return gr.statuses
}

// perOwner returns a reader of a gauge with one value per set that this VM runs.
func perOwner(value func(owner.Status) int64) func(*gaugeReader) []meter.Point {
	return func(gr *gaugeReader) []meter.Point {
		var out []meter.Point
		for _, s := range gr.owners() {
			out = append(out, meter.NewPoint(value(s), "set", s.Set()))
		}
		return out
	}
}

// perRank returns a reader of a gauge with one value per set that this VM runs and rank.
func perRank(value func(owner.Status, tier.Rank) int64) func(*gaugeReader) []meter.Point {
	return func(gr *gaugeReader) []meter.Point {
		var out []meter.Point
		for _, s := range gr.owners() {
			for _, r := range tier.Ranks {
				out = append(out, meter.NewPoint(value(s, r), "set", s.Set(), "rank", r.String()))
			}
		}
		return out
	}
}

func ownedValue(s owner.Status) int64       { return boolToInt(s.Owned) }
func partsValue(s owner.Status) int64       { return int64(s.Parts()) }
func hedgeTokensValue(s owner.Status) int64 { return int64(s.Dispatcher().HedgeTokens() * permille) }
func callsValue(s owner.Status) int64       { return int64(s.Dispatcher().Counters().Calls()) }
func extraCallsValue(s owner.Status) int64  { return int64(s.Dispatcher().Counters().ExtraCalls()) }

func failedCallsValue(s owner.Status) int64 { return int64(s.Dispatcher().Counters().FailedCalls()) }

func notRunCallsValue(s owner.Status) int64     { return int64(s.Dispatcher().Counters().NotRunCalls()) }
func rejectedRepliesValue(s owner.Status) int64 { return int64(s.RejectedReplies()) }

func usedSlotsValue(s owner.Status) int64 {
	n := 0
	for _, b := range s.Dispatcher().Servers() {
		n += b.UsedSlots()
	}
	return int64(n)
}

func slotLimitValue(s owner.Status) int64 {
	n := 0
	for _, b := range s.Dispatcher().Servers() {
		n += b.SlotLimit()
	}
	return int64(n)
}

func queuedValue(s owner.Status, r tier.Rank) int64    { return int64(s.Dispatcher().Queued(r)) }
func drainTimeValue(s owner.Status, r tier.Rank) int64 { return int64(s.Dispatcher().DrainTime(r)) }

func admittedValue(s owner.Status, r tier.Rank) int64 {
	return int64(s.Dispatcher().Threshold().Fraction(r) * permille)
}

func refusedValue(s owner.Status, r tier.Rank) int64 {
	return int64(s.Dispatcher().Counters().Refused(r))
}

func boolToInt(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// memberGroup identifies the VMs of a data centre that are in the same state.
type memberGroup struct {
	dataCentre string
	state      tier.VMState
}

func (gr *gaugeReader) members() []meter.Point {
	counts := map[memberGroup]int64{}
	for _, m := range gr.daemon.gossip.Members() {
		counts[memberGroup{m.DataCentre(), m.State()}]++
	}
	var out []meter.Point
	for k, n := range counts {
		out = append(out, meter.NewPoint(n, "data-centre", k.dataCentre, "state", k.state.String()))
	}
	return out
}

func (gr *gaugeReader) inflight() []meter.Point {
	callers, total := gr.daemon.inflight.counts()
	return []meter.Point{
		meter.NewPoint(int64(callers), "from", "callers"),
		meter.NewPoint(int64(total-callers), "from", "vms"),
	}
}

func (gr *gaugeReader) callers() []meter.Point {
	c := gr.daemon.callers.Counts()
	return []meter.Point{
		meter.NewPoint(int64(c.Connections), "which", "connections"),
		meter.NewPoint(c.Bytes, "which", "bytes"),
		meter.NewPoint(c.Evicted, "which", "evicted"),
		meter.NewPoint(c.Refused, "which", "refused"),
	}
}

func (gr *gaugeReader) backends() []meter.Point {
	var out []meter.Point
	for _, s := range gr.owners() {
		counts := map[tier.BackendState]int64{}
		for _, b := range s.Dispatcher().Servers() {
			counts[b.State()]++
		}
		for state, n := range counts {
			out = append(out, meter.NewPoint(n, "set", s.Set(), "state", state.String()))
		}
	}
	return out
}

func (gr *gaugeReader) gossipBytes() []meter.Point {
	t := gr.daemon.gossip.Traffic()
	return []meter.Point{
		meter.NewPoint(int64(t.Sent()), "direction", "sent"),
		meter.NewPoint(int64(t.Received()), "direction", "received"),
	}
}

func (gr *gaugeReader) gossipExchanges() []meter.Point {
	t := gr.daemon.gossip.Traffic()
	return []meter.Point{
		meter.NewPoint(int64(t.Exchanges()), "which", "begun"),
		meter.NewPoint(int64(t.Failures()), "which", "failed"),
	}
}

func (gr *gaugeReader) epochs() []meter.Point {
	var out []meter.Point
	for _, r := range gr.daemon.config.Status().Documents() {
		out = append(out, meter.NewPoint(int64(r.Epoch()), "key", r.Key()))
	}
	return out
}

func (gr *gaugeReader) revisions() []meter.Point {
	var out []meter.Point
	for _, r := range gr.daemon.config.Status().Documents() {
		out = append(out, meter.NewPoint(int64(r.Revision()), "key", r.Key()))
	}
	return out
}

func (gr *gaugeReader) warnings() []meter.Point {
	return []meter.Point{meter.NewPoint(int64(len(gr.daemon.config.Warnings())))}
}

func (gr *gaugeReader) watcher() []meter.Point {
	return []meter.Point{meter.NewPoint(boolToInt(gr.daemon.config.Status().WatchesStore()))}
}

func (gr *gaugeReader) configurationCalls() []meter.Point {
	c := gr.daemon.config.Status().Counts()
	return []meter.Point{
		meter.NewPoint(int64(c.Lists()), "call", "read"),
		meter.NewPoint(int64(c.Watches()), "call", "watch"),
		meter.NewPoint(int64(c.Fetches()), "call", "fetch"),
	}
}

func (gr *gaugeReader) claims() []meter.Point {
	ctx, cancel := context.WithTimeout(gr.daemon.ctx, statusTimeout.Duration())
	defer cancel()
	n, ok := gr.daemon.booker.Counters(ctx)
	if !ok {
		return nil
	}
	return []meter.Point{
		meter.NewPoint(int64(n.Reads()), "which", "reads"),
		meter.NewPoint(int64(n.Writes()), "which", "writes"),
		meter.NewPoint(int64(n.Conflicts()), "which", "conflicts"),
		meter.NewPoint(int64(n.Failures()), "which", "failures"),
		meter.NewPoint(int64(n.Runs()), "which", "runs"),
	}
}
