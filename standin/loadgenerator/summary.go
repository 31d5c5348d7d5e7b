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

// maxViolations bounds the violations that a result lists.
const maxViolations = 200

// summary sums up ended requests. Only its collecting duty writes it, until
// that has ended.
type summary struct {
	run     *Run
	streams [][]*tally // by phase and stream
	ranks   [][]*tally // by phase and rank
	refused []string   // searches that were refused as not run
	out     reporter.Result
}

func newSummary(r *Run) *summary {
	s := &summary{run: r}
	s.out = reporter.Result{
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

// collect sums up until ctx ends, and then what is left in the ring.
func (s *summary) collect(ctx context.Context, ends *queue.Queue[ended]) error {
	for {
		e, err := ends.Pop(ctx)
		if err != nil {
			break
		}
		s.add(e)
	}
	for ends.Len() > 0 {
		s.add(<-ends.Chan())
	}
	return nil
}

func (s *summary) add(e ended) {
	x := s.run.workload.phases[e.phase].streams[e.stream]
	s.streams[e.phase][e.stream].add(e)
	if !x.bare {
		s.ranks[e.phase][x.profile.Rank()].add(e)
	}
	s.violate(e.violations)
	if e.answer != nil && !x.book && e.answer.Outcome() == checker.OutcomeRefused {
		s.refused = append(s.refused, e.answer.RequestID())
	}
}

func (s *summary) violate(list []checker.Violation) {
	s.out.ViolationCount += len(list)
	for _, v := range list {
		s.out.ViolationKinds[string(v.Kind)]++
	}
	room := maxViolations - len(s.out.Violations)
	s.out.Violations = append(s.out.Violations, list[:min(len(list), room)]...)
}

// settle is how long leaf calls that nobody waits for may still take effect.
const settle = 500 * time.Millisecond

// compareWithJournal checks bookings and refusals against what the backend
// servers ran.
func (s *summary) compareWithJournal(ctx context.Context) {
	_ = sleepUntil(ctx, time.Now().Add(settle))
	booked, err := s.run.backends.AppliedBookings(ctx, 0)
	if err != nil {
		s.out.Unchecked = append(s.out.Unchecked, "bookings: "+err.Error())
	} else {
		s.violate(s.run.ledger.Check(booked))
	}
	started, err := s.run.backends.StartedTags(ctx, s.refused)
	if err != nil {
		s.out.Unchecked = append(s.out.Unchecked, "refused searches: "+err.Error())
		return
	}
	for _, id := range started {
		s.violate([]checker.Violation{{Kind: checker.FalseRefusal, RequestID: id, Detail: "refused as not run, but a leaf call ran"}})
	}
}

// sets sums up the servers' counters by set.
func (s *summary) sets(before, after []leafserver.Counters) {
	old := map[string]leafserver.Counters{}
	for _, c := range before {
		old[c.Server] = c
	}
	loads := map[string]*reporter.SetLoad{}
	for _, x := range s.run.deployment.Sets() {
		loads[x.Name()] = &reporter.SetLoad{Set: x.Name()}
	}
	for _, c := range after {
		if l, ok := loads[c.Set]; ok {
			addLoad(l, old[c.Server], c)
		}
	}
	for _, x := range s.run.deployment.Sets() {
		s.out.Sets = append(s.out.Sets, *loads[x.Name()])
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

func (s *summary) result() *reporter.Result {
	for i, f := range s.run.workload.phases {
		p := reporter.Phase{Name: f.name, Seconds: f.seconds}
		for _, t := range s.ranks[i] {
			if t.row.Offered > 0 {
				p.Ranks = append(p.Ranks, t.finish(f.seconds))
			}
		}
		for _, t := range s.streams[i] {
			p.Streams = append(p.Streams, t.finish(f.seconds))
		}
		s.out.Phases = append(s.out.Phases, p)
	}
	return &s.out
}

// post gives an order to the stand-in that it is meant for.
func (r *Run) post(ctx context.Context, o order) error {
	switch o.to {
	case toBackends:
		_, err := r.backends.SetFaults(ctx, o.body)
		return err
	case toStore:
		return command(ctx, http.MethodPut, "http://"+r.deployment.StoreAddress()+"/faults", o.body)
	default:
		return command(ctx, http.MethodPost, "http://"+r.deployment.LinkControlAddress()+"/links", o.body)
	}
}

func command(ctx context.Context, method, url string, body []byte) error {
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
