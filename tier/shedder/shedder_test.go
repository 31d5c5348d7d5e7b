package shedder

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"cicadagrade.example/tier"
)

// processor is a VM with one processor. Its scheduler serves goroutines that others have woken
// first, and one of those that wait for the network after 61 of them.
type processor struct {
	now     tier.Millis
	micros  int64 // of now
	local   []func()
	network []func()
	turns   int
	timers  timers
	random  *rand.Rand
	shedder *Shedder // nil: takes all requests

	taken, refused int
	readBegan      tier.Millis
	longestRead    tier.Millis
}

type timer struct {
	at  tier.Millis
	run func()
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func (p *processor) after(d tier.Millis, run func()) { heap.Push(&p.timers, timer{p.now + d, run}) }

// run plays until a time. Each turn takes turnMicros.
func (p *processor) run(until tier.Millis) {
	const turnMicros, networkTurn = 150, 61
	for p.now < until {
		for len(p.timers) > 0 && p.timers[0].at <= p.now {
			heap.Pop(&p.timers).(timer).run()
		}
		list := &p.local
		if len(p.local) == 0 || p.turns%networkTurn == 0 && len(p.network) > 0 {
			list = &p.network
		}
		if len(*list) == 0 {
			p.micros = (int64(p.now) + 1) * 1000
		} else {
			goroutine := (*list)[0]
			*list = (*list)[1:]
			p.turns++
			p.micros += turnMicros
			p.now = tier.Millis(p.micros / 1000)
			goroutine()
		}
		p.now = tier.Millis(p.micros / 1000)
	}
}

// request is one of a caller, with a call to each of 20 leafs: two turns for the call and one for the
// reply, which comes from the network.
func (p *processor) request(id string) {
	if p.shedder != nil && !Admits(p.shedder.Level(p.now), 1, id) {
		p.refused++
		return
	}
	p.taken++
	for range 20 {
		p.local = append(p.local, func() {
			p.local = append(p.local, func() {
				p.after(8, func() { p.network = append(p.network, func() {}) })
			})
		})
	}
}

// load sends requests at a rate, each of which has to be read from the network.
func (p *processor) load(perSecond float64) {
	pause := tier.Millis(p.random.ExpFloat64() * 1000 / perSecond)
	p.after(pause, func() {
		id := fmt.Sprint(p.random.Uint64())
		p.network = append(p.network, func() { p.request(id) })
		p.load(perSecond)
	})
}

// readStore reads the store every 450 ms: three turns, two of them after the network.
func (p *processor) readStore() {
	p.readBegan = p.now
	p.local = append(p.local, func() {
		p.after(4, func() {
			p.network = append(p.network, func() {
				p.network = append(p.network, func() {
					p.longestRead = max(p.longestRead, p.now-p.readBegan)
					p.after(450, p.readStore)
				})
			})
		})
	})
}

func (p *processor) sample() {
	p.after(20, func() {
		p.shedder.Waiting(p.now)
		p.network = append(p.network, func() {
			p.shedder.Waited(p.now)
			p.sample()
		})
	})
}

// TestReadsStayTimelyUnderOverload guards against a VM whose reads of the store get no turn while
// callers ask for several times of what it can do, so that it serves by an old configuration.
func TestReadsStayTimelyUnderOverload(t *testing.T) {
	const mayTake = 900 * tier.Millisecond // the limit of a read
	for _, perSecond := range []float64{50, 200, 400, 800} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(perSecond, "-a-second-", seed), func(t *testing.T) {
				p := &processor{random: rand.New(rand.NewPCG(seed, 1)), shedder: New()}
				p.load(perSecond)
				p.readStore()
				p.sample()
				p.run(20 * tier.Second)
				if p.now-p.readBegan > mayTake {
					p.longestRead = p.now - p.readBegan
				}
				if p.longestRead > mayTake {
					t.Errorf("a read took %d ms, its limit is %d", p.longestRead, mayTake)
				}
				// The processor can do 107 requests a second.
				const canDo = 1e6 / (62 * 150)
				want := 0.6 * min(perSecond, canDo) * 20
				if float64(p.taken) < want {
					t.Errorf("%d requests were taken, at least %.0f could have been", p.taken, want)
				}
			})
		}
	}
}

// TestReadsStarveWithoutShedding shows that the model of the test above has the fault.
func TestReadsStarveWithoutShedding(t *testing.T) {
	p := &processor{random: rand.New(rand.NewPCG(1, 1))}
	p.load(200)
	p.readStore()
	p.run(20 * tier.Second)
	if worst := max(p.longestRead, p.now-p.readBegan); worst < 4*tier.Second {
		t.Errorf("the longest read took %d ms, expected more than 4 s", worst)
	}
}

