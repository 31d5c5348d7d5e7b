package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/planner"
	"cicadagrade.example/tier/queue"
)

// partEvents bounds the events of one search that wait for its plan.
const partEvents = 64

// run is one search while it runs.
type run struct {
	front   *Coordinator
	search  Search
	set     *tier.ShardSet
	plan    *planner.Plan
	events  *queue.Queue[planner.Event]
	group   *errgroup.Group
	ctx     context.Context
	cancels map[uint64]context.CancelFunc
	answer  SearchResult
	calls   atomic.Int64
	extra   atomic.Int64
}

// Search runs a search and returns its answer at once when it is settled.
func (f *Coordinator) Search(ctx context.Context, s Search) SearchResult {
	set, ok := f.directory.Set(s.set)
	if !ok {
		return refused(tier.RefuseNoConfig, 0)
	}
	if wait, ok := f.directory.Admit(s.set, s.profile.Rank()); !ok {
		return refused(tier.RefuseOverload, wait)
	}
	group, inner := errgroup.WithContext(ctx)
	inner, cancel := context.WithCancel(inner)
	defer cancel()
	r := &run{
		front:   f,
		search:  s,
		set:     set,
		events:  queue.New[planner.Event](partEvents),
		group:   group,
		ctx:     inner,
		cancels: map[uint64]context.CancelFunc{},
	}
	now := f.clock.Now()
	r.plan = planner.New(now, f.dataCentre, s.profile, set, f.directory, s.deadline, planner.WithBudget(f.budgets.of(set)))
	r.drive()
	r.answer.leafCalls = int(r.calls.Load())
	r.answer.extraCalls = int(r.extra.Load())
	return r.answer
}

// drive steps the plan until it finishes.
func (r *run) drive() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	r.step(&planner.Tick{})
	for r.answer.outcome == nil {
		if next, ok := r.plan.Next(); ok {
			timer.Reset(max(next-r.front.clock.Now(), 0).Duration())
		}
		select {
		case e := <-r.events.Chan():
			r.step(e)
		case <-timer.C:
			r.step(&planner.Tick{})
		case <-r.ctx.Done():
			r.step(&planner.CallerGone{})
			r.endGone()
		}
	}
}

// endGone makes sure that a search whose caller has gone ends.
func (r *run) endGone() {
	if r.answer.outcome == nil {
		r.answer.outcome = tier.NewUnknown(tier.UnknownDeadline)
	}
}

func (r *run) step(e planner.Event) {
	for _, a := range r.plan.Step(r.front.clock.Now(), e) {
		switch a := a.(type) {
		case *planner.SendPart:
			r.send(a)
		case *planner.CancelPart:
			r.cancel(a.Part())
		case *planner.Finish:
			r.answer.outcome = a.Outcome()
		}
	}
}

func (r *run) cancel(part uint64) {
	if c, ok := r.cancels[part]; ok {
		c()
	}
}

// send has the owner in a data centre run a part.
func (r *run) send(a *planner.SendPart) {
	left := a.Deadline() - r.front.clock.Now()
	ctx, cancel := context.WithTimeout(r.ctx, max(left, 0).Duration())
	r.cancels[a.Part()] = cancel
	s := owner.NewSearch(r.search.profile, a.Snapshot(), a.Shards(), r.search.term, a.Deadline())
	r.group.Go(func() error {
		defer cancel()
		e := r.ask(ctx, a, s)
		_ = r.events.Push(r.ctx, e)
		return nil
	})
}

// ask tries the owners of a data centre in turn. The next one is tried when
// the part was not sent, or when the VM was lost: searches are repeatable.
func (r *run) ask(ctx context.Context, a *planner.SendPart, s owner.Search) planner.Event {
	vms := r.front.directory.Owners(r.set.Name(), a.DataCentre(), r.front.turn.Add(1))
	sent := false
	for _, vm := range vms[:min(len(vms), maxOwnersTried)] {
		end, err := r.front.messenger.Ask(ctx, vm, r.set.Name(), s)
		if err == nil {
			r.front.directory.MarkAnswered(vm.Name())
			return r.ended(a, end, sent)
		}
		if r.ctx.Err() == nil {
			r.front.directory.MarkFailed(vm.Name())
		}
		if ctx.Err() != nil {
			return planner.NewPartFailed(a.Part(), tier.MissDeadline)
		}
		sent = sent || !wasNotSent(err)
	}
	if !sent {
		return planner.NewPartRefused(a.Part(), tier.RefuseUnreachable, 0)
	}
	return planner.NewPartFailed(a.Part(), tier.MissUnreachable)
}

// maxOwnersTried bounds the owners that are tried for one part.
const maxOwnersTried = 2

// ended turns an owner's end of a part into the plan's event. Lost says that
// an owner asked before was lost and may have made leaf calls.
func (r *run) ended(a *planner.SendPart, e owner.PartResult, lost bool) planner.Event {
	switch e := e.(type) {
	case *owner.Done:
		calls := e.LeafCalls()
		if lost {
			calls = max(calls, 1)
		}
		r.calls.Add(int64(e.LeafCalls()))
		r.extra.Add(int64(e.ExtraCalls()))
		held := make([]planner.HeldVersions, 0, len(e.Holdings()))
		for _, h := range e.Holdings() {
			held = append(held, planner.NewHeldVersions(h.Shard(), h.Epoch(), h.Versions()))
		}
		return planner.NewPartReplied(a.Part(), a.Snapshot(), e.Results(), held, calls)
	case *owner.NotRun:
		if lost {
			return planner.NewPartFailed(a.Part(), tier.MissRefused)
		}
		return planner.NewPartRefused(a.Part(), e.Reason(), e.RetryAfter())
	default:
		return planner.NewPartFailed(a.Part(), tier.MissDeadline)
	}
}
