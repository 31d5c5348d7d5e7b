package planner_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
	"cicadagrade.example/tier/planner"
)

// TestScripts runs each script of testdata and compares the transcript with its golden
// file. Every answer is also compared with what was served.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts in testdata: %v", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) {
			s := newScript(t)
			in, err := os.Open(f)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = in.Close() }()
			lines := bufio.NewScanner(in)
			for lines.Scan() {
				s.play(lines.Text())
			}
			goldie.New(t).Assert(t, name, []byte(s.out.String()))
		})
	}
}

// script drives one plan. Its commands:
//
//	profile MIN-COVERAGE DEADLINE
//	map EPOCH SHARD=DC[,DC...] ...     the shard map; a is the local data centre
//	hold DC EPOCH.VERSION SHARD ...    versions that a data centre can serve
//	cut DC, mend DC                    makes a data centre unreachable, reachable
//	at MS, tick                        sets the time, sends a Tick
//	gone                               the caller no longer waits
//	former                             makes the last map the earlier one of the view
//	adopt                              sends the last map to the plan
//	force                              makes the view show the last map
//	reply PART SNAPSHOT CALLS RESULT ... [held SHARD=EPOCH.VERSION[+VERSION] ...]
//	refuse PART REASON, fail PART REASON
//
// CALLS is the number of leaf calls. A result is SHARD for a complete reply, SHARD!cut
// for a truncated one, SHARD!corrupt, or SHARD:MISS for a missing shard and the reason.
type script struct {
	t       *testing.T
	now     tier.Millis
	profile *tier.Profile
	set     *tier.ShardSet
	lastMap *tier.ShardSet
	view    *fakeView
	plan    *planner.Plan
	served  servedLedger
	out     strings.Builder
}

func newScript(t *testing.T) *script {
	return &script{t: t, view: newFakeView(), served: servedLedger{}}
}

func (s *script) play(line string) {
	fmt.Fprintln(&s.out, line)
	w := strings.Fields(line)
	if len(w) == 0 || w[0] == "#" {
		return
	}
	switch w[0] {
	case "profile":
		s.newProfile(w[1], w[2])
	case "map":
		s.newMap(w[1], w[2:])
	case "hold":
		s.view.hold(w[1], parseSnapshot(s.t, w[2]), w[3:])
	case "cut":
		s.view.unreachable[w[1]] = true
	case "former":
		s.view.earlier, s.set = s.set, nil
	case "force":
		s.view.set = s.lastMap
	case "mend":
		delete(s.view.unreachable, w[1])
	case "at":
		s.now = tier.Millis(parseNumber(s.t, w[1]))
	default:
		s.step(s.event(w))
	}
}

func (s *script) newProfile(minCoverage, deadline string) {
	f, err := strconv.ParseFloat(minCoverage, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	p, err := tier.NewProfile("gate", tier.WithMinCoverage(f), tier.WithDeadline(tier.Millis(parseNumber(s.t, deadline))))
	if err != nil {
		s.t.Fatal(err)
	}
	s.profile = p
}

func (s *script) newMap(epoch string, words []string) {
	m := makeSet(s.t, tier.Epoch(parseNumber(s.t, epoch)), words)
	if s.set == nil {
		s.set = m
	}
	s.lastMap = m
}

func (s *script) event(w []string) planner.Event {
	switch w[0] {
	case "tick":
		return &planner.Tick{}
	case "gone":
		return &planner.CallerGone{}
	case "adopt":
		return planner.NewSetChanged(s.lastMap)
	case "refuse":
		return planner.NewPartRefused(parseNumber(s.t, w[1]), tier.RefuseReason(w[2]), 40)
	case "fail":
		return planner.NewPartFailed(parseNumber(s.t, w[1]), tier.MissReason(w[2]))
	case "reply":
		return s.reply(w[1:])
	}
	s.t.Fatalf("unknown command %q", w[0])
	return nil
}

func (s *script) reply(w []string) planner.Event {
	at := parseSnapshot(s.t, w[1])
	var results []merger.ShardResult
	var held []planner.HeldVersions
	for i, word := range w[3:] {
		if word == "held" {
			held = parseHeld(s.t, w[3+i+1:])
			break
		}
		results = append(results, s.served.result(at, word))
	}
	return planner.NewPartReplied(parseNumber(s.t, w[0]), at, results, held, int(parseNumber(s.t, w[2])))
}

func (s *script) step(e planner.Event) {
	if s.plan == nil {
		s.plan = planner.New(s.now, "a", s.profile, s.set, s.view, s.profile.Deadline())
	}
	for _, a := range s.plan.Step(s.now, e) {
		fmt.Fprintln(&s.out, "  >", describe(a))
		if f, ok := a.(*planner.Finish); ok {
			if err := s.served.check(f.Outcome()); err != nil {
				s.t.Error(err)
			}
		}
	}
	if at, more := s.plan.Next(); more && at < s.profile.Deadline()-2 {
		fmt.Fprintf(&s.out, "  next tick at %d\n", at)
	}
	if c := s.plan.Counters(); c.Dropped()+c.Rejected() > 0 {
		fmt.Fprintf(&s.out, "  dropped %d, rejected %d\n", c.Dropped(), c.Rejected())
	}
}

func describe(a planner.Action) string {
	switch a := a.(type) {
	case *planner.SendPart:
		return fmt.Sprintf("send %d to %s at %s until %d: %s", a.Part(), a.DataCentre(), a.Snapshot(), a.Deadline(), strings.Join(a.Shards(), " "))
	case *planner.CancelPart:
		return fmt.Sprintf("cancel %d", a.Part())
	case *planner.Finish:
		return describeOutcome(a.Outcome())
	}
	return "?"
}

func describeOutcome(o tier.Outcome) string {
	switch o := o.(type) {
	case *tier.Answered:
		return fmt.Sprintf("answered at %s, %d records%s", o.Snapshot(), len(o.Records()), describeCoverage(o.Coverage()))
	case *tier.Refused:
		return fmt.Sprintf("refused: %s", o.Reason())
	case *tier.Unknown:
		at, c, ok := o.Partial()
		if !ok {
			return fmt.Sprintf("unknown: %s", o.Reason())
		}
		return fmt.Sprintf("unknown: %s at %s%s", o.Reason(), at, describeCoverage(c))
	}
	return "?"
}

func describeCoverage(c tier.Coverage) string {
	s := fmt.Sprintf(", covers [%s]", strings.Join(c.Covered(), " "))
	for _, m := range c.Missing() {
		s += fmt.Sprintf(", %s missing: %s", m.Shard(), m.Reason())
	}
	return s
}
