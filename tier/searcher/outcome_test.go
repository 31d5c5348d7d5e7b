package searcher

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/budgeter"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
)

// callResults returns every way in which a call can end.
func callResults() []Result {
	list := []Result{
		Answered{Reply: "x"}, FailedReply{Reply: "500"}, Lost{Cause: "reset"}, Lost{Cause: "reset", NewConnection: true},
	}
	for _, reason := range []NotRunReason{NoConnection, DeadConnection, WrongServer, Declined, Shed} {
		list = append(list, NotRun{Reason: reason})
	}
	return list
}

// randomRun drives one search through random events.
type randomRun struct {
	t       *rapid.T
	search  *Search
	now     tier.Millis
	calls   []int         // in flight
	shares  map[int][]int // parts of the shares that have not ended
	outcome *Outcome
}

// apply records the actions of the search.
func (r *randomRun) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			r.calls = append(r.calls, a.Call)
		case Delegate:
			r.shares[a.Share] = a.Parts
		case Recall:
			delete(r.shares, a.Share)
		case Finish:
			r.outcome = &a.Outcome
		}
	}
}

// step applies one random event.
func (r *randomRun) step() {
	number := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(r.t, label) }
	switch k := number("step", 12); {
	case k < 5 && len(r.calls) > 0:
		i := number("call", len(r.calls))
		c := r.calls[i]
		r.calls = append(r.calls[:i], r.calls[i+1:]...)
		r.apply(r.search.CallEnded(r.now, c, rapid.SampledFrom(callResults()).Draw(r.t, "result")))
	case k < 9:
		r.now = max(r.now, min(r.search.NextTick(), r.now+tier.Millis(1+number("wait", 80))))
		r.apply(r.search.Tick(r.now))
	case k == 9 && len(r.shares) > 0:
		for share, parts := range r.shares {
			r.apply(r.search.ShareAccepted(r.now, share))
			r.apply(r.search.ShareReported(r.now, share, ShareReport{Parts: parts[:number("parts", len(parts)+1)], Last: number("last", 2) == 0}))
			return
		}
	case k == 10 && len(r.shares) > 0:
		for share := range r.shares {
			r.apply(r.search.ShareFailed(r.now, share))
			return
		}
	case k == 11 && number("leaves", 20) == 0:
		r.apply(r.search.Abandon(r.now))
	}
}

// TestEachOutcomeHasACause runs random searches to their end. Each outcome has to
// name its cause, and the reason of each missing part.
func TestEachOutcomeHasACause(t *testing.T) {
	causes := map[Cause]bool{}
	rapid.Check(t, func(t *rapid.T) {
		number := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		list := lister.New()
		services := make([]string, 1+number("services", 5))
		for i := range services {
			services[i] = fmt.Sprint("s", i)
			for k := range number("leafs", 3) {
				id := fmt.Sprint("f", i, k)
				list.Put(0, lister.NewEntry("servers/"+id, lister.NewLeaf(id, services[i], id+":1", lister.InDataCentre("a")), 1))
			}
		}
		member := func(name string) partitioner.Member {
			return partitioner.NewMember(tier.NewVM(name, "a", name+":1", tier.WithVMState(tier.VMLive)), "home", 1)
		}
		scheduler := NewScheduler(list, balancer.New(func(string) balancer.Distance { return balancer.SameDataCentre }),
			budgeter.New(0.2, float64(number("slack", 20)), 1), partitioner.New(member("self")))
		scheduler.Partitioner().Put(member("other"))
		options := []TermsOption{WithMinimumParts(1 + number("minimum", len(services))), WithMaxAttempts(1 + number("attempts", 2))}
		if number("idempotent", 3) > 0 {
			options = append(options, Idempotent())
		}
		if len(services) == 1 {
			options = append(options, ForwardFailures())
		}
		var shares []partitioner.Share
		if n := number("shared", len(services)); n > 0 {
			parts := make([]int, n)
			for i := range parts {
				parts[i] = i
			}
			shares = append(shares, partitioner.NewShare(member("other"), parts))
		}
		r := &randomRun{t: t, search: NewSearch(scheduler, NewTerms("c", 200, 600, options...), services, shares), shares: map[int][]int{}}
		r.apply(r.search.Start(0))
		for range 400 {
			if r.outcome != nil {
				break
			}
			r.step()
		}
		for r.outcome == nil && r.now < 2000 {
			r.now = max(r.now+1, r.search.NextTick())
			r.apply(r.search.Tick(r.now))
		}
		if r.outcome == nil {
			t.Fatal("the search does not end")
		}
		causes[r.outcome.Cause()] = true
		if r.outcome.Cause() == "" {
			t.Fatal("an outcome has no cause")
		}
		if n := min(r.outcome.Missing(), maxMisses); len(r.outcome.Misses()) != n {
			t.Fatalf("%d of %d misses are reported", len(r.outcome.Misses()), n)
		}
		for _, m := range r.outcome.Misses() {
			if m.reason == "" {
				t.Fatalf("%s: the miss of %s has no reason", r.outcome.Cause(), m.Service())
			}
		}
	})
	for _, c := range []Cause{Complete, AtTarget, PastTarget, LeafFailure, NoLeaf, LeafsRefused, PartsLost, OutOfTime, OutcomeUnknown, CallerLeft} {
		if !causes[c] {
			t.Logf("no random search ended with %s", c)
		}
	}
}
