package accountant

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

const (
	regions       = 3
	nearRoundTrip = 2 * tier.Millisecond
	farRoundTrip  = 40 * tier.Millisecond
	suspicion     = 800 * tier.Millisecond // from a failed report to the next trial, twice as long after each
	maxSuspicion  = 6400 * tier.Millisecond
	fetchInterval = 300 * tier.Millisecond
	watchers      = 3
	retryGap      = 350 * tier.Millisecond // at which large VMs probe each other
)

// vm is one VM of a simulated fleet.
type vm struct {
	name     string
	index    int
	reporter *Reporter
	ledger   *Ledger
	large    bool
	dead     bool
	pausedTo tier.Millis
	side     int  // VMs of different sides don't reach each other
	mute     bool // others get no replies of it
	suspects map[int]tier.Millis
	silent   map[int]silence // VMs that have not answered a report
	since    tier.Millis
	quota    Quota
	nextDue  tier.Millis
	messages int
	news     *News
	fetchAt  tier.Millis
}

// silence is that of a VM which gets no reports until a time.
type silence struct{ until, pause tier.Millis }

// message is on its way.
type message struct {
	at tier.Millis
	do func()
}

// fleet simulates VMs with the real state machines, one organisation and a network.
type fleet struct {
	now      tier.Millis
	random   *rand.Rand
	bound    Bound
	vms      []*vm
	large    []*vm
	queue    []message
	admitted []tier.Millis // times
	refused  []tier.Millis
	// belowCap counts refusals while a bucket that knows everything at once had room, and ideal
	// is its level.
	belowCap int
	ideal    float64
	idealAt  tier.Millis
	starts   uint64
}

func newFleet(vms, large int, q Quota, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), bound: NewBound(5*tier.Second, 0.1, 20)}
	for i := range vms {
		v := &vm{name: fmt.Sprint("vm-", i), index: i, large: i < large, quota: q}
		f.vms = append(f.vms, v)
		if v.large {
			f.large = append(f.large, v)
		}
		f.start(v)
		v.fetchAt = tier.Millis(f.random.IntN(int(fetchInterval)))
	}
	f.ideal = max(1, q.burst)
	return f
}

// start starts a VM that knows nothing.
func (f *fleet) start(v *vm) {
	f.starts++
	v.dead, v.nextDue, v.since, v.suspects = false, 0, f.now, map[int]tier.Millis{}
	v.silent = map[int]silence{}
	v.reporter = NewReporter(v.name, f.starts, f.now, f.bound)
	v.reporter.SetVMs(len(f.vms))
	v.ledger, v.news = NewLedger(v.name, f.bound), NewNews()
}

func (f *fleet) after(d tier.Millis, do func()) {
	m := message{f.now + d, do}
	at, _ := slices.BinarySearchFunc(f.queue, m, func(a, b message) int { return cmp.Or(cmp.Compare(a.at, b.at), -1) })
	f.queue = slices.Insert(f.queue, at, m)
}

func (f *fleet) oneWay(a, b *vm) tier.Millis {
	if a.index%regions == b.index%regions {
		return nearRoundTrip / 2
	}
	return farRoundTrip / 2
}

func (f *fleet) reaches(a, b *vm) bool {
	return !a.dead && !b.dead && a.side == b.side && f.now >= a.pausedTo && f.now >= b.pausedTo
}

// accountantOf is the first large VM by hash that a VM doesn't suspect.
func (f *fleet) accountantOf(v *vm) func(string) (string, bool) {
	return func(organisation string) (string, bool) {
		best, score := "", uint64(0)
		for _, m := range f.large {
			if f.suspects(v, m) {
				continue
			}
			if s := picker.Score("account", organisation, m.name); best == "" || s > score {
				best, score = m.name, s
			}
		}
		return best, best != ""
	}
}

func (f *fleet) suspects(v, other *vm) bool {
	return f.now < v.suspects[other.index] || f.now < v.silent[other.index].until
}

func (f *fleet) part(v *vm) float64 {
	sound := 0
	for _, m := range f.large {
		if !f.suspects(v, m) {
			sound++
		}
	}
	return float64(sound) / float64(len(f.large))
}

func (f *fleet) terms(v *vm) Terms {
	return NewTerms(func(string) (Quota, bool) { return v.quota, true }, v.since, f.part(v),
		func(organisation string) (Level, bool) { return v.reporter.Last(f.now, organisation) }).
		PassedOn(func(u Usage, repeated bool) (Level, bool) {
			if name, ok := f.accountantOf(v)(u.Organisation()); !ok || name == v.name {
				return Level{}, false
			}
			return v.reporter.Forward(f.now, u, v.quota, repeated)
		}).
		Beside(func(organisation string) (int, float64) { return v.news.Rivals(f.now, organisation, v.name) })
}

func (f *fleet) byName(name string) *vm {
	return f.vms[slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == name })]
}

// request brings a request to a VM.
func (f *fleet) request(v *vm) {
	if v.dead || f.now < v.pausedTo {
		return
	}
	capacity := max(1, v.quota.burst)
	f.ideal = min(capacity, f.ideal+v.quota.refill(f.now-f.idealAt))
	f.idealAt = f.now
	if v.reporter.Admit(f.now, "o", v.quota, f.random.Float64()).Admitted() {
		f.admitted = append(f.admitted, f.now)
		f.ideal--
	} else {
		f.refused = append(f.refused, f.now)
		if f.ideal >= 1 {
			f.belowCap++
		}
	}
	f.report(v)
}

