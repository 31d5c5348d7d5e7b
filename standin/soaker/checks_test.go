package soaker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// origin is the start of the histories of these tests.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after is the time m after the origin.
func after(m tier.Millis) time.Time { return origin.Add(m.Duration()) }

// attemptPrefix starts the attempt IDs of the sound history.
const attemptPrefix = "1-2-3"

// newSoundHistory returns a history of a served sweep, line and booking, in which no check
// finds a breach.
func newSoundHistory(t *testing.T) *history {
	t.Helper()
	h := newHistory()
	_, routes, err := configuration(1, "a")
	if err != nil {
		t.Fatal(err)
	}
	h.versions = []version{{number: 1, writtenAt: origin, confirmedAt: origin, routes: routes, keys: keysOfVersion(1)}}
	for i, route := range []string{routeSweep, routeLine, routeBook} {
		q := &request{
			attempt: fmt.Sprint(attemptPrefix, i), method: http.MethodGet, route: route, vm: "vm-0", timeout: callerTimeoutMs,
			path: fmt.Sprintf("/%s/%d", route, i), sentAt: after(20_000), endedAt: after(20_050), status: 200,
			alwaysRouted: true, atMostOnce: route == routeBook, header: http.Header{},
			organisation: organisationPlain, key: permanentKey(organisationPlain),
		}
		services := routes[route][:1]
		if route == routeSweep {
			services = routes[route]
		}
		signatures := ""
		for _, s := range services {
			w := responder.NewSimulatedLeaf("w-"+s, s, 0, h.addCall, h.addRun)
			run := responder.Request{
				Leaf: w.ID(), Service: s, AttemptID: q.attempt, Method: q.method, Path: q.path,
				ReceivedAt: after(20_010), TimeRemaining: callerTimeoutMs - 20, Organisation: q.organisation,
			}
			h.leafZones[w.ID()] = "depot-a"
			h.addCall(run)
			h.addRun(run)
			signatures += w.Signature(q.attempt) + ","
		}
		q.header.Set("Part-Signatures", signatures)
		q.header.Set("Missing-Parts", "0")
		q.body = responder.Records(services[0], q.path)
		if route == routeSweep {
			q.body = responder.TopRecords(topRecords, q.path, services...)
		}
		h.addRequest(q)
	}
	return h
}

// repeatRun adds calls and runs of the request with an index, each at another leaf.
func (h *history) repeatRun(index, times int, leafPrefix string, at tier.Millis) {
	for _, r := range h.runs {
		if r.AttemptID == h.sent[index].attempt {
			for i := range times {
				r.Leaf, r.ReceivedAt = fmt.Sprint(leafPrefix, i), after(at)
				h.addCall(r)
				h.addRun(r)
			}
			return
		}
	}
}

