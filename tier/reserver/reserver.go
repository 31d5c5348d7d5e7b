// Package reserver divides a VM's connections and memory among its callers. Where one of the two runs out, callers
// that keep the VM waiting for their request lose what they hold to others. What belongs to a request that is being
// served is never taken, and no memory of one that comes at a fair rate.
package reserver

import "cicadagrade.example/tier"

// A request comes at a fair rate for startTime and one second more for each fairRate bytes that it holds.
const (
	startTime = tier.Second
	fairRate  = 128 << 10 // bytes per second
)

// Holder names a caller's connection.
type Holder int64

// Decision is the answer to a demand.
type Decision struct {
	granted bool
	evicted []Holder
}

// Granted reports whether the holder gets what it wants.
func (d Decision) Granted() bool { return d.granted }

// Evicted are the holders that lose all that they hold, and are unknown from now on.
func (d Decision) Evicted() []Holder { return d.evicted }

// holding is what one holder holds.
type holding struct {
	since  tier.Millis // when the VM began to wait for the caller
	bytes  int64
	served bool
}

// cost is the memory times the time for which the VM has waited for the caller.
func (h *holding) cost(now tier.Millis) int64 { return h.bytes * int64(now-h.since) }

// overdue reports whether the request comes more slowly than at a fair rate.
func (h *holding) overdue(now tier.Millis) bool {
	return now-h.since > startTime+tier.Millis(h.bytes*int64(tier.Second)/fairRate)
}

// Reserver holds who has what. The zero value grants nothing; see New.
type Reserver struct {
	maxHolders int
	maxBytes   int64
	bytes      int64
	holdings   map[Holder]*holding
}

// New returns a reserver of a number of connections and bytes.
func New(maxHolders int, maxBytes int64) *Reserver {
	return &Reserver{maxHolders: maxHolders, maxBytes: maxBytes, holdings: map[Holder]*holding{}}
}

// Open grants a connection, without memory. If there are too many, that for which the VM has waited longest goes.
func (r *Reserver) Open(now tier.Millis, id Holder) Decision {
	var d Decision
	if len(r.holdings) >= r.maxHolders {
		longest, found := r.find(func(*holding) bool { return true }, func(a, b *holding) bool { return a.since < b.since })
		if !found {
			return d
		}
		r.Close(longest)
		d.evicted = append(d.evicted, longest)
	}
	r.holdings[id] = &holding{since: now}
	d.granted = true
	return d
}

// Grow grants a holder more bytes. If there are too few, overdue requests go, first those that hold the most for the
// longest time, but not for one that does so itself.
func (r *Reserver) Grow(now tier.Millis, id Holder, bytes int64) Decision {
	var d Decision
	h, ok := r.holdings[id]
	if !ok {
		return d
	}
	for r.bytes+bytes > r.maxBytes {
		costliest, found := r.find(
			func(h *holding) bool { return h.bytes > 0 && h.overdue(now) },
			func(a, b *holding) bool { return a.cost(now) > b.cost(now) })
		if !found || costliest == id {
			return d
		}
		r.Close(costliest)
		d.evicted = append(d.evicted, costliest)
	}
	h.bytes += bytes
	r.bytes += bytes
	d.granted = true
	return d
}

// find returns the first of some holders, of those whose requests are not being served.
func (r *Reserver) find(among func(*holding) bool, before func(a, b *holding) bool) (Holder, bool) {
	var first Holder
	var found *holding
	for id, h := range r.holdings {
		switch {
		case h.served, !among(h):
		case found == nil, before(h, found), !before(found, h) && id < first:
			first, found = id, h
		}
	}
	return first, found != nil
}

// Receive says that a holder's request has begun to come.
func (r *Reserver) Receive(now tier.Millis, id Holder) {
	if h, ok := r.holdings[id]; ok {
		h.since = now
	}
}

// Serve says that a holder's request has come completely. It returns false if the holder was evicted.
func (r *Reserver) Serve(id Holder) bool {
	h, ok := r.holdings[id]
	if ok {
		h.served = true
	}
	return ok
}

// Answer says that the VM has answered and waits for the caller to read the answer.
func (r *Reserver) Answer(now tier.Millis, id Holder) {
	if h, ok := r.holdings[id]; ok {
		h.served, h.since = false, now
	}
}

// Release takes back a holder's bytes, after its request. The VM waits for the next one.
func (r *Reserver) Release(now tier.Millis, id Holder) {
	if h, ok := r.holdings[id]; ok {
		r.bytes -= h.bytes
		*h = holding{since: now}
	}
}

// Close takes back all that a holder holds.
func (r *Reserver) Close(id Holder) {
	if h, ok := r.holdings[id]; ok {
		r.bytes -= h.bytes
		delete(r.holdings, id)
	}
}

// Held returns the number of holders and the bytes that they hold.
func (r *Reserver) Held() (holders int, bytes int64) { return len(r.holdings), r.bytes }
