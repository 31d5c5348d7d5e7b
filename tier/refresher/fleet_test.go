package refresher

import (
	"bufio"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/partitioner"
)

// TestFleets plays the scripts of testdata in simulated time. They guard against load on the
// store that grows with the VMs, as each reads everything for itself when it starts or when
// the store fails (a thundering herd), and against VMs that can't serve because they alone
// get no answer from the store. The commands of a script:
//
//	fleet LARGE SMALL            VMs in each of six data centres, two a region; all start
//	                             within 400 ms
//	seeds N                      the first large VMs of N data centres are seeds
//	at MS power-loss FOR         all VMs lose power, and start again within 400 ms after FOR
//	at MS kill-first FOR         the VM that polls the store loses power for FOR
//	at MS restart SHARE          that share of the VMs is killed and starts again after 500 ms
//	at MS store-refuses SHARE FOR   the store turns away a share of the VMs
//	at MS store-silent SHARE FOR    the store does not answer a share of the VMs
//	at MS store-slow FACTOR FOR  the store's calls take FACTOR times as long
//	at MS store-silent-first N FOR  the store does not answer the first N relays
//	at MS busy MS FOR            replies of VMs take MS longer
//	at MS leases-lapse           all registrations end
//	at MS links-lost-first N FOR the first N relays decline shares, for which others suspect them
//	at MS store-refuses-linked FOR  the store turns away the VMs that take shares
//	at MS store-refuses-first N FOR the store turns away the first N relays
//	at MS cut-first N FOR        the first N relays and the other VMs don't reach each other
//	at MS freeze-first FOR       the VM that polls the store stands still
//	run MS                       plays until then, and checks that all VMs have a view
//	reset                        forgets the figures so far
//	expect joined-within MS      from each start of a VM until it has a view
//	expect view-age MS           the greatest age of a view that a VM has had
//	expect reader-view-age MS    the same, from the start of a fault on, of the VMs that the store
//	                             answers
//	expect fleet-view-age MS     the same, of all VMs while the store answers any VM
//	expect store-calls N         calls to the store at most; a stale read or a renewal counts
//	                             as a tenth
func TestFleets(t *testing.T) { playFleets(t, "testdata/*.txt") }

// Guards against a VM that handles requests by an old view while other VMs have a newer one.
func TestNewerViewsOfOtherVMsAreCopied(t *testing.T) { playFleets(t, "testdata/newer-views/*.txt") }

func playFleets(t *testing.T, pattern string) {
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			in, err := os.Open(f)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = in.Close() }()
			s := newFleet(t)
			lines := bufio.NewScanner(in)
			for lines.Scan() {
				if words := strings.Fields(lines.Text()); len(words) > 0 && words[0] != "#" {
					s.command(words)
				}
			}
		})
	}
}

// Simulated durations.
const (
	storeCallTime  = 4 * tier.Millisecond
	silentCallTime = 900 * tier.Millisecond
	localCallTime  = 3 * tier.Millisecond
	remoteCallTime = 43 * tier.Millisecond
	deadCallTime   = 150 * tier.Millisecond
	// silentFetchTime is how long a VM waits for one that is cut off or frozen.
	silentFetchTime = 300 * tier.Millisecond
	startSpread     = 400
	leafPages       = 3 // of the list of leafs, read one after the other
	// settleTime is how long after a start or the end of a fault the age of views is not
	// checked.
	settleTime = 2 * tier.Second
)

type vm struct {
	member      partitioner.Member
	seeds       []string
	partitioner *partitioner.Partitioner
	refresher   *Refresher
	generation  int // of the process
	turn        int // of its loop
	up          bool
	startedAt   tier.Millis
	joinedAt    tier.Millis // or -1
	viewAt      tier.Millis // when the store had this view, as far as the VM knows
	storeAt     tier.Millis // when the store had this view
	members     []partitioner.Member
	storeFault  string // "", refuses or silent
	declines    bool   // shares
	cut         bool   // from the VMs that are not
	frozen      bool
	touchedAt   tier.Millis // since when it has been in touch
	registered  bool
}

type fleet struct {
	t          *testing.T
	random     *rand.Rand
	now        tier.Millis
	queue      events
	sequence   int
	order      []partitioner.Member // the relays before the first fault
	vms        []*vm
	byName     map[string]*vm
	registered map[string]partitioner.Member
	calls      float64
	slowest    tier.Millis // join
	oldest     tier.Millis // view
	calmAt     tier.Millis // end of the last fault
	faults     int
	slowness   tier.Millis // of the store
	replyDelay tier.Millis // of VMs that are busy
	readersAge tier.Millis // view of a VM that the store answers
	fleetAge   tier.Millis // view of any VM while the store answers some VM
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, random: rand.New(rand.NewPCG(7, 11)), slowness: 1, byName: map[string]*vm{}, registered: map[string]partitioner.Member{}}
}

func (s *fleet) after(d tier.Millis, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now + d, sequence: s.sequence, run: run})
}

