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

// results are all ends of a call.
func results() []Result {
	list := []Result{
		Answered{Reply: "x"}, FailedReply{Reply: "500"}, Lost{Cause: "reset"}, Lost{Cause: "reset", NewConnection: true},
	}
	for _, r := range []NotRunReason{NoConnection, DeadConnection, WrongServer, Declined, Shed} {
		list = append(list, NotRun{Reason: r})
	}
	return list
}

// player drives one search through events that are drawn.
type player struct {
	t       *rapid.T
	search  *Search
	now     tier.Millis
	calls   []int
	shares  map[int][]int // parts of shares that are out
	outcome *Outcome
}

func (p *player) take(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			p.calls = append(p.calls, a.Call)
		case Delegate:
			p.shares[a.Share] = a.Parts
		case Recall:
			delete(p.shares, a.Share)
		case Finish:
			p.outcome = &a.Outcome
		}
	}
}

// step draws an event; the caller may leave.
func (p *player) step() {
	number := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(p.t, label) }
	switch k := number("step", 12); {
	case k < 5 && len(p.calls) > 0:
		i := number("call", len(p.calls))
		c := p.calls[i]
		p.calls = append(p.calls[:i], p.calls[i+1:]...)
		p.take(p.search.CallEnded(p.now, c, rapid.SampledFrom(results()).Draw(p.t, "result")))
	case k < 9:
		p.now = max(p.now, min(p.search.NextTick(), p.now+tier.Millis(1+number("wait", 80))))
		p.take(p.search.Tick(p.now))
	case k == 9 && len(p.shares) > 0:
		for share, parts := range p.shares {
			p.take(p.search.ShareAccepted(p.now, share))
			p.take(p.search.ShareReported(p.now, share, ShareReport{Parts: parts[:number("parts", len(parts)+1)], Last: number("last", 2) == 0}))
			return
		}
	case k == 10 && len(p.shares) > 0:
		for share := range p.shares {
			p.take(p.search.ShareFailed(p.now, share))
			return
		}
	case k == 11 && number("leaves", 20) == 0:
		p.take(p.search.Abandon(p.now))
	}
}

// TestEachOutcomeHasACause plays random searches to their end: each outcome names
// its cause, and each part that is missing why it is.
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
		core := NewScheduler(list, balancer.New(func(string) balancer.Distance { return balancer.SameDataCentre }),
			budgeter.New(0.2, float64(number("slack", 20)), 1), partitioner.New(member("self")))
		core.Partitioner().Put(member("other"))
		options := []TermsOption{WithMinimumParts(1 + number("minimum", len(services))), WithMaxAttempts(1 + number("attempts", 2))}
		if number("repeatable", 3) > 0 {
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
		p := &player{t: t, search: NewSearch(core, NewTerms("c", 200, 600, options...), services, shares), shares: map[int][]int{}}
		p.take(p.search.Start(0))
		for range 400 {
			if p.outcome != nil {
				break
			}
			p.step()
		}
		for p.outcome == nil && p.now < 2000 {
			p.now = max(p.now+1, p.search.NextTick())
			p.take(p.search.Tick(p.now))
		}
		if p.outcome == nil {
			t.Fatal("the search does not end")
		}
		causes[p.outcome.Cause()] = true
		if p.outcome.Cause() == "" {
			t.Fatal("an outcome has no cause")
		}
		if n := min(p.outcome.Missing(), maxMisses); len(p.outcome.Misses()) != n {
			t.Fatalf("%d of %d misses are told", len(p.outcome.Misses()), n)
		}
		for _, m := range p.outcome.Misses() {
			if m.why == "" {
				t.Fatalf("%s: no reason for %s is told", p.outcome.Cause(), m.Service())
			}
		}
	})
	for _, c := range []Cause{Complete, AtTarget, PastTarget, LeafFailure, NoLeaf, LeafsRefused, PartsLost, OutOfTime, OutcomeUnknown, CallerLeft} {
		if !causes[c] {
			t.Logf("no drawn search ended with %s", c)
		}
	}
}
