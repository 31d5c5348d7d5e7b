package soaker

import (
	"net/http"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// callOwnService adds the booking of the sound history once more, under an attempt of its own.
func (h *history) callOwnService(at tier.Millis, change func(q *request, r *responder.Request)) {
	q := *h.sent[2]
	q.attempt, q.sentAt, q.endedAt = q.attempt+"-"+after(at).Format("05.000"), after(at), after(at+20)
	leaf := responder.NewSimulatedLeaf("w-"+ownService, ownService, 0, nil, nil)
	r := responder.Request{
		Leaf: leaf.ID(), Service: ownService, AttemptID: q.attempt, Method: q.method, Path: q.path,
		ReceivedAt: after(at + 10), TimeRemaining: callerTimeoutMs - 20, Organisation: q.organisation,
	}
	q.header = http.Header{"Response-Signature": {leaf.Signature(q.attempt)}}
	change(&q, &r)
	h.addRequest(&q)
	h.addCall(r)
	if q.served() {
		h.addRun(r)
	}
}

// restLeaf lets a VM call a leaf three times that has turned its request away and asked for a rest.
func (h *history) restLeaf() {
	h.callOwnService(21_000, func(q *request, r *responder.Request) { q.status, r.AsksForRest = http.StatusServiceUnavailable, true })
	for k := range tier.Millis(maxCallsInRest + 1) {
		h.callOwnService(21_600+100*k, func(*request, *responder.Request) {})
	}
}

// leaveLeaf lets a VM call a leaf 5 s after it has passed on that the leaf leaves.
func (h *history) leaveLeaf() {
	h.callOwnService(21_000, func(q *request, _ *responder.Request) { q.header.Set("Server-Leaving", "1") })
	h.callOwnService(26_000, func(*request, *responder.Request) {})
}
