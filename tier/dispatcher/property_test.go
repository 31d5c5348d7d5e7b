package dispatcher

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/hedger"
	"cicadagrade.example/tier/limiter"
)

func testSet(servers, shards, slots int, opts ...tier.ShardSetOption) *tier.ShardSet {
	var backends []tier.Backend
	for i := range servers {
		backends = append(backends, tier.NewBackend(fmt.Sprintf("v%d", i), "127.0.0.1:1", "here", tier.WithSlots(slots)))
	}
	var parts []tier.Shard
	step := math.MaxUint64 / uint64(shards)
	for i := range shards {
		to := uint64(i+1)*step - 1
		if i == shards-1 {
			to = math.MaxUint64
		}
		replicas := []string{backends[i%servers].Name()}
		if servers > 1 {
			replicas = append(replicas, backends[(i+1)%servers].Name())
		}
		parts = append(parts, tier.NewShard(fmt.Sprintf("s%d", i), uint64(i)*step, to, replicas...))
	}
	set, err := tier.NewShardSet("portao", append(opts, tier.WithServers(backends...), tier.WithShards(parts...))...)
	if err != nil {
		panic(err)
	}
	return set
}

func testProfile(name string, r tier.Rank, opts ...tier.ProfileOption) *tier.Profile {
	p, err := tier.NewProfile(name, append([]tier.ProfileOption{tier.WithRank(r)}, opts...)...)
	if err != nil {
		panic(err)
	}
	return p
}

var testProfiles = []*tier.Profile{
	testProfile("gate", tier.Urgent, tier.WithQueueLimit(8), tier.WithImposedWait(40)),
	testProfile("desk", tier.Daily, tier.WithQueueLimit(8), tier.WithImposedWait(20)),
	testProfile("fees", tier.Reports, tier.WithQueueLimit(8), tier.WithImposedWait(10)),
}

// history drives a dispatcher with random events under a monitor. The tamper
// function, when there is one, breaks the dispatcher after each Step.
type history struct {
	d      *Dispatcher
	m      *monitor
	now    tier.Millis
	parts  uint64
	tamper func(*Dispatcher)
}

func newHistory(seed uint64, share shareOf, tamper func(*Dispatcher)) *history {
	set := testSet(4, 6, 2+int(seed%3))
	d := New(set, "here", WithSeed(seed), WithTakeoverDelay(0), WithShare(share.owners, share.index))
	return &history{d: d, m: newMonitor(set, share), tamper: tamper}
}

func (h *history) step(e Event) {
	h.m.before(e)
	h.m.after(h.now, h.d.Step(h.now, e))
	if h.tamper != nil {
		h.tamper(h.d)
	}
}

func (h *history) advance(span tier.Millis) {
	end := h.now + span
	for {
		at, ok := h.d.NextTick()
		if !ok || at > end {
			break
		}
		h.now = max(h.now, at)
		h.step(&Tick{})
	}
	h.now = end
}

// run takes numbers from pick, each from 0 to below its argument.
func (h *history) run(steps int, pick func(int) int) {
	for range steps {
		switch k := pick(22); {
		case k < 7:
			h.submit(pick)
		case k < 14:
			h.reply(pick)
		case k < 17:
			h.advance(tier.Millis(pick(30)))
		case k == 17 && h.parts > 0:
			h.step(NewCancelled(uint64(pick(int(h.parts))) + 1))
		case k == 18:
			h.step(NewBackendChanged(h.server(pick), tier.BackendState(pick(6))))
		case k == 19:
			held := []tier.Version{tier.Version(1 + pick(2)), tier.Version(1 + pick(3))}
			h.step(NewHoldingChanged(h.server(pick), fmt.Sprintf("s%d", pick(6)), 1, held))
		case k == 20:
			h.step(NewSetChanged(testSet(4-pick(2), 6-pick(3), 2+pick(2))))
		case k == 21:
			h.step(NewShareChanged(1+pick(2), 0))
		}
	}
	h.step(&Standby{})
	h.submit(pick)
	h.drain()
}

func (h *history) server(pick func(int) int) string { return fmt.Sprintf("v%d", pick(4)) }

