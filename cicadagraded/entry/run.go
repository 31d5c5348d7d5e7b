package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/leafclient"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/searcher"
)

// nonIdempotentMaxIdle is the longest idle time of a connection that is reused for a
// request that must not run twice. The leaf may close a connection that was idle for
// longer just as the request is sent, which leaves unknown whether the request ran.
const nonIdempotentMaxIdle = 400 * tier.Millisecond

// searchEvent is a step of a search that handles an external event, such as a reply.
type searchEvent func(s *searcher.Search, now tier.Millis) []searcher.Action

// searchRun executes the actions that one search asks for.
type searchRun struct {
	entry       *Entry
	attemptID   string
	idempotent  bool
	template    *leafclient.Template
	search      *searcher.Search
	delegation  delegationTerms
	flush       func(searcher.Flush) error // sends partial results to the delegating VM
	leafEnded   func(searcher.LeafEnded)   // handles a leaf that may have ended under the request, or nil
	suspected   func()                     // handles the suspicion that the request ends its leafs, or nil
	events      chan searchEvent
	wakeup      chan struct{}
	cancelCall  map[int]context.CancelFunc
	cancelShare map[int]context.CancelFunc
	nextTick    tier.Millis   // when the search has to be stepped at the latest
	leaving     []lister.Leaf // that have said so, and the delegating VM has not been told
	outcome     searcher.Outcome
	done        bool
}

// eventBuffer is how many events a search can queue, beyond one for each service, before
// posting blocks.
const eventBuffer = 32

// newRun returns a run of a new search over services.
func (e *Entry) newRun(attemptID string, idempotent bool, template *leafclient.Template, terms searcher.Terms,
	services []string, shares []partitioner.Share,
) *searchRun {
	r := &searchRun{
		entry: e, attemptID: attemptID, idempotent: idempotent, template: template,
		search:     searcher.NewSearch(e.scheduler, terms, services, shares),
		events:     make(chan searchEvent, len(services)+eventBuffer),
		wakeup:     make(chan struct{}, 1),
		cancelCall: make(map[int]context.CancelFunc, len(services)),
	}
	r.search.SetUserData(r)
	return r
}

// wake makes the run collect actions that a step of another search has caused.
func (r *searchRun) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// wakeAll wakes the runs of some searches.
func wakeAll(searches []*searcher.Search) {
	for _, s := range searches {
		s.UserData().(*searchRun).wake()
	}
}

// execute runs the search to its end. The second result reports whether ctx ended first,
// which means that the caller has disconnected.
func (r *searchRun) execute(ctx context.Context) (searcher.Outcome, bool) {
	e := r.entry
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.step(ctx, (*searcher.Search).Start)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	lastAnswers := e.lastAnswers
	for !r.done {
		timer.Reset(max(0, r.nextTick-e.clock.Now()).Duration() + time.Millisecond/2)
		select {
		case event := <-r.events:
			r.step(ctx, event)
		case <-r.wakeup:
			r.step(ctx, (*searcher.Search).Resume)
		case <-timer.C:
			r.step(ctx, (*searcher.Search).Tick)
		case <-lastAnswers:
			lastAnswers = nil
			r.step(ctx, (*searcher.Search).Expire)
		case <-ctx.Done():
			r.step(ctx, (*searcher.Search).Abandon)
			return r.outcome, true
		}
	}
	return r.outcome, false
}

// post queues an event for the search, unless the search has ended.
func (r *searchRun) post(ctx context.Context, event searchEvent) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}

// step advances the search by an event and carries out the resulting actions.
func (r *searchRun) step(ctx context.Context, event searchEvent) {
	e := r.entry
	e.mu.Lock()
	actions := event(r.search, e.clock.Now())
	woken := e.scheduler.TakeWoken()
	r.nextTick = r.search.NextTick() // steps of other searches change it, and wake this one
	e.mu.Unlock()
	wakeAll(woken)
	for _, a := range actions {
		switch a := a.(type) {
		case searcher.Send:
			r.sendCall(ctx, a)
		case searcher.Prepare:
			r.entry.prepare(a.Leaf)
		case searcher.Cancel:
			if cancel, ok := r.cancelCall[a.Call]; ok {
				cancel()
				delete(r.cancelCall, a.Call)
			}
		case searcher.Delegate:
			r.delegate(ctx, a)
		case searcher.Recall:
			if cancel, ok := r.cancelShare[a.Share]; ok {
				cancel()
				delete(r.cancelShare, a.Share)
				if a.TimedOut {
					e.peers.drop(a.Member.VM().Address())
					e.log.RateLimitedInfo("share-taken-back", "request", r.attemptID, "peer", a.Member.VM().Name(), "had-got-it", a.Accepted)
				}
			}
		case searcher.Flush:
			if err := r.flush(a); err != nil {
				e.log.RateLimitedInfo("share-not-reported", "request", r.attemptID, "error", err)
			}
		case searcher.LeafEnded:
			if r.leafEnded != nil {
				r.leafEnded(a)
			}
		case searcher.Suspected:
			if r.suspected != nil {
				r.suspected()
			}
		case searcher.Finish:
			r.outcome, r.done = a.Outcome, true
		}
	}
}

