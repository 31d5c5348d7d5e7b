package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/cicadagraded/courier"
	"cicadagrade.example/platform"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/searcher"
)

// freshConnection is the longest idle time of a connection for a request that
// must not run twice: on an older one the leaf's close may cross it.
const freshConnection = 400 * tier.Millisecond

// ended is the result of one call.
type ended struct {
	call   int
	result searcher.Result
}

// run carries out the actions of one search.
type run struct {
	entry   *Entry
	request *request
	message *courier.Message
	search  *searcher.Search
	results chan ended
	cancels map[int]context.CancelFunc
	outcome searcher.Outcome
	done    bool
}

func (r *run) drive(ctx context.Context, services []string) (searcher.Outcome, bool) {
	e := r.entry
	q := r.request
	// Each leaf may be asked a few times; a result never waits for a reader.
	r.results = make(chan ended, len(services)*(q.route.Attempts()+2))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.search = searcher.New(e.core, q.terms(), services)
	r.step(ctx, func(now tier.Millis) []searcher.Action { return r.search.Start(now) })
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !r.done {
		now := e.clock.Now()
		timer.Reset(max(0, r.search.Next()-now).Duration() + time.Millisecond/2)
		select {
		case n := <-r.results:
			r.step(ctx, func(now tier.Millis) []searcher.Action { return r.search.Ended(now, n.call, n.result) })
		case <-timer.C:
			r.step(ctx, func(now tier.Millis) []searcher.Action { return r.search.Tick(now) })
		case <-ctx.Done():
			r.step(ctx, func(now tier.Millis) []searcher.Action { return r.search.Abandon(now) })
			return r.outcome, true
		}
	}
	return r.outcome, false
}

// step advances the search and carries out what it asks for.
func (r *run) step(ctx context.Context, advance func(tier.Millis) []searcher.Action) {
	e := r.entry
	e.mu.Lock()
	actions := advance(e.clock.Now())
	e.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case searcher.Send:
			r.send(ctx, a)
		case searcher.Cancel:
			if cancel, ok := r.cancels[a.Call]; ok {
				cancel()
				delete(r.cancels, a.Call)
			}
		case searcher.Finish:
			r.outcome, r.done = a.Outcome, true
		}
	}
}

func (r *run) send(ctx context.Context, a searcher.Send) {
	ctx, cancel := context.WithTimeout(ctx, a.TimeLeft.Duration())
	r.cancels[a.Call] = cancel
	headers := platform.CallHeaders(a.Leaf.ID(), a.TimeLeft)
	call := courier.Call{Method: r.message.Method(), Message: r.message.With(headers[:]...)}
	if id := r.request.sender.Attempt(); id != "" {
		call.Ours = func(h http.Header) bool {
			echoed := platform.ReadLeafReply(0, h).Attempt()
			return echoed == "" || echoed == id
		}
	}
	if !r.request.route.Repeatable() {
		call.MaxIdle = freshConnection
	}
	address := a.Leaf.Address()
	r.entry.calls.Go(func() {
		defer cancel()
		reply, err := r.entry.courier.Do(ctx, address, call)
		r.results <- ended{call: a.Call, result: classify(reply, err)}
	})
}

// classify says what a call's end proves.
func classify(reply *courier.Reply, err error) searcher.Result {
	var notSent *courier.NotSentError
	switch {
	case errors.As(err, &notSent):
		if notSent.Dialled() {
			return searcher.NotRun{Reason: searcher.BrokenAtStart}
		}
		return searcher.NotRun{Reason: searcher.NoConnection}
	case err != nil:
		return searcher.Lost{Cause: err.Error()}
	}
	head := platform.ReadLeafReply(reply.Status(), reply.Header())
	switch {
	case head.WrongServer():
		return searcher.NotRun{Reason: searcher.WrongServer}
	case head.NotRun() && reply.Status() == http.StatusBadRequest:
		return searcher.NotRun{Reason: searcher.Declined}
	case head.NotRun():
		return searcher.NotRun{Reason: searcher.Shed}
	case head.Success():
		return searcher.Answered{Reply: reply}
	case head.Usable():
		return searcher.FailedReply{Reply: reply}
	}
	return searcher.Lost{Cause: "the reply is in an encoding that nobody asked for"}
}
