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

// TestScripts runs the scripts of testdata: each line gives a time, a sign
// and the state afterwards.
func TestScripts(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no scripts")
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
		p.Step(at, sign(t, p, words[1:len(words)-1]))
		if got := p.State().String(); got != want {
			t.Fatalf("line %d: %s: state %s, want %s", line, s.Text(), got, want)
		}
	}
}

func state(word string) tier.BackendState {
	for s := tier.BackendUnknown; s <= tier.BackendLost; s++ {
		if s.String() == word {
			return s
		}
	}
	return tier.BackendUnknown
}

func sign(t *testing.T, p *Prober, words []string) Event {
	switch strings.Join(words[:min(2, len(words))], " ") {
	case "tick":
		return &Tick{}
	case "health-failed":
		return NewHealthFailed(p.number, false)
	case "refused":
		return NewHealthFailed(p.number, true)
	case "refused-call":
		return NewReplyFailed(true)
	case "reply ok":
		return NewReplyOK(state(words[2]))
	case "reply shed":
		return &ReplyShed{}
	case "reply leaving":
		return &ReplyLeaving{}
	case "reply failed":
		return NewReplyFailed(false)
	}
	if words[0] == "health" {
		return NewHealth(p.number, state(words[1]))
	}
	t.Fatalf("unknown sign %q", words)
	return nil
}

// judge is what takes signs: a Prober, or a broken one.
type judge interface {
	Step(now tier.Millis, e Event) []Action
	State() tier.BackendState
}

// timed is a sign with the time since the one before.
type timed struct {
	wait tier.Millis
	sign Event
}

func leavingSigns() []Event {
	return []Event{&ReplyLeaving{}, NewReplyOK(tier.BackendLeaving), NewHealth(1, tier.BackendLeaving)}
}

// drawSigns draws what a server that does not end may show.
func drawSigns(t *rapid.T, label string) []timed {
	s := rapid.SampledFrom([]Event{
		&Tick{}, &Tick{}, NewHealth(1<<40, tier.BackendLive), NewHealth(0, tier.BackendLive),
		NewHealth(1<<40, tier.BackendCold), NewHealth(1<<40, tier.BackendShedding),
		NewHealthFailed(1, false), NewReplyOK(tier.BackendLive), NewReplyOK(tier.BackendUnknown),
		&ReplyShed{}, NewReplyFailed(false),
	})
	one := rapid.Custom(func(t *rapid.T) timed {
		return timed{wait: tier.Millis(rapid.IntRange(0, 2000).Draw(t, "wait")), sign: s.Draw(t, "sign")}
	})
	return rapid.SliceOfN(one, 0, 25).Draw(t, label)
}

// checkLeaving reports a state that takes new work after a sign of leaving.
func checkLeaving(j judge, before []timed, first Event, after []timed) error {
	var now tier.Millis
	for _, s := range before {
		now += s.wait
		j.Step(now, s.sign)
	}
	j.Step(now, first)
	if j.State().TakesWork() {
		return fmt.Errorf("%v right after %T", j.State(), first)
	}
	for i, s := range after {
		now += s.wait
		j.Step(now, s.sign)
		if j.State().TakesWork() {
			return fmt.Errorf("%v after sign %d, %T, at %d ms", j.State(), i, s.sign, now)
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
		first := rapid.SampledFrom(leavingSigns()).Draw(t, "first")
		if err := checkLeaving(p, drawSigns(t, "before"), first, drawSigns(t, "after")); err != nil {
			t.Fatal(err)
		}
	})
}

// believer takes the health page's word.
type believer struct{ *Prober }

func (b believer) Step(now tier.Millis, e Event) []Action {
	if h, ok := e.(*Health); ok {
		b.state = h.state
		return nil
	}
	return b.Prober.Step(now, e)
}

// TestLeavingCheckFails shows that the check sees a state that flaps back.
func TestLeavingCheckFails(t *testing.T) {
	p, err := New("contas-1")
	if err != nil {
		t.Fatal(err)
	}
	after := []timed{{wait: 100, sign: NewHealth(1, tier.BackendLive)}}
	if checkLeaving(believer{p}, nil, &ReplyLeaving{}, after) == nil {
		t.Fatal("the check accepts a server that a stale page brings back")
	}
}

// init fixes the seed of the properties, unless one is given, so that each run
// draws the same.
func init() {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
}