// TestEachCheckFindsItsBreach breaks each guarantee in a sound history, so that a check
// that can never fail is noticed.
func TestEachCheckFindsItsBreach(t *testing.T) {
	breaches := map[string]func(h *history){
		"answers-whole": func(h *history) { h.sent[0].body = h.sent[0].body[16:] },
		"run-as-asked":  func(h *history) { h.sent[1].path = "/other" },
		"run-once":      func(h *history) { h.repeatRun(2, 1, "x", 20_020) },
		"refusals-true": func(h *history) { h.sent[2].status = http.StatusServiceUnavailable },
		"routes-kept":   func(h *history) { h.sent[2].route = routeLine },
		"attempts":      func(h *history) { h.addSweeps(maxBreaches+1, maxAttempts) },
		"regions":       func(h *history) { h.sent[1].route = routePinned; h.leafZones["w-orders"] = "depot-b" },
		"organisation":  func(h *history) { h.calls[0].Organisation = "forged" },
		"retry-budget":  func(h *history) { h.repeatRun(1, budgetSlack+1, "x", 20_020) },
		"no-exit":       func(h *history) { h.exits = []string{"vm-0"} },
		"memory":        func(h *history) { h.peakMemoryMB["vm-0"] = memoryLimitMB + 1 },
		"time-left":     func(h *history) { h.addSweeps(toleratedOverruns+1, 1); h.exceedTimeLeft() },
		"caller-left":   func(h *history) { h.sent[0].leftAt = after(20_010); h.repeatRun(0, maxBreaches+1, "x", 20_600) },
		"configuration": func(h *history) { h.sent[1].status = http.StatusNotFound },
		"older-again": func(h *history) {
			h.confirmVersion(2, 10_000)
			h.addMarker(2, "vm-0", 200, 11_000)
			h.addMarker(1, "vm-0", 200, 12_000)
		},
		"rest":       func(h *history) { h.restLeaf() },
		"leaving":    func(h *history) { h.leaveLeaf() },
		"denied":     func(h *history) { h.addSweeps(toleratedDenials+1, 1); h.denyAll() },
		"drain":      func(h *history) { h.drains = []drainRecord{{"w-a0", after(15_000)}} },
		"stop":       func(h *history) { h.stops = []plannedStop{{vm: "vm-0", from: after(1), to: after(20_000), code: 0}} },
		"evacuation": func(h *history) { h.evacuations = []evacuation{{"depot-a", after(15_000), never}} },
		"quota":      func(h *history) { h.addCappedCalls(153, 20_010) },
		"cold":       func(h *history) { h.addColdCalls(18, 10) },
		"keys":       func(h *history) { h.sent[0].status = http.StatusUnauthorized },
		"recovery":   func(h *history) { h.sent[0].status, h.sent[1].status, h.sent[2].status = 0, 0, 0 },
	}
	for _, c := range checks() {
		t.Run(c.name, func(t *testing.T) {
			h := newSoundHistory(t)
			if v := h.runChecks(true); len(v) > 0 {
				t.Fatalf("violations in the sound history: %v", v)
			}
			breach, ok := breaches[c.name]
			if !ok {
				t.Fatal("the test has no breach for this check")
			}
			breach(h)
			if len(c.verify(h)) == 0 {
				t.Error("the check does not find the breach")
			}
		})
	}
}

// addSweeps adds n sweeps, each of which runs on extra more leafs of its service.
func (h *history) addSweeps(n, extra int) {
	first := *h.sent[0]
	for i := range n {
		q := first
		q.attempt = fmt.Sprint("many-", i)
		q.endedAt = time.Time{}
		h.addRequest(&q)
		for k := range 1 + extra {
			r := h.runs[0]
			r.AttemptID, r.Leaf = q.attempt, fmt.Sprint("x", k)
			h.addRun(r)
		}
	}
}

// exceedTimeLeft tells all runs more time left than their callers have.
func (h *history) exceedTimeLeft() {
	for i := range h.runs {
		h.runs[i].TimeRemaining = 2 * callerTimeoutMs
	}
}

// denyAll gives all requests a 403.
func (h *history) denyAll() {
	for _, q := range h.sent {
		q.status, q.endedAt = http.StatusForbidden, after(20_050)
	}
}

// TestDisturbedVMsAreExempt checks that timed checks skip a VM that was disturbed within
// the stable window, and judge one that was not.
func TestDisturbedVMsAreExempt(t *testing.T) {
	h := newSoundHistory(t)
	h.sent[1].status = http.StatusNotFound
	h.disturbances = []disturbance{{vm: "vm-0", from: after(15_500), to: after(16_000)}}
	if v := configurationPropagation(h); len(v) > 0 {
		t.Errorf("a VM that was disturbed 4 s before was checked: %v", v)
	}
	h.disturbances[0].to = after(15_000 - 1)
	h.disturbances[0].from = after(14_000)
	if len(configurationPropagation(h)) == 0 {
		t.Error("a stable VM was not checked")
	}
}

// TestSeedDeterminesPlan draws plans with equal and with different seeds.
func TestSeedDeterminesPlan(t *testing.T) {
	a, b := makePlan(7, 50, 6, 20, 1000), makePlan(7, 50, 6, 20, 1000)
	for i := range a {
		if a[i].at != b[i].at || a[i].fault.String() != b[i].fault.String() {
			t.Errorf("step %d: %v and %v", i, a[i], b[i])
		}
	}
	if makePlan(8, 1, 6, 20, 1000)[0].at == a[0].at {
		t.Error("another seed gave the same plan")
	}
}
