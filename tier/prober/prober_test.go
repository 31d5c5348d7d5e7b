package prober

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
)

// TestScripts runs the scripts of testdata: each line gives a time, an event and the
// state afterwards.
func TestScripts(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no scripts in testdata")
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) { runScript(t, name) })
	}
}

func runScript(t *testing.T, name string) {
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	p, err := New("contas-1")
	if err != nil {
		t.Fatal(err)
	}
	for s, line := bufio.NewScanner(f), 1; s.Scan(); line++ {
		words := strings.Fields(s.Text())
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		var at tier.Millis
		if _, err := fmt.Sscan(words[0], &at); err != nil {
			t.Fatalf("line %d: %v", line, err)
		}
		want := words[len(words)-1]
		p.Step(at, parseEvent(t, p, words[1:len(words)-1]))
		if got := p.State().String(); got != want {
			t.Fatalf("line %d: %s: state %s, want %s", line, s.Text(), got, want)
		}
	}
}

func parseState(word string) tier.BackendState {
	for s := tier.BackendUnknown; s <= tier.BackendLost; s++ {
		if s.String() == word {
			return s
		}
	}
	return tier.BackendUnknown
}

func parseEvent(t *testing.T, p *Prober, words []string) Event {
	switch strings.Join(words[:min(2, len(words))], " ") {
	case "tick":
		return &Tick{}
	case "health-failed":
		return NewProbeFailed(p.lastProbe, false)
	case "refused":
		return NewProbeFailed(p.lastProbe, true)
	case "refused-call":
		return NewReplyFailed(true)
	case "reply ok":
		return NewReplyOK(parseState(words[2]))
	case "reply shed":
		return &ReplyShed{}
	case "reply leaving":
		return &ReplyLeaving{}
	case "reply failed":
		return NewReplyFailed(false)
	}
	if words[0] == "health" {
		return NewHealth(p.lastProbe, parseState(words[1]))
	}
	t.Fatalf("unknown event %q", words)
	return nil
}

// stateTracker is a Prober or, to test the check, a broken implementation.
type stateTracker interface {
	Step(now tier.Millis, e Event) []Action
	State() tier.BackendState
}

// timedEvent is an event and the time since the one before.
type timedEvent struct {
	wait  tier.Millis
	event Event
}

func leavingEvents() []Event {
	return []Event{&ReplyLeaving{}, NewReplyOK(tier.BackendLeaving), NewHealth(1, tier.BackendLeaving)}
}

// drawEvents draws events that a server whose process does not end can cause.
func drawEvents(t *rapid.T, label string) []timedEvent {
	events := rapid.SampledFrom([]Event{
		&Tick{}, &Tick{}, NewHealth(1<<40, tier.BackendLive), NewHealth(0, tier.BackendLive),
		NewHealth(1<<40, tier.BackendCold), NewHealth(1<<40, tier.BackendShedding),
		NewProbeFailed(1, false), NewReplyOK(tier.BackendLive), NewReplyOK(tier.BackendUnknown),
		&ReplyShed{}, NewReplyFailed(false),
	})
	timed := rapid.Custom(func(t *rapid.T) timedEvent {
		return timedEvent{wait: tier.Millis(rapid.IntRange(0, 2000).Draw(t, "wait")), event: events.Draw(t, "event")}
	})
	return rapid.SliceOfN(timed, 0, 25).Draw(t, label)
}

// checkNoNewWork returns an error if the server may get new work after a sign of
// leaving.
func checkNoNewWork(tracker stateTracker, before []timedEvent, first Event, after []timedEvent) error {
	var now tier.Millis
	for _, s := range before {
		now += s.wait
		tracker.Step(now, s.event)
	}
	tracker.Step(now, first)
	if tracker.State().AcceptsCalls() {
		return fmt.Errorf("state %v, which takes new work, right after %T", tracker.State(), first)
	}
	for i, s := range after {
		now += s.wait
		tracker.Step(now, s.event)
		if tracker.State().AcceptsCalls() {
			return fmt.Errorf("state %v, which takes new work, after event %d, %T, at %d ms", tracker.State(), i, s.event, now)
		}
	}
	return nil
}

func TestLeavingTakesNoNewWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, err := New("contas-1")
		if err != nil {
			t.Fatal(err)
		}
		first := rapid.SampledFrom(leavingEvents()).Draw(t, "first")
		if err := checkNoNewWork(p, drawEvents(t, "before"), first, drawEvents(t, "after")); err != nil {
			t.Fatal(err)
		}
	})
}

// healthTrustingProber is a broken prober: it believes every answer of the health
// endpoint.
type healthTrustingProber struct{ *Prober }

func (p healthTrustingProber) Step(now tier.Millis, e Event) []Action {
	if h, ok := e.(*Health); ok {
		p.state = h.state
		return nil
	}
	return p.Prober.Step(now, e)
}

// TestLeavingCheckDetectsStaleHealth checks that checkNoNewWork detects a leaving
// server that an outdated health answer brings back.
func TestLeavingCheckDetectsStaleHealth(t *testing.T) {
	p, err := New("contas-1")
	if err != nil {
		t.Fatal(err)
	}
	after := []timedEvent{{wait: 100, event: NewHealth(1, tier.BackendLive)}}
	if checkNoNewWork(healthTrustingProber{p}, nil, &ReplyLeaving{}, after) == nil {
		t.Fatal("checkNoNewWork accepts a leaving server that an outdated health answer brings back")
	}
}

// init fixes the seed of the property tests, unless one is given, so that each run
// draws the same cases.
func init() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
}
