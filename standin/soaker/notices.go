package soaker

import (
	"fmt"
	"slices"
	"time"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

const (
	// restGrace is how long after a leaf has asked for a rest calls may still reach it, and maxCallsInRest
	// how many may after that.
	restGrace      = 500 * tier.Millisecond
	maxCallsInRest = 2
)

// ownService is the service whose leafs a VM always calls itself for its callers' requests, so that the VM that
// has made a call is known.
const ownService = "ledger"

// ownServiceIndex is the place of ownService among the services of setUpLeafs.
const ownServiceIndex = 1

// vmAndLeaf are the two ends of a call.
type vmAndLeaf struct{ vm, leaf string }

// ends returns the two ends of a call to a leaf of ownService, or false.
func (h *history) ends(a responder.Request) (vmAndLeaf, bool) {
	q := h.byAttempt[a.AttemptID]
	if q == nil || a.Service != ownService {
		return vmAndLeaf{}, false
	}
	return vmAndLeaf{q.vm, a.Leaf}, true
}

// rests checks that a VM hardly calls a leaf that has turned a request of it away and asked for a rest, until
// that is over. A VM that was disturbed may not have got that answer.
func rests(h *history) []string {
	type rest struct {
		from, to time.Time
		calls    int
	}
	byEnds := map[vmAndLeaf][]*rest{}
	for _, a := range h.calls {
		ends, ok := h.ends(a)
		if !ok {
			continue
		}
		for _, r := range byEnds[ends] {
			if a.ReceivedAt.After(r.from) && a.ReceivedAt.Before(r.to) {
				r.calls++
			}
		}
		if a.AsksForRest {
			byEnds[ends] = append(byEnds[ends], &rest{from: a.ReceivedAt.Add(restGrace.Duration()), to: a.ReceivedAt.Add(responder.Rest.Duration())})
		}
	}
	var bad []string
	for ends, list := range byEnds {
		for _, r := range list {
			if r.calls > maxCallsInRest && !h.mayHaveMissedReply(ends.vm, r.from.Add(-restGrace.Duration()), r.to) {
				bad = append(bad, fmt.Sprintf("%s got %d calls of %s while it wanted none", ends.leaf, r.calls, ends.vm))
			}
		}
	}
	return bad
}

// mayHaveMissedReply reports whether a fault of a VM, or of the links to a leaf, overlaps a period.
func (h *history) mayHaveMissedReply(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(h.disturbances, func(d disturbance) bool {
		return (d.vm == vm || d.ofLeafLinks) && d.overlaps(from, to)
	})
}

// leavings checks that a VM sends no request to a leaf that came later than drainBound after the VM had
// passed on an answer in which the leaf says that it leaves. A new process may not know.
func leavings(h *history) []string {
	told := map[vmAndLeaf]time.Time{}
	for _, q := range h.sent {
		ends := vmAndLeaf{q.vm, responder.SaysLeaving(q.header)}
		if at, ok := told[ends]; ends.leaf != "" && q.served() && (!ok || q.endedAt.Before(at)) {
			told[ends] = q.endedAt
		}
	}
	var bad []string
	for _, a := range h.calls {
		ends, ok := h.ends(a)
		at, known := told[ends]
		if !ok || !known {
			continue
		}
		q := h.byAttempt[a.AttemptID]
		if q.sentAt.Sub(at) > drainBound.Duration() && h.startedBefore(q.vm, q.sentAt).Before(at) {
			bad = append(bad, fmt.Sprintf("%s got %s of %s, sent %v after it had passed on that the leaf leaves", a.Leaf, q.attempt, q.vm, q.sentAt.Sub(at)))
		}
	}
	return bad
}
