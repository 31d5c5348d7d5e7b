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
	// ownersAge is how old the owners' status may be that gauges show.
	ownersAge = tier.Second
	// statusTimeout bounds the wait for a duty's answer.
	statusTimeout = tier.Second
	permille      = 1000
)

// gauge is one row of the table of gauges.
type gauge struct {
	name        string
	description string
	read        func(*observer) []meter.Point
}

// gaugeTable lists every gauge. docs/operators/running.md is checked against
// it by a test. Values that only grow count since the start of the process,
// those of an owner since it took the set over.
func gaugeTable() []gauge {
	return []gauge{
		{"cicadagrade.members", "VMs known, by data centre and state", (*observer).members},
		{"cicadagrade.inflight", "requests in flight, from callers and from other VMs", (*observer).inflight},
		{"cicadagrade.owned", "1 for each set that this VM owns in its own view, 0 for others that it runs", perOwner(ownedPoint)},
		{"cicadagrade.parts", "parts of searches and bookings that wait or run, by set", perOwner(partsPoint)},
		{"cicadagrade.queue", "parts that wait, by set and rank", perRank(queuePoint)},
		{"cicadagrade.queue.wait.ms", "time until the queue is empty at the measured rate, by set and rank", perRank(waitPoint)},
		{"cicadagrade.admitted.permille", "thousandths of the requests that owners let through, by set and rank", perRank(admittedPoint)},
		{"cicadagrade.parts.refused", "parts refused, by set and rank", perRank(refusedPoint)},
		{"cicadagrade.slots.used", "slots of backend servers that calls hold, by set", perOwner(usedPoint)},
		{"cicadagrade.slots.limit", "slots of backend servers that calls may hold, by set", perOwner(limitPoint)},
		{"cicadagrade.backends", "backend servers, by set and state", (*observer).backends},
		{"cicadagrade.hedge.tokens.permille", "thousandths of hedge tokens left, by set", perOwner(tokensPoint)},
		{"cicadagrade.leaf.calls", "leaf calls made, by set", perOwner(callsPoint)},
		{"cicadagrade.leaf.calls.extra", "leaf calls that were hedges or retries, by set", perOwner(extraPoint)},
		{"cicadagrade.leaf.calls.failed", "leaf calls without a usable reply, by set", perOwner(failedPoint)},
		{"cicadagrade.leaf.calls.not.run", "leaf calls that a backend server did not run, by set", perOwner(notRunPoint)},
		{"cicadagrade.replies.rejected", "replies that did not match their call, by set", perOwner(rejectedPoint)},
		{"cicadagrade.gossip.bytes", "bytes of gossip, by direction, headers estimated", (*observer).gossipBytes},
		{"cicadagrade.gossip.exchanges", "exchanges of gossip begun, and how many failed", (*observer).gossipExchanges},
		{"cicadagrade.configuration.epoch", "epoch of each document in force", (*observer).epochs},
		{"cicadagrade.configuration.revision", "revision of each document in force", (*observer).revisions},
		{"cicadagrade.configuration.warnings", "warnings of the configuration, of all VMs", (*observer).warnings},
		{"cicadagrade.configuration.watcher", "1 if this VM watches the store for its data centre", (*observer).watcher},
		{"cicadagrade.configuration.calls", "reads and watches of the store, and fetches from other VMs", (*observer).configurationCalls},
		{"cicadagrade.claims", "claims of callers' own keys: pages read and written, writes that met another, store calls that failed, bookings sent", (*observer).claims},
	}
}

// observer reads the daemon when the metrics are read.
type observer struct {
	daemon *daemon
	mu     sync.Mutex
	read   bool
	at     tier.Millis
	list   []owner.Status
}

// observe registers every gauge.
func (d *daemon) observe() error {
	o := &observer{daemon: d}
	for _, g := range gaugeTable() {
		if err := d.meter.RegisterGauge(g.name, g.description, func() []meter.Point { return g.read(o) }); err != nil {
			return errors.Wrap(err, "daemon.observe")
		}
	}
	return nil
}

// owners reads the owners' status once for all gauges of a reading.
func (o *observer) owners() []owner.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.daemon.clock.Now()
	if o.read && now-o.at < ownersAge {
		return o.list
	}
	ctx, cancel := context.WithTimeout(o.daemon.ctx, statusTimeout.Duration())
	defer cancel()
	o.list = o.daemon.registry.Statuses(ctx)
	o.read, o.at = true, now
	return o.list
}

// perOwner reads a value of each set that this VM runs.
func perOwner(value func(owner.Status) int64) func(*observer) []meter.Point {
	return func(o *observer) []meter.Point {
		var out []meter.Point
		for _, s := range o.owners() {
			out = append(out, meter.NewPoint(value(s), "set", s.Set()))
		}
		return out
	}
}