// report sends what is due.
func (f *fleet) report(v *vm) {
	if v.dead || f.now < v.pausedTo {
		return
	}
	due, next := v.reporter.TakeDue(f.now, f.accountantOf(v))
	v.nextDue = next
	for _, r := range due {
		v.messages++
		f.send(v, f.byName(r.To()), r)
	}
}

func (f *fleet) send(v, to *vm, r Report) {
	reporter, answered := v.reporter, false
	fail := func() {
		if answered || v.reporter != reporter || v.dead {
			return
		}
		answered = true
		pause := min(max(suspicion, 2*v.silent[to.index].pause), maxSuspicion)
		v.silent[to.index] = silence{until: f.now + pause, pause: pause}
		v.since = f.now
		reporter.Failed(f.now, r, f.accountantOf(v))
		f.report(v)
	}
	f.after(ReportTimeout, fail)
	f.after(f.oneWay(v, to), func() {
		if to.dead && to.side == v.side {
			f.after(f.oneWay(v, to), fail) // the connection is rejected
		}
		if !f.reaches(v, to) {
			return
		}
		levels := to.ledger.Report(f.now, r, f.terms(to))
		f.report(to) // what it passes on
		f.after(f.oneWay(v, to), func() {
			if answered || v.reporter != reporter || !f.reaches(v, to) || to.mute && to != v {
				return
			}
			answered = true
			delete(v.silent, to.index)
			reporter.Answered(f.now, r, levels)
			f.report(v)
		})
	})
}

// run lets time pass. rate is the number of requests a second, spread over VMs by pick.
func (f *fleet) run(d tier.Millis, rate float64, pick func() *vm) {
	for end := f.now + d; f.now < end; f.now++ {
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			m := f.queue[0]
			f.queue = f.queue[1:]
			m.do()
		}
		for n := f.random.ExpFloat64() * 1000; n < rate; n += f.random.ExpFloat64() * 1000 {
			f.request(pick())
		}
		for _, v := range f.vms {
			if v.nextDue != 0 && f.now >= v.nextDue {
				f.report(v)
			}
		}
		for _, v := range f.vms {
			if f.now >= v.fetchAt {
				v.fetchAt = f.now + fetchInterval
				f.fetch(v)
			}
		}
		if f.now%retryGap == 0 {
			f.probe()
		}
	}
}

// hot lists the hot organisations that a VM knows.
func (f *fleet) hot(v *vm) []Level {
	v.news.Hear(f.now, v.ledger.Hot(f.now, f.terms(v)))
	return v.news.Levels(f.now, 5*tier.Second)
}

// fetch lets a VM copy the view of another one: large VMs that of one of three watchers, the
// others that of a large VM of their region. News of hot organisations go both ways.
func (f *fleet) fetch(v *vm) {
	from := f.large[f.random.IntN(min(watchers, len(f.large)))]
	switch {
	case v.large && v.index < watchers:
		from = f.large[0]
	case !v.large:
		near := slices.DeleteFunc(slices.Clone(f.large), func(m *vm) bool { return m.index%regions != v.index%regions })
		from = near[f.random.IntN(len(near))]
	}
	if from == v || !f.reaches(v, from) || v.dead {
		return
	}
	sent := f.hot(v)
	f.after(f.oneWay(v, from), func() {
		if !f.reaches(v, from) {
			return
		}
		if v.large {
			f.hear(from, sent)
		}
		if from.mute {
			return
		}
		got := f.hot(from)
		f.after(f.oneWay(v, from), func() {
			if f.reaches(v, from) {
				f.hear(v, got)
			}
		})
	})
}

// hear records what a VM gets from another one.
func (f *fleet) hear(v *vm, levels []Level) {
	aged := make([]Level, len(levels))
	for i, l := range levels {
		aged[i] = NewLevel(l.organisation, l.tokens, l.vms, l.demand, l.age+farRoundTrip/2).KeptBy(l.keeper)
	}
	v.reporter.Heard(f.now, v.news.Hear(f.now, aged), func(string) (Quota, bool) { return v.quota, true })
}

// probe lets the large VMs notice which of them they don't reach.
func (f *fleet) probe() {
	for _, a := range f.large {
		if a.dead || f.now < a.pausedTo {
			continue
		}
		for _, b := range f.large {
			until, suspected := a.suspects[b.index]
			suspected = suspected && f.now < until
			reached := a == b || f.reaches(a, b) && !b.mute
			if reached == suspected {
				a.since = f.now
			}
			if reached {
				delete(a.suspects, b.index)
			} else {
				a.suspects[b.index] = f.now + suspicion
			}
		}
	}
}

// anyVM picks a VM at random.
func (f *fleet) anyVM() *vm { return f.vms[f.random.IntN(len(f.vms))] }

// worst is the largest number of requests that were admitted within a window.
func (f *fleet) worst() int {
	sort.Slice(f.admitted, func(i, j int) bool { return f.admitted[i] < f.admitted[j] })
	worst, first := 0, 0
	for i, at := range f.admitted {
		for at-f.admitted[first] >= 5*tier.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}