// sendCall calls a leaf in the background and posts the result to the search.
func (r *searchRun) sendCall(searchCtx context.Context, a searcher.Send) {
	ctx, cancel := context.WithTimeout(searchCtx, a.TimeLeft.Duration())
	r.cancelCall[a.Call] = cancel
	headers := platform.LeafCallHeaders(a.Leaf.ID(), a.TimeLeft)
	call := r.template.Call(headers[:]...)
	call.ID, call.EchoedID = r.attemptID, platform.EchoedAttemptID
	if !r.idempotent {
		call.MaxIdle = nonIdempotentMaxIdle
	}
	address := a.Leaf.Address()
	sameRegion := r.entry.proximity(a.Leaf.DataCentre()) != balancer.OtherRegion
	sentAt := r.entry.clock.Now()
	r.entry.background.Go(func() {
		defer cancel()
		reply, err := r.entry.leafClient.Do(ctx, address, call)
		if err == nil && !sameRegion {
			r.entry.crossRegionBytes.Add(int64(len(reply.Body())))
		}
		result := classifyResult(reply, err)
		notices := r.entry.readNotices(a.Leaf, reply, err)
		r.post(searchCtx, func(s *searcher.Search, now tier.Millis) []searcher.Action {
			r.entry.hearNotices(now, sentAt, a.Leaf, notices)
			if notices.leaving {
				r.leaving = append(r.leaving, a.Leaf)
			}
			return s.CallEnded(now, a.Call, result)
		})
	})
}

// prepareTimeout bounds the opening of a connection before it is needed: several round trips
// between regions.
const prepareTimeout = 300 * tier.Millisecond

// prepare opens a connection to a leaf in the background.
func (e *Entry) prepare(leaf lister.Leaf) {
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), prepareTimeout.Duration())
		defer cancel()
		if err := e.leafClient.Prepare(ctx, leaf.Address()); err != nil {
			e.log.RateLimitedInfo("connection-not-prepared", "leaf", leaf.ID(), "error", err)
			return
		}
		e.mu.Lock()
		e.scheduler.Balancer().Connected(e.clock.Now(), leaf)
		e.mu.Unlock()
	})
}

// classifyResult converts the reply or error of a leaf call to the search's result.
func classifyResult(reply *leafclient.Reply, err error) searcher.Result {
	var notSent *leafclient.NotSentError
	var lost *leafclient.NoReplyError
	switch {
	case errors.As(err, &notSent):
		if notSent.Connected() {
			return searcher.NotRun{Reason: searcher.DeadConnection}
		}
		return searcher.NotRun{Reason: searcher.NoConnection}
	case errors.As(err, &lost):
		return searcher.Lost{Cause: err.Error(), NewConnection: lost.ConnectionRejected(), Ended: lost.Ended()}
	}
	response := platform.ParseLeafReply(reply.Status(), reply.Header())
	switch {
	case response.WrongServer():
		return searcher.NotRun{Reason: searcher.WrongServer}
	case response.NotExecuted() && reply.Status() == http.StatusBadRequest:
		return searcher.NotRun{Reason: searcher.Declined}
	case response.NotExecuted():
		return searcher.NotRun{Reason: searcher.Shed}
	case response.Success():
		return searcher.Answered{Reply: reply}
	case response.Failure():
		return searcher.FailedReply{Reply: reply}
	}
	return searcher.Lost{Cause: fmt.Sprintf("status %d, not as a leaf's reply (signature %v)", reply.Status(), response.Signature() != "")}
}
