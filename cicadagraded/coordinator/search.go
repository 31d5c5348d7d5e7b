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

// eventQueueSize bounds the queued events of one search.
const eventQueueSize = 64

// searchRun is a running search.
type searchRun struct {
	coordinator *Coordinator
	search      Search
	set         *tier.ShardSet
	plan        *planner.Plan
	events      *queue.Queue[planner.Event]
	group       *errgroup.Group
	ctx         context.Context
	cancels     map[uint64]context.CancelFunc
	result      SearchResult
	leafCalls   atomic.Int64
	extraCalls  atomic.Int64
}

// Search runs a search and returns as soon as its outcome is known. Parts that still run
// are cancelled.
func (c *Coordinator) Search(ctx context.Context, s Search) SearchResult {
	set, ok := c.directory.Set(s.set)
	if !ok {
		return refusedResult(tier.RefuseNoConfig, 0)
	}
	if wait, ok := c.directory.Admit(s.set, s.profile.Rank()); !ok {
		return refusedResult(tier.RefuseOverload, wait)
	}
	group, groupCtx := errgroup.WithContext(ctx)
	groupCtx, cancel := context.WithCancel(groupCtx)
	defer cancel()
	r := &searchRun{
		coordinator: c,
		search:      s,
		set:         set,
		events:      queue.New[planner.Event](eventQueueSize),
		group:       group,
		ctx:         groupCtx,
		cancels:     map[uint64]context.CancelFunc{},
	}
	now := c.clock.Now()
	r.plan = planner.New(now, c.dataCentre, s.profile, set, c.directory, s.deadline, planner.WithBudget(c.rerunBudgets.of(set)))
	r.execute()
	r.result.leafCalls = int(r.leafCalls.Load())
	r.result.extraCalls = int(r.extraCalls.Load())
	return r.result
}

// execute runs the plan until it finishes.
func (r *searchRun) execute() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	r.step(&planner.Tick{})
	for r.result.outcome == nil {
		if next, ok := r.plan.Next(); ok {
			timer.Reset(max(next-r.coordinator.clock.Now(), 0).Duration())
		}
		select {
		case e := <-r.events.Chan():
			r.step(e)
		case <-timer.C:
			r.step(&planner.Tick{})
		case <-r.ctx.Done():
			r.step(&planner.CallerGone{})
			r.endCallerGone()
		}
	}
}

// endCallerGone sets the outcome of a search whose caller has gone, unless the plan has
// set one.
func (r *searchRun) endCallerGone() {
	if r.result.outcome == nil {
		r.result.outcome = tier.NewUnknown(tier.UnknownDeadline)
	}
}

// step passes an event to the plan and performs the resulting actions.
func (r *searchRun) step(e planner.Event) {
	for _, a := range r.plan.Step(r.coordinator.clock.Now(), e) {
		switch a := a.(type) {
		case *planner.SendPart:
			r.sendPart(a)
		case *planner.CancelPart:
			r.cancelPart(a.Part())
		case *planner.Finish:
			r.result.outcome = a.Outcome()
		}
	}
}

func (r *searchRun) cancelPart(part uint64) {
	if cancel, ok := r.cancels[part]; ok {
		cancel()
	}
}

// sendPart starts a part on an owner in its data centre. The result becomes an event of
// the plan.
func (r *searchRun) sendPart(a *planner.SendPart) {
	remaining := a.Deadline() - r.coordinator.clock.Now()
	ctx, cancel := context.WithTimeout(r.ctx, max(remaining, 0).Duration())
	r.cancels[a.Part()] = cancel
	s := owner.NewSearch(r.search.profile, a.Snapshot(), a.Shards(), r.search.term, a.Deadline())
	r.group.Go(func() error {
		defer cancel()
		e := r.askOwners(ctx, a, s)
		_ = r.events.Push(r.ctx, e)
		return nil
	})
}

// askOwners sends a part to the owners of a data centre in turn until one of them
// answers. It tries the next owner even if the one before may have run the part, because
// searches are idempotent.
func (r *searchRun) askOwners(ctx context.Context, a *planner.SendPart, s owner.Search) planner.Event {
	vms := r.coordinator.directory.Owners(r.set.Name(), a.DataCentre(), r.coordinator.turn.Add(1))
	sent := false
	for _, vm := range vms[:min(len(vms), maxOwnersTried)] {
		result, err := r.coordinator.messenger.Ask(ctx, vm, r.set.Name(), s)
		if err == nil {
			r.coordinator.directory.MarkAnswered(vm.Name())
			return r.partEvent(a, result, sent)
		}
		if r.ctx.Err() == nil {
			r.coordinator.directory.MarkFailed(vm.Name())
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

// maxOwnersTried bounds the owners in one data centre that a request is sent to.
const maxOwnersTried = 2

// partEvent converts an owner's result of a part to an event of the plan. Lost says that
// another owner got the part before, did not answer and may have made leaf calls.
func (r *searchRun) partEvent(a *planner.SendPart, e owner.PartResult, lost bool) planner.Event {
	switch e := e.(type) {
	case *owner.Done:
		calls := e.LeafCalls()
		if lost {
			calls = max(calls, 1)
		}
		r.leafCalls.Add(int64(e.LeafCalls()))
		r.extraCalls.Add(int64(e.ExtraCalls()))
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