func (h *history) submit(pick func(int) int) {
	h.parts++
	var opts []SubmitOption
	shards := []string{"s0", "s1", "s2", "s3", "s4", "s5"}
	if pick(4) == 0 {
		opts = append(opts, NonIdempotent())
		shards = shards[pick(6):][:1]
	} else if pick(2) == 0 {
		opts = append(opts, WithSnapshot(tier.NewSnapshot(1, tier.Version(1+pick(2)))))
	}
	deadline := h.now + 20 + tier.Millis(pick(400))
	h.step(NewSubmit(h.parts, testProfiles[pick(3)], deadline, shards, opts...))
}

func (h *history) reply(pick func(int) int) {
	attempts := h.outstanding()
	if len(attempts) == 0 {
		return
	}
	all := []Result{
		&ReplyOK{}, &ReplyOK{}, &ReplyOK{}, &ReplyOK{}, &ReplyOK{}, &ReplyOK{}, &ReplyFailed{}, &ReplyRejected{},
		NewReplyNotRun(NotRunShed), NewReplyNotRun(NotRunWrongSnapshot), NewReplyNotRun(NotRunLeaving),
	}
	h.step(NewCallEnded(attempts[pick(len(attempts))], all[pick(len(all))]))
}

func (h *history) outstanding() []uint64 {
	var out []uint64
	for a := range h.m.calls {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// drain lets every deadline pass and every call end.
func (h *history) drain() {
	for range 3 {
		h.advance(1000)
		for _, a := range h.outstanding() {
			h.step(NewCallEnded(a, &ReplyOK{}))
		}
	}
	h.m.finish(h.d)
}

// TestMain fixes the seed of the property tests, unless a flag gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("5"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestPromisesHoldInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<32).Draw(t, "seed")
		owners := rapid.IntRange(1, 2).Draw(t, "owners")
		h := newHistory(seed, shareOf{owners: owners, index: owners - 1}, nil)
		h.run(300, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		if len(h.m.problems) > 0 {
			t.Fatalf("%s", strings.Join(h.m.problems, "\n"))
		}
	})
}

// TestMonitorObjects breaks one mechanism at a time and expects the monitor
// to name it.
func TestMonitorObjects(t *testing.T) {
	type broken struct {
		name   string
		tamper func(*Dispatcher)
		want   string
	}
	for _, b := range []broken{
		{"slots", func(d *Dispatcher) {
			for _, s := range d.servers {
				s.backend = tier.NewBackend(s.backend.Name(), "127.0.0.1:1", "here", tier.WithSlots(9))
				s.limiter = limiter.New(9, d.random)
			}
		}, "slots of"},
		{"hedge of a booking", func(d *Dispatcher) {
			for _, p := range d.parts {
				p.repeatable = true
			}
		}, "that may run once"},
		{"forgotten part", func(d *Dispatcher) {
			for _, p := range d.parts {
				p.ended = true
			}
		}, "ended 0 times"},
		{"lost deadline", func(d *Dispatcher) {
			d.timers = timerHeap{}
			for _, p := range d.parts {
				p.deadline += 100
			}
		}, ", deadline "},
		{"budget", func(d *Dispatcher) { d.hedger = hedger.New(0.5, 0.25) }, "extra calls for"},
		{"leaving server", func(d *Dispatcher) {
			for _, s := range d.servers {
				s.state = tier.BackendLive
			}
		}, "that is l"},
		{"refusal after a call", func(d *Dispatcher) {
			for _, p := range d.parts {
				p.calls = 0
			}
		}, "refused after"},
		{"reports share", func(d *Dispatcher) {
			for _, s := range d.servers {
				s.byRank[tier.Reports] = 0
			}
		}, "reports calls on"},
		{"two ends", func(d *Dispatcher) {
			for _, c := range d.calls {
				c.cancelled, c.task.done, c.task.part.open = false, false, 1
			}
		}, "ended 2 times"},
	} {
		t.Run(b.name, func(t *testing.T) {
			if !objects(b.tamper, b.want) {
				t.Fatalf("the monitor never said %q", b.want)
			}
		})
	}
}

func objects(tamper func(*Dispatcher), want string) bool {
	for seed := uint64(1); seed <= 50; seed++ {
		random := rand.New(rand.NewPCG(seed, seed))
		h := newHistory(seed, shareOf{owners: 1}, tamper)
		h.run(400, random.IntN)
		if strings.Contains(strings.Join(h.m.problems, "\n"), want) {
			return true
		}
	}
	return false
}
