package accountant

import (
	"slices"
	"testing"

	"cicadagrade.example/tier"
)

var testBound = NewBound(5*tier.Second, 0.1, 20)

func at(name string) func(string) (string, bool) {
	return func(string) (string, bool) { return name, name != "" }
}

// newTerms are those of a VM that has kept all accounts for long.
func newTerms(q Quota) Terms {
	return NewTerms(func(organisation string) (Quota, bool) { return q, organisation == "o" }, 0, 1,
		func(string) (Level, bool) { return Level{}, false })
}

// TestLedger guards against a report that counts twice, a quota that is not in force, a changed
// burst that leaves no room, a part of the VMs that uses the whole rate, and accounts that are
// kept for ever.
func TestLedger(t *testing.T) {
	q := NewQuota(10, 20)
	l := NewLedger("vm-0", testBound)
	now := tier.Minute
	tokens := func(incarnation, sequence uint64, requests int64, terms Terms) float64 {
		t.Helper()
		levels := l.Report(now, NewReport("vm", incarnation, sequence, []Usage{NewUsage("o", requests, 0), NewUsage("none", 1, 0)}), terms)
		if len(levels) != 1 || levels[0].Organisation() != "o" || levels[0].VMs() != 1 {
			t.Fatalf("levels %v", levels)
		}
		return levels[0].Tokens()
	}
	full := testBound.capacity(q)
	check := func(what string, got, want float64) {
		t.Helper()
		if got < want-0.01 || got > want+0.01 {
			t.Errorf("%s: level %.2f, want %.2f", what, got, want)
		}
	}
	check("first report", tokens(1, 1, 30, newTerms(q)), full-30)
	check("the same again", tokens(1, 1, 30, newTerms(q)), full-30)
	check("the next", tokens(1, 2, 1, newTerms(q)), full-31)
	check("given back", tokens(1, 3, -1, newTerms(q)), full-30)
	check("of a VM that has started again", tokens(2, 1, 10, newTerms(q)), full-40)
	now += tier.Second
	check("a second later", tokens(2, 2, 0, newTerms(q)), full-30)
	half := newTerms(q)
	half.part = 0.5
	now += tier.Second
	check("cut off from half of the VMs", tokens(2, 3, 0, half), full-30+10*0.525)
	check("raised burst", tokens(2, 4, 0, newTerms(NewQuota(10, 50))), full-30+10*0.525+30)
	now += 10 * tier.Second
	check("lowered burst", tokens(2, 5, 0, newTerms(NewQuota(10, 0))), testBound.capacity(NewQuota(10, 0)))
	if l.Len() != 1 || l.LargestDebt() != 0 {
		t.Errorf("%d accounts, debt %v", l.Len(), l.LargestDebt())
	}
	now += idleBucketTTL
	l.Report(now, NewReport("vm", 2, 6, []Usage{NewUsage("none", 1, 0)}), newTerms(q))
	if l.Len() != 0 {
		t.Errorf("%d accounts are kept", l.Len())
	}
	fresh := newTerms(q)
	fresh.since = now
	check("of a VM that has just become the accountant", tokens(2, 7, 0, fresh), testBound.startLevel(q))
	now += tier.Second
	check("which is cautious", tokens(2, 8, 0, fresh), testBound.startLevel(q)+5)
	now += 10 * tier.Second
	fresh.since = now - 100
	check("after others may have kept the account", tokens(2, 9, 0, fresh), testBound.startLevel(q)+0.5)
	now += 10 * tier.Second
	fresh.since = now
	fresh.heard = func(string) (Level, bool) { return NewLevel("o", -4, 9, 50, 0), true }
	check("after another one has told of a debt", tokens(2, 10, 0, fresh), -4)
}

