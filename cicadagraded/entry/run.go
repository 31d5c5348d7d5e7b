package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/leafclient"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/searcher"
)

// freshConnection is the longest idle time of a connection for a request that
// must not run twice: on an older one the leaf's close may cross it.
const freshConnection = 400 * tier.Millisecond

// event is a step of a search that something outside it has caused.
type event func(s *searcher.Search, now tier.Millis) []searcher.Action

// run carries out the actions of one search.
type run struct {
	entry      *Entry
	attempt    string
	repeatable bool
	message    *leafclient.Template
	search     *searcher.Search
	shared     sharedTerms
	flush      func(searcher.Flush) error
	events     chan event
	woken      chan struct{}
	cancels    map[int]context.CancelFunc
	recalls    map[int]context.CancelFunc
	outcome    searcher.Outcome
	done       bool
}

// eventBuffer is how many events of one search wait without holding their
// senders up.
const eventBuffer = 32

// newRun returns a run of a search over services.
func (e *Entry) newRun(attempt string, repeatable bool, m *leafclient.Template, terms searcher.Terms,
	services []string, shares []partitioner.Share,
) *run {
	r := &run{
		entry: e, attempt: attempt, repeatable: repeatable, message: m,
		search:  searcher.NewSearch(e.core, terms, services, shares),
		events:  make(chan event, len(services)+eventBuffer),
		woken:   make(chan struct{}, 1),
		cancels: make(map[int]context.CancelFunc, len(services)),
	}
	r.search.SetUserData(r)
	return r
}

// wake has the run look for actions that another search's step has caused.
func (r *run) wake() {
	select {
	case r.woken <- struct{}{}:
	default:
	}
}

// drive runs the search to its end; the second result says that the caller
// has left.
func (r *run) drive(ctx context.Context) (searcher.Outcome, bool) {
	e := r.entry
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.step(ctx, (*searcher.Search).Start)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !r.done {
		timer.Reset(max(0, r.search.NextTick()-e.clock.Now()).Duration() + time.Millisecond/2)
		select {
		case advance := <-r.events:
			r.step(ctx, advance)
		case <-r.woken:
			r.step(ctx, (*searcher.Search).Resume)
		case <-timer.C:
			r.step(ctx, (*searcher.Search).Tick)
		case <-ctx.Done():
			r.step(ctx, (*searcher.Search).Abandon)
			return r.outcome, true
		}
	}
	return r.outcome, false
}

// tell hands an event to the search unless it has ended.
func (r *run) tell(ctx context.Context, advance event) {
	select {
	case r.events <- advance:
	case <-ctx.Done():
	}
}

// step advances the search and carries out what it asks for.
func (r *run) step(ctx context.Context, advance event) {
	e := r.entry
	e.mu.Lock()
	actions := advance(r.search, e.clock.Now())
	woken := e.core.TakeWoken()
	e.mu.Unlock()
	for _, s := range woken {
		s.UserData().(*run).wake()
	}
	for _, a := range actions {
		switch a := a.(type) {
		case searcher.Send:
			r.send(ctx, a)
		case searcher.Cancel:
			if cancel, ok := r.cancels[a.Call]; ok {
				cancel()
				delete(r.cancels, a.Call)
			}
		case searcher.Delegate:
			r.delegate(ctx, a)
		case searcher.Recall:
			if recall, ok := r.recalls[a.Share]; ok {
				recall()
				delete(r.recalls, a.Share)
				if a.TimedOut {
					e.peers.drop(a.Member.VM().Address())
					e.log.RateLimitedInfo("share-taken-back", "request", r.attempt, "peer", a.Member.VM().Name(), "had-got-it", a.Accepted)
				}
			}
		case searcher.Flush:
			if err := r.flush(a); err != nil {
				e.log.RateLimitedInfo("share-not-reported", "request", r.attempt, "error", err)
			}
		case searcher.Finish:
			r.outcome, r.done = a.Outcome, true
		}
	}
}

func (r *run) send(searching context.Context, a searcher.Send) {
	ctx, cancel := context.WithTimeout(searching, a.TimeLeft.Duration())
	r.cancels[a.Call] = cancel
	headers := platform.LeafCallHeaders(a.Leaf.ID(), a.TimeLeft)
	call := leafclient.Call{Method: r.message.Method(), Request: r.message.Render(headers[:]...)}
	if id := r.attempt; id != "" {
		call.IsReply = func(h http.Header) bool {
			echoed := platform.ParseLeafReply(0, h).AttemptID()
			return echoed == "" || echoed == id
		}
	}
	if !r.repeatable {
		call.MaxIdle = freshConnection
	}
	address := a.Leaf.Address()
	near := r.entry.place(a.Leaf.DataCentre()) != balancer.OtherRegion
	r.entry.calls.Go(func() {
		defer cancel()
		reply, err := r.entry.courier.Do(ctx, address, call)
		if err == nil && !near {
			r.entry.far.Add(int64(len(reply.Body())))
		}
		result := classify(reply, err)
		r.tell(searching, func(s *searcher.Search, now tier.Millis) []searcher.Action {
			return s.CallEnded(now, a.Call, result)
		})
	})
}

// classify says what a call's end proves.
func classify(reply *leafclient.Reply, err error) searcher.Result {
	var notSent *leafclient.NotSentError
	var lost *leafclient.NoReplyError
	switch {
	case errors.As(err, &notSent):
		if notSent.Connected() {
			return searcher.NotRun{Reason: searcher.DeadConnection}
		}
		return searcher.NotRun{Reason: searcher.NoConnection}
	case errors.As(err, &lost):
		return searcher.Lost{Cause: err.Error(), NewConnection: lost.ConnectionRejected()}
	}
	head := platform.ParseLeafReply(reply.Status(), reply.Header())
	switch {
	case head.WrongServer():
		return searcher.NotRun{Reason: searcher.WrongServer}
	case head.NotExecuted() && reply.Status() == http.StatusBadRequest:
		return searcher.NotRun{Reason: searcher.Declined}
	case head.NotExecuted():
		return searcher.NotRun{Reason: searcher.Shed}
	case head.Success():
		return searcher.Answered{Reply: reply}
	case head.Usable():
		return searcher.FailedReply{Reply: reply}
	}
	return searcher.Lost{Cause: "the reply is in an encoding that nobody asked for"}
}
