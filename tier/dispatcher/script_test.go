package dispatcher

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"cicadagrade.example/tier"
)

// TestScripts runs each testdata/*.script, a sequence of timed events, and compares the
// actions with its golden file.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".script")
		t.Run(name, func(t *testing.T) {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name, []byte(newScript(t).run(string(b))))
		})
	}
}

// script runs a test script. The lines before "start" define the shard set and the
// profiles. Those after it are events, each preceded by its time in milliseconds.
type script struct {
	t        *testing.T
	servers  []tier.Backend
	shards   []string
	profiles map[string]*tier.Profile
	options  []tier.ShardSetOption
	d        *Dispatcher
	out      strings.Builder
}

func newScript(t *testing.T) *script { return &script{t: t, profiles: map[string]*tier.Profile{}} }

func (s *script) run(text string) string {
	for _, line := range strings.Split(text, "\n") {
		fmt.Fprintln(&s.out, line)
		f := strings.Fields(line)
		switch {
		case len(f) == 0 || f[0] == "#":
		case s.d == nil:
			s.configure(f)
		default:
			s.event(f)
		}
	}
	return s.out.String()
}

func (s *script) configure(f []string) {
	switch f[0] {
	case "server":
		dataCentre := "here"
		if len(f) > 3 {
			dataCentre = f[3]
		}
		s.servers = append(s.servers, tier.NewBackend(f[1], "127.0.0.1:1", dataCentre, tier.WithSlots(s.number(f[2]))))
	case "shard":
		s.shards = append(s.shards, strings.Join(f[1:], " "))
	case "profile":
		s.profiles[f[1]] = s.profile(f)
	case "floors":
		s.options = append(s.options, tier.WithFloors(s.fraction(f[1]), s.fraction(f[2])))
	case "cold-ramp":
		s.options = append(s.options, tier.WithColdRamp(tier.Millis(s.number(f[1]))))
	case "start":
		s.d = New(s.set(1), "here", WithTakeoverDelay(tier.Millis(s.number(f[1]))))
	default:
		s.t.Fatalf("unknown line %v", f)
	}
}

func (s *script) profile(f []string) *tier.Profile {
	rank, err := tier.ParseRank(f[2])
	if err != nil {
		s.t.Fatal(err)
	}
	p, err := tier.NewProfile(f[1], tier.WithRank(rank), tier.WithImposedWait(tier.Millis(s.number(f[3]))),
		tier.WithQueueLimit(s.number(f[4])), tier.WithHedge(f[5] == "hedge"))
	if err != nil {
		s.t.Fatal(err)
	}
	return p
}

func (s *script) set(e tier.Epoch) *tier.ShardSet {
	var shards []tier.Shard
	step := uint64(math.MaxUint64) / uint64(len(s.shards))
	for i, line := range s.shards {
		f := strings.Fields(line)
		to := uint64(i+1)*step - 1
		if i == len(s.shards)-1 {
			to = math.MaxUint64
		}
		shards = append(shards, tier.NewShard(f[0], uint64(i)*step, to, f[1:]...))
	}
	opts := append(s.options, tier.WithEpoch(e), tier.WithServers(s.servers...), tier.WithShards(shards...))
	set, err := tier.NewShardSet("portao", opts...)
	if err != nil {
		s.t.Fatal(err)
	}
	return set
}

func (s *script) event(f []string) {
	now := tier.Millis(s.number(f[0]))
	switch f[1] {
	case "ticks":
		s.ticks(now)
		return
	case "train":
		s.train(now, f[2:])
		return
	case "status":
		s.status()
		return
	}
	s.print(s.d.Step(now, s.parse(f[1], f[2:])))
}

// train runs a number of parts of a profile on one shard, one after the other, with calls
// of the same latency.
func (s *script) train(now tier.Millis, f []string) {
	took := tier.Millis(s.number(f[3]))
	for i := range s.number(f[0]) {
		at := now + tier.Millis(i)*took
		s.d.Step(at, NewSubmit(uint64(i+1), s.profiles[f[1]], at+tier.Hour, f[2:3]))
		s.d.Step(at+took, NewCallEnded(s.d.attempts, &ReplyOK{}))
	}
}