// TestLevels guards against one long wait that goes unnoticed until it ends, against a level that
// falls in bursts that leave no standing queue, and against one that stays low afterwards.
func TestLevels(t *testing.T) {
	s := New()
	at := func(now tier.Millis, waited ...tier.Millis) tier.Millis {
		for _, w := range waited {
			s.Waiting(now)
			s.Waited(now + w)
			now += max(w, 20)
		}
		return now
	}
	now := at(1000, 0, 90, 0, 0, 60, 0, 80, 0, 0, 70, 0, 0)
	if l := s.Level(now); l != 1 {
		t.Errorf("the level is %.2f after bursts, expected 1", l)
	}
	s.Waiting(now)
	if l := s.Level(now + 99); l != 1 {
		t.Errorf("the level is %.2f during a wait of 99 ms, expected 1", l)
	}
	if l := s.Level(now + 500); l > 0.2 {
		t.Errorf("the level is %.2f during a wait of 500 ms, expected 0.2 at most", l)
	}
	s.Waited(now + 500)
	if l := s.Level(now + 500); l > 0.2 {
		t.Errorf("the level is %.2f after a wait of 500 ms, expected 0.2 at most", l)
	}
	now += 500
	for range 150 {
		now = at(now, 0)
	}
	if l := s.Level(now); l != 1 {
		t.Errorf("the level is %.2f after 3 s without waits, expected 1", l)
	}
}

// TestAdmits guards against VMs that refuse different requests at the same level, and against one
// that refuses more of the urgent requests than of others.
func TestAdmits(t *testing.T) {
	counts := [2]int{}
	for i := range 10_000 {
		id := fmt.Sprint("attempt-", i)
		for rank := range counts {
			low, high := Admits(0.25, rank, id), Admits(0.3, rank, id)
			if low && !high {
				t.Fatalf("%s of rank %d is admitted at 0.25 and not at 0.3", id, rank)
			}
			if low {
				counts[rank]++
			}
		}
	}
	if counts[0] < 4800 || counts[0] > 5200 || counts[1] < 2350 || counts[1] > 2650 {
		t.Errorf("of 10,000 requests %d of rank 0 and %d of rank 1 are admitted, expected 5,000 and 2,500", counts[0], counts[1])
	}
}

// TestPeers guards against a VM that never gets a share again, and against one of an earlier build,
// which tells no level, that gets none.
func TestPeers(t *testing.T) {
	p := NewPeers()
	p.Heard(1000, "vm-1", 0)
	p.Heard(1000, "vm-2", 1)
	for _, c := range []struct {
		name string
		now  tier.Millis
		want float64
	}{{"vm-1", 1000, 0.02}, {"vm-1", 2000, 0.42}, {"vm-1", 3500, 1}, {"vm-2", 1000, 1}, {"vm-3", 1000, 1}} {
		if got := p.Level(c.now, c.name); got < c.want-0.001 || got > c.want+0.001 {
			t.Errorf("the level of %s at %d is %.3f, expected %.3f", c.name, c.now, got, c.want)
		}
	}
}

// TestRoom guards against a VM that keeps taking sweeps while most of their parts wait for leafs, and
// against one that refuses some because a few leafs are slow.
func TestRoom(t *testing.T) {
	r, now := NewRoom(), tier.Millis(1000)
	play := func(windows, parts, late int) float64 {
		for range windows {
			for range 5 {
				now += 20
				r.Heard(now, parts/5, late/5)
			}
		}
		return r.Level()
	}
	for _, c := range []struct {
		name                 string
		windows, parts, late int
		least, most          float64
	}{
		{"no requests", 10, 0, 0, 1, 1},
		{"one leaf in twenty pauses", 20, 100, 5, 1, 1},
		{"few parts, all late", 20, 5, 5, 1, 1},
		{"all leafs pause", 2, 500, 400, 1, 1},
		{"and go on", 1, 500, 0, 1, 1},
		{"all leafs are full", 8, 500, 400, 0.3, 0.45},
		{"for long", 50, 500, 400, minLevel, minLevel},
		{"they have room again", 26, 100, 0, 1, 1},
	} {
		if l := play(c.windows, c.parts, c.late); l < c.least-0.001 || l > c.most+0.001 {
			t.Errorf("%s: the level is %.3f, expected %.2f to %.2f", c.name, l, c.least, c.most)
		}
	}
}