// perRank reads a value of each rank of each set that this VM runs.
func perRank(value func(owner.Status, tier.Rank) int64) func(*observer) []meter.Point {
	return func(o *observer) []meter.Point {
		var out []meter.Point
		for _, s := range o.owners() {
			for _, r := range tier.Ranks {
				out = append(out, meter.NewPoint(value(s, r), "set", s.Set(), "rank", r.String()))
			}
		}
		return out
	}
}

func ownedPoint(s owner.Status) int64    { return flag(s.Owned) }
func partsPoint(s owner.Status) int64    { return int64(s.Parts()) }
func tokensPoint(s owner.Status) int64   { return int64(s.Dispatcher().HedgeTokens() * permille) }
func callsPoint(s owner.Status) int64    { return int64(s.Dispatcher().Counters().Calls()) }
func extraPoint(s owner.Status) int64    { return int64(s.Dispatcher().Counters().ExtraCalls()) }
func failedPoint(s owner.Status) int64   { return int64(s.Dispatcher().Counters().FailedCalls()) }
func notRunPoint(s owner.Status) int64   { return int64(s.Dispatcher().Counters().NotRunCalls()) }
func rejectedPoint(s owner.Status) int64 { return int64(s.RejectedReplies()) }

func usedPoint(s owner.Status) int64 {
	n := 0
	for _, b := range s.Dispatcher().Servers() {
		n += b.UsedSlots()
	}
	return int64(n)
}

func limitPoint(s owner.Status) int64 {
	n := 0
	for _, b := range s.Dispatcher().Servers() {
		n += b.SlotLimit()
	}
	return int64(n)
}

func queuePoint(s owner.Status, r tier.Rank) int64 { return int64(s.Dispatcher().Queued(r)) }
func waitPoint(s owner.Status, r tier.Rank) int64  { return int64(s.Dispatcher().DrainTime(r)) }

func admittedPoint(s owner.Status, r tier.Rank) int64 {
	return int64(s.Dispatcher().Threshold().Fraction(r) * permille)
}

func refusedPoint(s owner.Status, r tier.Rank) int64 {
	return int64(s.Dispatcher().Counters().Refused(r))
}

func flag(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// memberKey names the VMs of a data centre in a state.
type memberKey struct {
	dataCentre string
	state      tier.VMState
}

func (o *observer) members() []meter.Point {
	counts := map[memberKey]int64{}
	for _, m := range o.daemon.gossip.Members() {
		counts[memberKey{m.DataCentre(), m.State()}]++
	}
	var out []meter.Point
	for k, n := range counts {
		out = append(out, meter.NewPoint(n, "data-centre", k.dataCentre, "state", k.state.String()))
	}
	return out
}

func (o *observer) inflight() []meter.Point {
	callers, all := o.daemon.inflight.count()
	return []meter.Point{
		meter.NewPoint(int64(callers), "from", "callers"),
		meter.NewPoint(int64(all-callers), "from", "vms"),
	}
}

func (o *observer) backends() []meter.Point {
	var out []meter.Point
	for _, s := range o.owners() {
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

func (o *observer) gossipBytes() []meter.Point {
	t := o.daemon.gossip.Traffic()
	return []meter.Point{
		meter.NewPoint(int64(t.Sent()), "direction", "sent"),
		meter.NewPoint(int64(t.Received()), "direction", "received"),
	}
}

func (o *observer) gossipExchanges() []meter.Point {
	t := o.daemon.gossip.Traffic()
	return []meter.Point{
		meter.NewPoint(int64(t.Exchanges()), "which", "begun"),
		meter.NewPoint(int64(t.Failures()), "which", "failed"),
	}
}

func (o *observer) epochs() []meter.Point {
	var out []meter.Point
	for _, r := range o.daemon.config.Status().Documents() {
		out = append(out, meter.NewPoint(int64(r.Epoch()), "key", r.Key()))
	}
	return out
}

func (o *observer) revisions() []meter.Point {
	var out []meter.Point
	for _, r := range o.daemon.config.Status().Documents() {
		out = append(out, meter.NewPoint(int64(r.Revision()), "key", r.Key()))
	}
	return out
}

func (o *observer) warnings() []meter.Point {
	return []meter.Point{meter.NewPoint(int64(len(o.daemon.config.Warnings())))}
}

func (o *observer) watcher() []meter.Point {
	return []meter.Point{meter.NewPoint(flag(o.daemon.config.Status().WatchesStore()))}
}

func (o *observer) configurationCalls() []meter.Point {
	c := o.daemon.config.Status().Counts()
	return []meter.Point{
		meter.NewPoint(int64(c.Lists()), "call", "read"),
		meter.NewPoint(int64(c.Watches()), "call", "watch"),
		meter.NewPoint(int64(c.Fetches()), "call", "fetch"),
	}
}

func (o *observer) claims() []meter.Point {
	ctx, cancel := context.WithTimeout(o.daemon.ctx, statusTimeout.Duration())
	defer cancel()
	n, ok := o.daemon.booker.Counters(ctx)
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