func (s *script) status() {
	v := s.d.Status()
	c := v.Counters()
	fmt.Fprintf(&s.out, "    queued %v, calls %d, extra %d, accepted %d, done %d, late %d, refused %v\n",
		v.queued, c.Calls(), c.ExtraCalls(), c.Accepted(), c.Done(), c.Expired(), c.refused)
	for _, r := range tier.Ranks {
		fmt.Fprintf(&s.out, "    %s admit fraction %.2f\n", r, v.Threshold().Fraction(r))
	}
}

// ticks sends every Tick that is due until a time.
func (s *script) ticks(until tier.Millis) {
	for {
		at, ok := s.d.NextTick()
		if !ok || at > until {
			return
		}
		if actions := s.d.Step(at, &Tick{}); len(actions) > 0 {
			fmt.Fprintf(&s.out, "  %d\n", at)
			s.print(actions)
		}
	}
}

func (s *script) parse(kind string, f []string) Event {
	switch kind {
	case "submit": // part profile deadline shards [once] [snapshot]
		var opts []SubmitOption
		if len(f) > 4 && f[4] == "once" {
			opts = append(opts, NonIdempotent())
		} else if len(f) > 4 {
			opts = append(opts, WithSnapshot(tier.NewSnapshot(1, tier.Version(s.number(f[4])))))
		}
		return NewSubmit(uint64(s.number(f[0])), s.profiles[f[1]], tier.Millis(s.number(f[2])), strings.Split(f[3], ","), opts...)
	case "reply": // attempt result
		return NewCallEnded(uint64(s.number(f[0])), results[f[1]])
	case "cancel": // part
		return NewCancelled(uint64(s.number(f[0])))
	case "backend": // server state
		return NewBackendChanged(f[0], states[f[1]])
	case "holding": // server shard version
		return NewHoldingChanged(f[0], f[1], 1, []tier.Version{tier.Version(s.number(f[2]))})
	case "share": // owners index
		return NewShareChanged(s.number(f[0]), s.number(f[1]))
	case "standby":
		return &Standby{}
	case "unmap": // shard
		s.shards = s.shards[:len(s.shards)-1]
		return NewSetChanged(s.set(2))
	}
	s.t.Fatalf("unknown event %s", kind)
	return nil
}

var results = map[string]Result{
	"ok": &ReplyOK{}, "failed": &ReplyFailed{}, "bad": &ReplyRejected{},
	"shed": NewReplyNotRun(NotRunShed), "leaving": NewReplyNotRun(NotRunLeaving),
	"wrong-snapshot": NewReplyNotRun(NotRunWrongSnapshot),
}

var states = map[string]tier.BackendState{
	"live": tier.BackendLive, "cold": tier.BackendCold, "shedding": tier.BackendShedding,
	"leaving": tier.BackendLeaving, "lost": tier.BackendLost,
}

func (s *script) print(actions []Action) {
	for _, a := range actions {
		fmt.Fprintf(&s.out, "    %s\n", describe(a))
	}
}

func describe(a Action) string {
	switch a := a.(type) {
	case *Call:
		return fmt.Sprintf("call %d part=%d shard=%s server=%s snapshot=%s deadline=%d", a.attempt, a.part, a.shard, a.server, a.snapshot, a.deadline)
	case *CancelCall:
		return fmt.Sprintf("cancel-call %d", a.attempt)
	case *PartDone:
		return fmt.Sprintf("done %d winners=%v misses=%v calls=%d extra=%d", a.part, a.winners, a.misses, a.calls, a.extraCalls)
	case *PartRefused:
		return fmt.Sprintf("refused %d reason=%s retry-after=%d", a.part, a.reason, a.retryAfter)
	case *PartUnknown:
		return fmt.Sprintf("unknown %d reason=%s", a.part, a.reason)
	}
	return "?"
}

func (s *script) number(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *script) fraction(text string) float64 {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return f
}
