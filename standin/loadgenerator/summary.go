package loadgenerator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/standin/checker"
	"cicadagrade.example/standin/leafserver"
	"cicadagrade.example/standin/reporter"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/queue"
)

// maxViolations is the maximum number of violations that a result lists.
const maxViolations = 200

// summary aggregates the results of requests. Only the goroutine running collect writes
// to it until that goroutine has ended.
type summary struct {
	run     *Run
	streams [][]*tally // by phase and stream
	ranks   [][]*tally // by phase and rank
	refused []string   // searches that were refused as not run
	result  reporter.Result
}

func newSummary(r *Run) *summary {
	s := &summary{run: r}
	s.result = reporter.Result{
		Workload:       r.workload.name,
		Deployment:     r.deployment.Name(),
		Seed:           r.workload.seed,
		Violations:     []checker.Violation{},
		ViolationKinds: map[string]int{},
		Unchecked:      []string{},
	}
	for _, f := range r.workload.phases {
		var streams, ranks []*tally
		for _, x := range f.streams {
			streams = append(streams, newTally(x.name))
		}
		for _, k := range tier.Ranks {
			ranks = append(ranks, newTally(k.String()))
		}
		s.streams = append(s.streams, streams)
		s.ranks = append(s.ranks, ranks)
	}
	return s
}

// collect adds results until ctx ends, and then those left in the queue.
func (s *summary) collect(ctx context.Context, results *queue.Queue[requestResult]) error {
	for {
		r, err := results.Pop(ctx)
		if err != nil {
			break
		}
		s.add(r)
	}
	for results.Len() > 0 {
		s.add(<-results.Chan())
	}
	return nil
}

func (s *summary) add(r requestResult) {
	x := s.run.workload.phases[r.phase].streams[r.stream]
	s.streams[r.phase][r.stream].add(r)
	if !x.direct {
		s.ranks[r.phase][x.profile.Rank()].add(r)
	}
	s.addViolations(r.violations)
	if r.answer != nil && !x.book && r.answer.Outcome() == checker.OutcomeRefused {
		s.refused = append(s.refused, r.answer.RequestID())
	}
}

func (s *summary) addViolations(list []checker.Violation) {
	s.result.ViolationCount += len(list)
	for _, v := range list {
		s.result.ViolationKinds[string(v.Kind)]++
	}
	free := maxViolations - len(s.result.Violations)
	s.result.Violations = append(s.result.Violations, list[:min(len(list), free)]...)
}

// settleTime is how long to wait before the check against the journal. Leaf calls whose
// caller has given up may still take effect within this time.
const settleTime = 500 * time.Millisecond

// checkAgainstJournal checks bookings and refusals against the journal of the requests
// that the backend servers executed.
func (s *summary) checkAgainstJournal(ctx context.Context) {
	_ = sleepUntil(ctx, time.Now().Add(settleTime))
	executed, err := s.run.backends.AppliedBookings(ctx, 0)
	if err != nil {
		s.result.Unchecked = append(s.result.Unchecked, "bookings: "+err.Error())
	} else {
		s.addViolations(s.run.bookings.Check(executed))
	}
	started, err := s.run.backends.StartedTags(ctx, s.refused)
	if err != nil {
		s.result.Unchecked = append(s.result.Unchecked, "refused searches: "+err.Error())
		return
	}
	for _, id := range started {
		s.addViolations([]checker.Violation{{Kind: checker.FalseRefusal, RequestID: id, Detail: "refused as not executed, but a backend server executed a call"}})
	}
}

// addSetLoads aggregates the counters of the backend servers by set.
func (s *summary) addSetLoads(before, after []leafserver.Counters) {
	previous := map[string]leafserver.Counters{}
	for _, c := range before {
		previous[c.Server] = c
	}
	loads := map[string]*reporter.SetLoad{}
	for _, x := range s.run.deployment.Sets() {
		loads[x.Name()] = &reporter.SetLoad{Set: x.Name()}
	}
	for _, c := range after {
		if l, ok := loads[c.Set]; ok {
			addLoad(l, previous[c.Server], c)
		}
	}
	for _, x := range s.run.deployment.Sets() {
		s.result.Sets = append(s.result.Sets, *loads[x.Name()])
	}
}

func addLoad(l *reporter.SetLoad, before, after leafserver.Counters) {
	l.Calls += after.Searches + after.Bookings - before.Searches - before.Bookings
	l.Overbooked += after.Overbooked - before.Overbooked
	l.Shed += after.Shed - before.Shed
	l.Refused += after.Refused - before.Refused
	l.Cancelled += after.Cancelled - before.Cancelled
	l.ConnectionsMade += after.ConnectionsMade - before.ConnectionsMade
	l.ConnectionsRefused += after.ConnectionsRefused - before.ConnectionsRefused
	l.OfferedMax = max(l.OfferedMax, after.OfferedMax)
	l.ConnectionsMax = max(l.ConnectionsMax, after.ConnectionsMax)
}

// finish returns the result of the run after adding that of each phase.
func (s *summary) finish() *reporter.Result {
	for i, f := range s.run.workload.phases {
		p := reporter.Phase{Name: f.name, Seconds: f.seconds}
		for _, t := range s.ranks[i] {
			if t.row.Offered > 0 {
				p.Ranks = append(p.Ranks, t.buildRow(f.seconds))
			}
		}
		for _, t := range s.streams[i] {
			p.Streams = append(p.Streams, t.buildRow(f.seconds))
		}
		s.result.Phases = append(s.result.Phases, p)
	}
	return &s.result
}

// postCommand sends a command to the control port that it is meant for.
func (r *Run) postCommand(ctx context.Context, c command) error {
	switch c.target {
	case targetBackends:
		_, err := r.backends.SetFaults(ctx, c.body)
		return err
	case targetStore:
		return sendJSON(ctx, http.MethodPut, "http://"+r.deployment.StoreAddress()+"/faults", c.body)
	default:
		return sendJSON(ctx, http.MethodPost, "http://"+r.deployment.LinkControlAddress()+"/links", c.body)
	}
}

// sendJSON sends a JSON body and returns an error unless the status of the reply is 200
// OK.
func sendJSON(ctx context.Context, method, url string, body []byte) error {
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(a.Body)
		return errors.Errorf("%s: %s: %s", url, a.Status, bytes.TrimSpace(b))
	}
	return nil
}