// TestReporter guards against messages without requests, too many of them, requests that are lost
// or counted twice when an accountant does not answer, and a VM that is alone and uses the whole
// quota.
func TestReporter(t *testing.T) {
	q := NewQuota(10, 20)
	r := NewReporter("vm", 1, 0, testBound)
	r.SetVMs(100)
	now := tier.Minute
	due := func(to string, want ...Usage) Report {
		t.Helper()
		reports, _ := r.TakeDue(now, at(to))
		if len(want) == 0 && len(reports) == 0 {
			return Report{}
		}
		if len(reports) != 1 || reports[0].To() != to || !slices.Equal(reports[0].Usages(), want) {
			t.Fatalf("%v is due, want %v to %q", reports, want, to)
		}
		return reports[0]
	}
	due("a")
	r.Admit(now, "o", q, 0)
	r.Admit(now, "o", q, 0)
	r.Return("o")
	first := due("a", NewUsage("o", 1, 0))
	r.Admit(now, "o", q, 0)
	due("a") // until the first is answered
	now += ReportTimeout
	r.Failed(now, first, at("a"))
	if again := due("a", NewUsage("o", 1, 0)); again.Sequence() != first.Sequence() {
		t.Errorf("sent again with number %d", again.Sequence())
	}
	r.Failed(now, first, at("b"))
	second := due("b", NewUsage("o", 1, 0)) // what was admitted while alone is of the VM's own part
	if second.Sequence() == first.Sequence() {
		t.Error("two reports have the same number")
	}
	r.Answered(now, second, []Level{NewLevel("o", -5, 40, 0, 0)})
	if d := r.Admit(now, "o", q, 0); d.Admitted() || d.RetryAfter() < 600 {
		t.Errorf("with a debt of 5: %+v", d)
	}
	due("b") // less than an interval after the last
	if _, next := r.TakeDue(now, at("b")); next != now+reportInterval {
		t.Errorf("the next report is due at %d", next)
	}
	now += reportInterval
	third := due("b", NewUsage("o", 0, 1))
	r.Answered(now, third, []Level{NewLevel("o", 10, 40, 0, 0)})
	for range 10 {
		if !r.Admit(now, "o", q, 0.99).Admitted() {
			t.Fatal("refused with room for 10")
		}
	}
	if d := r.Admit(now, "o", q, 0); d.Admitted() || d.RetryAfter() < 100 {
		t.Errorf("without room: %+v", d)
	}
	if !r.Admit(now, "other", NewQuota(0, 0), 0.99).Admitted() {
		t.Error("refused without a limit")
	}

	alone := NewReporter("vm", 1, 0, testBound)
	alone.SetVMs(100)
	admitted, draws := 0, 0.0
	for range 600 { // a minute at the whole rate
		draws += 0.618
		draws -= float64(int(draws))
		if alone.Admit(now, "o", q, draws).Admitted() {
			admitted++
		}
		alone.TakeDue(now, at(""))
		now += 100 * tier.Millisecond
	}
	if admitted < 4 || admitted > 9 {
		t.Errorf("a VM of 100 that is alone admits %d of 600 requests in a minute, 6 are its part", admitted)
	}
}

// TestFormerAccountantIsNotBelieved guards against news of a VM on whose accounts nobody reports
// any more, and that sees a hot organisation grow quiet.
func TestFormerAccountantIsNotBelieved(t *testing.T) {
	n := NewNews()
	hot, stale := NewLevel("o", -3, 50, 100, 0), NewLevel("o", 30, 1, 20, 0)
	if len(n.Hear(1000, []Level{hot})) != 1 || len(n.Hear(1500, []Level{stale})) != 0 {
		t.Error("the former accountant is believed")
	}
	if len(n.Hear(1000+newsTTL, []Level{stale})) != 1 {
		t.Error("an organisation that grows quiet is refused for ever")
	}
	if levels := n.Levels(1000+newsTTL+5*tier.Second, 5*tier.Second); len(levels) != 0 {
		t.Errorf("old news %v", levels)
	}
}

// TestRefusedCallersReturnSpreadOut guards against callers that all return late, because the number
// that has refused them also spreads their return.
func TestRefusedCallersReturnSpreadOut(t *testing.T) {
	q := NewQuota(20, 20)
	r := NewReporter("vm", 1, 0, testBound)
	hot := NewLevel("o", 10, 84, 40, 0) // three of four requests are admitted
	r.Heard(tier.Minute, []Level{hot}, func(string) (Quota, bool) { return q, true })
	least, most := tier.Minute, tier.Millis(0)
	for i := range 250 {
		if d := r.Admit(tier.Minute, "o", q, 0.75+float64(i)/1000); !d.Admitted() {
			least, most = min(least, d.RetryAfter()), max(most, d.RetryAfter())
		}
	}
	if least > 100 || most < 4*tier.Second {
		t.Errorf("refused callers return after %d to %d ms", least, most)
	}
}

// TestLevelsOfEarlierBuilds guards against an account that is divided with nobody: VMs of earlier builds pass levels
// on without the name of the keeper, also those of this VM's own account.
func TestLevelsOfEarlierBuilds(t *testing.T) {
	n := NewNews()
	own := NewLevel("o", 0, 3, 50, 0).KeptBy("vm-0")
	passedOn := NewLevel("o", 0, 3, 50, 0)
	other := NewLevel("o", 0, 4, 30, 0).KeptBy("vm-1")
	n.Hear(1000, []Level{own})
	n.Hear(1100, []Level{passedOn})
	if vms, demand := n.Rivals(1200, "o", "vm-0"); vms != 0 || demand != 0 {
		t.Errorf("rivals of %d VMs and %g requests a second, expected none", vms, demand)
	}
	n.Hear(1300, []Level{other})
	if vms, demand := n.Rivals(1400, "o", "vm-0"); vms != 4 || demand != 30 {
		t.Errorf("rivals of %d VMs and %g requests a second, expected 4 and 30", vms, demand)
	}
	if vms, _ := n.Rivals(1300+rivalTTL, "o", "vm-0"); vms != 0 {
		t.Error("a rival that is not heard any more counts")
	}
}
