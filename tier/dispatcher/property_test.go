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

// randomRun drives a Dispatcher with random events and checks it with a monitor. The
// optional tamper function breaks the Dispatcher after each Step.
type randomRun struct {
	d      *Dispatcher
	m      *invariantMonitor
	now    tier.Millis
	parts  uint64
	tamper func(*Dispatcher)
}

func newRandomRun(seed uint64, share slotShare, tamper func(*Dispatcher)) *randomRun {
	set := testSet(4, 6, 2+int(seed%3))
	d := New(set, "here", WithSeed(seed), WithTakeoverDelay(0), WithShare(share.owners, share.index))
	return &randomRun{d: d, m: newInvariantMonitor(set, share), tamper: tamper}
}

func (r *randomRun) step(e Event) {
	r.m.observeEvent(e)
	r.m.observeActions(r.now, r.d.Step(r.now, e))
	if r.tamper != nil {
		r.tamper(r.d)
	}
}

func (r *randomRun) advance(span tier.Millis) {
	end := r.now + span
	for {
		at, ok := r.d.NextTick()
		if !ok || at > end {
			break
		}
		r.now = max(r.now, at)
		r.step(&Tick{})
	}
	r.now = end
}

// run sends random events. A call pick(n) returns a random number from 0 to n-1.
func (r *randomRun) run(steps int, pick func(int) int) {
	for range steps {
		switch k := pick(22); {
		case k < 7:
			r.submit(pick)
		case k < 14:
			r.reply(pick)
		case k < 17:
			r.advance(tier.Millis(pick(30)))
		case k == 17 && r.parts > 0:
			r.step(NewCancelled(uint64(pick(int(r.parts))) + 1))
		case k == 18:
			r.step(NewBackendChanged(r.server(pick), tier.BackendState(pick(6))))
		case k == 19:
			held := []tier.Version{tier.Version(1 + pick(2)), tier.Version(1 + pick(3))}
			r.step(NewHoldingChanged(r.server(pick), fmt.Sprintf("s%d", pick(6)), 1, held))
		case k == 20:
			r.step(NewSetChanged(testSet(4-pick(2), 6-pick(3), 2+pick(2))))
		case k == 21:
			r.step(NewShareChanged(1+pick(2), 0))
		}
	}
	r.step(&Standby{})
	r.submit(pick)
	r.drain()
}

func (r *randomRun) server(pick func(int) int) string { return fmt.Sprintf("v%d", pick(4)) }

func (r *randomRun) submit(pick func(int) int) {
	r.parts++
	var opts []SubmitOption
	shards := []string{"s0", "s1", "s2", "s3", "s4", "s5"}
	if pick(4) == 0 {
		opts = append(opts, NonIdempotent())
		shards = shards[pick(6):][:1]
	} else if pick(2) == 0 {
		opts = append(opts, WithSnapshot(tier.NewSnapshot(1, tier.Version(1+pick(2)))))
	}
	deadline := r.now + 20 + tier.Millis(pick(400))
	r.step(NewSubmit(r.parts, testProfiles[pick(3)], deadline, shards, opts...))
}

func (r *randomRun) reply(pick func(int) int) {
	attempts := r.outstanding()
	if len(attempts) == 0 {
		return
	}
	all := []Result{
		&ReplyOK{}, &ReplyOK{}, &ReplyOK{}, &ReplyOK{}, &ReplyOK{}, &ReplyOK{}, &ReplyFailed{}, &ReplyRejected{},
		NewReplyNotRun(NotRunShed), NewReplyNotRun(NotRunWrongSnapshot), NewReplyNotRun(NotRunLeaving),
	}
	r.step(NewCallEnded(attempts[pick(len(attempts))], all[pick(len(all))]))
}

func (r *randomRun) outstanding() []uint64 {
	var out []uint64
	for a := range r.m.calls {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// drain advances the time past every deadline and ends every call.
func (r *randomRun) drain() {
	for range 3 {
		r.advance(1000)
		for _, a := range r.outstanding() {
			r.step(NewCallEnded(a, &ReplyOK{}))
		}
	}
	r.m.checkIdle(r.d)
}

// TestMain sets a fixed seed for the property tests, unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("5"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestInvariantsHoldInRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<32).Draw(t, "seed")
		owners := rapid.IntRange(1, 2).Draw(t, "owners")
		r := newRandomRun(seed, slotShare{owners: owners, index: owners - 1}, nil)
		r.run(300, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		if len(r.m.violations) > 0 {
			t.Fatalf("%s", strings.Join(r.m.violations, "\n"))
		}
	})
}

// TestMonitorDetectsBrokenDispatcher breaks one mechanism at a time and expects the
// monitor to report the violated invariant.
func TestMonitorDetectsBrokenDispatcher(t *testing.T) {
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
		{"hedge of a non-idempotent part", func(d *Dispatcher) {
			for _, p := range d.parts {
				p.idempotent = true
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
				s.runningByRank[tier.Reports] = 0
			}
		}, "reports calls on"},
		{"part ended twice", func(d *Dispatcher) {
			for _, c := range d.calls {
				c.cancelled, c.task.done, c.task.part.openTasks = false, false, 1
			}
		}, "ended 2 times"},
	} {
		t.Run(b.name, func(t *testing.T) {
			if !monitorReports(b.tamper, b.want) {
				t.Fatalf("the monitor never reported %q", b.want)
			}
		})
	}
}

func monitorReports(tamper func(*Dispatcher), want string) bool {
	for seed := uint64(1); seed <= 50; seed++ {
		random := rand.New(rand.NewPCG(seed, seed))
		r := newRandomRun(seed, slotShare{owners: 1}, tamper)
		r.run(400, random.IntN)
		if strings.Contains(strings.Join(r.m.violations, "\n"), want) {
			return true
		}
	}
	return false
}