func (s *fleet) number(word string) float64 {
	n, err := strconv.ParseFloat(word, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *fleet) command(words []string) {
	number := func(i int) float64 { return s.number(words[i]) }
	switch words[0] {
	case "fleet":
		for k := range 6 {
			region, dataCentre := fmt.Sprint("region-", k/2), fmt.Sprint("dc-", k)
			for i := range int(number(1)) + int(number(2)) {
				cores := 0.8
				if i >= int(number(1)) {
					cores = 0.192
				}
				name := fmt.Sprintf("%s-vm-%d", dataCentre, i)
				v := &vm{member: partitioner.NewMember(tier.NewVM(name, dataCentre, name, tier.WithVMState(tier.VMLive)), region, cores)}
				s.vms, s.byName[name] = append(s.vms, v), v
			}
		}
		for _, v := range s.vms {
			s.after(tier.Millis(s.random.IntN(startSpread)), func() { s.start(v, true) })
		}
	case "seeds":
		for _, v := range s.vms {
			for k := range int(number(1)) {
				if seed := fmt.Sprintf("dc-%d-vm-0", k); seed != v.member.VM().Name() {
					v.seeds = append(v.seeds, seed)
				}
			}
		}
	case "at":
		s.after(tier.Millis(number(1))-s.now, func() { s.fault(words[2:]) })
	case "run":
		for len(s.queue) > 0 && s.queue[0].at <= tier.Millis(number(1)) {
			e := heap.Pop(&s.queue).(event)
			s.now = e.at
			e.run()
		}
		for _, v := range s.vms {
			if v.up && v.joinedAt < 0 {
				s.t.Errorf("%s has no view %d ms after its start", v.member.VM().Name(), s.now-v.startedAt)
			}
		}
	case "reset":
		s.slowest, s.oldest, s.readersAge, s.fleetAge, s.calls = 0, 0, 0, 0, 0
	case "expect":
		got, ok := map[string]float64{"joined-within": float64(s.slowest), "view-age": float64(s.oldest), "reader-view-age": float64(s.readersAge), "fleet-view-age": float64(s.fleetAge), "store-calls": s.calls}[words[1]]
		if !ok {
			s.t.Fatalf("unknown figure %q", words[1])
		}
		s.t.Logf("%s is %.1f", words[1], got)
		if got > number(2) {
			s.t.Errorf("%s is %.1f, expected at most %s", words[1], got, words[2])
		}
	default:
		s.t.Fatalf("unknown command %q", words[0])
	}
}

func (s *fleet) kill(v *vm, downFor tier.Millis) {
	v.up = false
	v.generation++
	s.after(downFor, func() { s.start(v, false) })
}

func (s *fleet) start(v *vm, bootstrap bool) {
	v.generation++
	v.up, v.startedAt, v.joinedAt, v.registered, v.viewAt, v.storeAt = true, s.now, -1, false, 0, 0
	v.partitioner = partitioner.New(v.member)
	options := []Option{WithRandom(s.random.Float64), WithSeeds(v.seeds)}
	if bootstrap {
		options = append(options, AtBootstrap())
	}
	v.refresher = New(v.partitioner, options...)
	v.refresher.SetFleetSize(len(s.vms))
	s.step(v, v.generation)
}

// step carries out the next read of a VM and schedules the one after it.
func (s *fleet) step(v *vm, generation int) {
	if v.generation != generation {
		return
	}
	age := s.now - v.storeAt
	if v.joinedAt >= 0 && v.storeFault == "" && s.now-v.joinedAt > settleTime {
		s.readersAge = max(s.readersAge, age)
	}
	if v.frozen {
		s.after(retryInterval, func() { s.step(v, generation) })
		return
	}
	if v.joinedAt >= 0 && s.inTouch(v) && s.now-max(v.joinedAt, v.touchedAt) > settleTime {
		s.fleetAge = max(s.fleetAge, age)
	}
	if v.joinedAt >= 0 && s.faults == 0 && s.now-s.calmAt > settleTime && s.now-v.joinedAt > settleTime {
		s.oldest = max(s.oldest, age)
	}
	v.turn++
	turn := v.turn
	again := func() {
		if v.turn == turn {
			s.step(v, generation)
		}
	}
	source := v.refresher.Next(s.now, s.now-v.viewAt)
	switch source := source.(type) {
	case Pause:
		v.partitioner.Tick(s.now)
		s.after(source.For, again)
		return
	case Wait:
		s.after(source.For, again)
		return
	}
	took, result := s.read(v, source)
	s.after(0, again)
	s.after(took, func() {
		if v.generation != generation {
			return
		}
		age, ok := result()
		switch {
		case ok:
			v.refresher.Succeeded(source, age)
		default:
			v.refresher.Failed(s.now, source)
		}
		if v.refresher.Loaded() && v.joinedAt < 0 {
			v.joinedAt = s.now
			s.slowest = max(s.slowest, s.now-v.startedAt)
			s.renew(v, generation)
		}
		s.step(v, generation)
	})
}

// probe ends the suspicion of a VM once it has a view.
func (s *fleet) probe(v, other *vm, generation int) {
	s.after(400, func() {
		if v.generation != generation {
			return
		}
		if other.up && other.joinedAt >= 0 && !other.declines && !other.frozen && other.cut == v.cut {
			v.partitioner.Recovered(s.now, other.member.VM().Name())
			return
		}
		s.probe(v, other, generation)
	})
}

// renew registers a VM if others need to know it, and renews its registration.
func (s *fleet) renew(v *vm, generation int) {
	if v.generation != generation {
		return
	}
	name := v.member.VM().Name()
	pause := 3 * tier.Second
	switch wanted := v.partitioner.ShouldRegister(s.now); {
	case !wanted:
		delete(s.registered, name)
	case v.storeFault != "":
		s.calls += 0.1
		pause = 700 * tier.Millisecond
	case v.registered:
		s.calls += 0.1
	default:
		s.calls += 2
		s.registered[name], v.registered = v.member, true
	}
	s.after(pause, func() { s.renew(v, generation) })
}
