package soaker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
)

// origin is when the ledgers of these tests begin.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(m tier.Millis) time.Time { return origin.Add(m.Duration()) }

const attempt = "1-2-3"

// sound is a ledger of an answered sweep, line and booking, of which no check
// complains.
func sound(t *testing.T) *ledger {
	t.Helper()
	l := newLedger()
	_, routes, err := configuration(1, "a")
	if err != nil {
		t.Fatal(err)
	}
	l.versions = []version{{number: 1, confirmed: origin, routes: routes}}
	for i, route := range []string{sweep, line, book} {
		q := &request{
			attempt: fmt.Sprint(attempt, i), method: http.MethodGet, route: route, vm: "vm-0", limit: callerPatience,
			path: fmt.Sprintf("/%s/%d", route, i), sent: after(20_000), ended: after(20_050), status: 200,
			proper: true, once: route == book, header: http.Header{},
		}
		services := routes[route][:1]
		if route == sweep {
			services = routes[route]
		}
		proofs := ""
		for _, s := range services {
			w := responder.NewSimulatedLeaf("w-"+s, s, 0, l.arrived, l.ran)
			run := responder.Request{
				Leaf: w.ID(), Service: s, AttemptID: q.attempt, Method: q.method, Path: q.path,
				ReceivedAt: after(20_010), TimeRemaining: callerPatience - 20,
			}
			l.arrived(run)
			l.ran(run)
			proofs += w.Signature(q.attempt) + ","
		}
		q.header.Set("Part-Signatures", proofs)
		q.header.Set("Missing-Parts", "0")
		q.body = responder.Records(services[0], q.path)
		if route == sweep {
			q.body = responder.TopRecords(topRecords, q.path, services...)
		}
		l.sending(q)
	}
	return l
}

// again repeats the first arrival and run of a request at some other leaf.
func (l *ledger) again(request, times int, leaf string, at tier.Millis) {
	for _, r := range l.runs {
		if r.AttemptID == l.order[request].attempt {
			for i := range times {
				r.Leaf, r.ReceivedAt = fmt.Sprint(leaf, i), after(at)
				l.arrived(r)
				l.ran(r)
			}
			return
		}
	}
}

// TestChecksCanFail breaks each promise in a sound ledger, and has its check
// say so.
func TestChecksCanFail(t *testing.T) {
	breaches := map[string]func(l *ledger){
		"answers-whole": func(l *ledger) { l.order[0].body = l.order[0].body[16:] },
		"run-as-asked":  func(l *ledger) { l.order[1].path = "/other" },
		"run-once":      func(l *ledger) { l.again(2, 1, "x", 20_020) },
		"refusals-true": func(l *ledger) { l.order[2].status = http.StatusServiceUnavailable },
		"routes-kept":   func(l *ledger) { l.order[2].route = line },
		"attempts":      func(l *ledger) { l.manyRuns(few+1, maxAttempts) },
		"retry-budget":  func(l *ledger) { l.again(1, budgetSlack+1, "x", 20_020) },
		"no-exit":       func(l *ledger) { l.exits = []string{"vm-0"} },
		"memory":        func(l *ledger) { l.memory["vm-0"] = memoryLimit + 1 },
		"time-left":     func(l *ledger) { l.manyRuns(manyHanded+1, 1); l.handMore() },
		"caller-left":   func(l *ledger) { l.order[0].left = after(20_010); l.again(0, few+1, "x", 20_600) },
		"configuration": func(l *ledger) { l.order[1].status = http.StatusNotFound },
		"denied":        func(l *ledger) { l.manyRuns(deniedBase+1, 1); l.deny() },
		"drain":         func(l *ledger) { l.drains = []drained{{"w-a0", after(15_000)}} },
		"stop":          func(l *ledger) { l.stops = []stop{{vm: "vm-0", from: after(1), to: after(20_000), code: 0}} },
		"recovery":      func(l *ledger) { l.order[0].status, l.order[1].status, l.order[2].status = 0, 0, 0 },
	}
	for _, c := range checks() {
		t.Run(c.name, func(t *testing.T) {
			l := sound(t)
			if v := l.judge(true); len(v) > 0 {
				t.Fatalf("the sound ledger: %v", v)
			}
			breach, ok := breaches[c.name]
			if !ok {
				t.Fatal("the check has no breach")
			}
			breach(l)
			if len(c.judge(l)) == 0 {
				t.Error("the check does not see the breach")
			}
		})
	}
}

// manyRuns adds sweeps, each of which runs at some leafs more of its service.
func (l *ledger) manyRuns(n, more int) {
	first := *l.order[0]
	for i := range n {
		q := first
		q.attempt = fmt.Sprint("many-", i)
		q.ended = time.Time{}
		l.sending(&q)
		for k := range 1 + more {
			r := l.runs[0]
			r.AttemptID, r.Leaf = q.attempt, fmt.Sprint("x", k)
			l.ran(r)
		}
	}
}

func (l *ledger) handMore() {
	for i := range l.runs {
		l.runs[i].TimeRemaining = 2 * callerPatience
	}
}

func (l *ledger) deny() {
	for _, q := range l.order {
		q.status, q.ended = http.StatusForbidden, after(20_050)
	}
}

// TestDisturbedVMsAreNotJudged keeps bounds in time from VMs that were out of
// order.
func TestDisturbedVMsAreNotJudged(t *testing.T) {
	l := sound(t)
	l.order[1].status = http.StatusNotFound
	l.spans = []span{{vm: "vm-0", from: after(15_500), to: after(16_000)}}
	if v := configurations(l); len(v) > 0 {
		t.Errorf("a VM that was disturbed 4 s before is judged: %v", v)
	}
	l.spans[0].to = after(15_000 - 1)
	l.spans[0].from = after(14_000)
	if len(configurations(l)) == 0 {
		t.Error("a VM that was calm is not judged")
	}
}

// TestPlansRepeat draws a plan twice.
func TestPlansRepeat(t *testing.T) {
	a, b := makePlan(7, 50, 6, 20, 1000), makePlan(7, 50, 6, 20, 1000)
	for i := range a {
		if a[i].at != b[i].at || a[i].fault.String() != b[i].fault.String() {
			t.Errorf("step %d: %v and %v", i, a[i], b[i])
		}
	}
	if makePlan(8, 1, 6, 20, 1000)[0].at == a[0].at {
		t.Error("another seed gives the same plan")
	}
}
