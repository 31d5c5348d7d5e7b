package searcher

import (
	"bufio"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/budgeter"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/throttler"
)

// TestLimitedLeafsGetNoMoreThanTheyAskFor guards against a leaf that names a limit of
// requests a second and gets more than that from all VMs together. Each script of
// testdata/limits is a fleet of VMs with its traffic, in simulated time.
func TestLimitedLeafsGetNoMoreThanTheyAskFor(t *testing.T) {
	files, err := filepath.Glob("testdata/limits/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			in, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = in.Close() }()
			f := newFleet(t)
			lines := bufio.NewScanner(in)
			for lines.Scan() {
				f.play(strings.Fields(lines.Text()))
			}
		})
	}
}

const (
	// limitWindow, limitFactor and limitSlack bound the requests to a limited leaf: in each
	// window, limitFactor times what its limit allows, and limitSlack.
	limitWindow = 4 * tier.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is the time after a leaf first names its limit from which the bound holds.
	limitGrace = 5 * tier.Second
	// toldAfter is the time after a VM's first reply with the limit from which its requests
	// count.
	toldAfter = 500 * tier.Millisecond
	// simulatedLatency is a call's latency within a region, and farLatency between regions.
	simulatedLatency = 12 * tier.Millisecond
	farLatency       = 40 * tier.Millisecond
)

// fleet simulates VMs that call leafs. Its commands are:
//
//	vms REGION COUNT                     adds VMs
//	leaf ID SERVICE REGION [limit RATE FROM UNTIL]
//	                                     adds a leaf, which names a limit in its replies
//	                                     of that time in ms
//	shards SERVICE ...                   these services are shards
//	traffic PER-SECOND SERVICE REGION    requests that come to the VMs of a region
//	suspect MS SERVICE                   at that time, all VMs but the owner itself
//	                                     suspect that the owner of a shard has failed
//	run MS                               plays so long
//	within-limits                        checks every window of every limited leaf
//	served SERVICE SHARE                 the share of requests with a reply is at least this
//	used LEAF SHARE                      while it is limited, the leaf gets at least this
//	                                     share of the requests that it asks for
type fleet struct {
	t       *testing.T
	random  *rand.Rand
	now     tier.Millis
	vms     []*fleetVM
	leafs   []*fleetLeaf
	shards  map[string]bool
	traffic []*fleetTraffic
	events  fleetEvents
	order   int
}

// fleetVM is a simulated VM, with its searches in progress.
type fleetVM struct {
	name      string
	region    string
	lister    *lister.Lister
	scheduler *Scheduler
	told      map[string]tier.Millis // by id of the leaf
	runs      map[*Search]*fleetRun
}

type fleetRun struct {
	traffic   *fleetTraffic
	cancelled map[int]bool
}

type fleetLeaf struct {
	leaf        lister.Leaf
	perSecond   float64
	from, until tier.Millis
	arrivals    []tier.Millis // while it names a limit, from VMs that know it
	total       int           // arrivals while it names a limit
}

func (f *fleetLeaf) limited(now tier.Millis) bool {
	return f.perSecond > 0 && now >= f.from && now < f.until
}

type fleetTraffic struct {
	perSecond float64
	service   string
	region    string
	asked     int
	served    int
}

type fleetEvent struct {
	at    tier.Millis
	order int
	do    func()
}

type fleetEvents []fleetEvent

func (f fleetEvents) Len() int { return len(f) }
func (f fleetEvents) Less(i, j int) bool {
	return f[i].at < f[j].at || f[i].at == f[j].at && f[i].order < f[j].order
}
func (f fleetEvents) Swap(i, j int) { f[i], f[j] = f[j], f[i] }
func (f *fleetEvents) Push(x any)   { *f = append(*f, x.(fleetEvent)) }
func (f *fleetEvents) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, random: rand.New(rand.NewPCG(1, 2)), shards: map[string]bool{}}
}

func (f *fleet) at(when tier.Millis, do func()) {
	f.order++
	heap.Push(&f.events, fleetEvent{at: max(when, f.now), order: f.order, do: do})
}

func (f *fleet) play(words []string) {
	if len(words) == 0 || words[0] == "#" {
		return
	}
	switch words[0] {
	case "vms":
		for range parseInt(f.t, words[2]) {
			f.addVM(words[1])
		}
	case "leaf":
		leaf := lister.NewLeaf(words[1], words[2], words[1]+":1", lister.InDataCentre(words[3]), lister.WithSlots(4))
		added := &fleetLeaf{leaf: leaf}
		if len(words) > 4 {
			added.perSecond, added.from, added.until = parseFloat(f.t, words[5]), tier.Millis(parseInt(f.t, words[6])), tier.Millis(parseInt(f.t, words[7]))
		}
		f.leafs = append(f.leafs, added)
	case "shards":
		for _, service := range words[1:] {
			f.shards[service] = true
		}
	case "traffic":
		f.traffic = append(f.traffic, &fleetTraffic{perSecond: parseFloat(f.t, words[1]), service: words[2], region: words[3]})
	case "suspect":
		f.at(tier.Millis(parseInt(f.t, words[1])), func() { f.suspectOwner(words[2]) })
	case "run":
		f.run(tier.Millis(parseInt(f.t, words[1])))
	case "within-limits":
		f.checkLimits()
	case "served":
		f.checkServed(words[1], parseFloat(f.t, words[2]))
	case "used":
		f.checkUsed(words[1], parseFloat(f.t, words[2]))
	default:
		f.t.Fatalf("unknown command %q", words[0])
	}
}

func (f *fleet) addVM(region string) {
	v := &fleetVM{name: fmt.Sprintf("%s-%d", region, len(f.vms)), region: region, told: map[string]tier.Millis{}, runs: map[*Search]*fleetRun{}}
	distance := func(dataCentre string) balancer.Distance {
		if dataCentre == region {
			return balancer.SameDataCentre
		}
		return balancer.OtherRegion
	}
	v.lister = lister.New()
	v.scheduler = NewScheduler(v.lister, balancer.New(distance, balancer.WithRandom(f.random.Float64)), budgeter.New(0.2, 50, 10), partitioner.New(v.member()), WithRandom(f.random.Float64))
	f.vms = append(f.vms, v)
}

func (v *fleetVM) member() partitioner.Member {
	return partitioner.NewMember(tier.NewVM(v.name, v.region, v.name+":1", tier.WithVMState(tier.VMLive)), v.region, 1)
}

// suspectOwner makes all VMs but the owners of a service believe that these have failed.
func (f *fleet) suspectOwner(service string) {
	var owners []string
	for _, v := range f.vms {
		if v.scheduler.ownerCount(f.now, service) > 0 {
			owners = append(owners, v.name)
		}
	}
	if len(owners) == 0 {
		f.t.Fatalf("no VM owns %q", service)
	}
	for _, v := range f.vms {
		for _, name := range owners {
			v.scheduler.partitioner.Failed(f.now, name)
		}
	}
}

func (f *fleet) run(until tier.Millis) {
	for _, v := range f.vms {
		v.scheduler.SetFleetSize(len(f.vms))
		v.scheduler.SetShards(func(service string) bool { return f.shards[service] })
		for _, other := range f.vms {
			v.scheduler.partitioner.Put(other.member())
		}
		for k, leaf := range f.leafs {
			v.lister.Put(0, lister.NewEntry("servers/"+leaf.leaf.ID(), leaf.leaf, int64(k)))
		}
	}
	for _, traffic := range f.traffic {
		f.schedule(traffic)
	}
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(fleetEvent)
		f.now = next.at
		next.do()
	}
}

// schedule begins the next request of a stream after a random pause.
func (f *fleet) schedule(traffic *fleetTraffic) {
	pause := tier.Millis(f.random.ExpFloat64() * float64(tier.Second) / traffic.perSecond)
	f.at(f.now+pause, func() {
		traffic.asked++
		f.begin(traffic)
		f.schedule(traffic)
	})
}

// begin hands a request to a VM of the region, or to the VM that this one picks for a shard.
func (f *fleet) begin(traffic *fleetTraffic) {
	var local []*fleetVM
	for _, v := range f.vms {
		if v.region == traffic.region {
			local = append(local, v)
		}
	}
	v := local[f.random.IntN(len(local))]
	if f.shards[traffic.service] {
		member := v.scheduler.Divide("class", []string{traffic.service})[0].Member()
		for _, other := range f.vms {
			if other.name == member.VM().Name() {
				v = other
			}
		}
	}
	terms := NewTerms("class", f.now+250, f.now+1000, Idempotent(), WithMaxAttempts(2))
	search := NewSearch(v.scheduler, terms, []string{traffic.service}, nil)
	v.runs[search] = &fleetRun{traffic: traffic, cancelled: map[int]bool{}}
	f.step(v, search, search.Start(f.now))
}

// step carries out the actions of a search, and those of the searches that they woke.
func (f *fleet) step(v *fleetVM, search *Search, actions []Action) {
	for _, action := range actions {
		f.execute(v, search, action)
	}
	for _, woken := range v.scheduler.TakeWoken() {
		f.step(v, woken, woken.Resume(f.now))
	}
	if !search.done {
		f.at(max(search.NextTick(), f.now+1), func() {
			if !search.done && search.NextTick() <= f.now {
				f.step(v, search, search.Tick(f.now))
			}
		})
	}
}

func (f *fleet) execute(v *fleetVM, search *Search, action Action) {
	r := v.runs[search]
	switch action := action.(type) {
	case Send:
		f.arrive(v, action.Leaf)
		sentAt, latency := f.now, simulatedLatency
		if action.Leaf.DataCentre() != v.region {
			latency = farLatency
		}
		f.at(f.now+latency, func() {
			if r.cancelled[action.Call] {
				return
			}
			f.hear(v, sentAt, action.Leaf)
			f.step(v, search, search.CallEnded(f.now, action.Call, Answered{Reply: "reply"}))
		})
	case Cancel:
		r.cancelled[action.Call] = true
	case Finish:
		if action.Outcome.Success() {
			r.traffic.served++
		}
		delete(v.runs, search)
	}
}

// arrive counts a request at a leaf.
func (f *fleet) arrive(v *fleetVM, leaf lister.Leaf) {
	for _, other := range f.leafs {
		if other.leaf.ID() != leaf.ID() || !other.limited(f.now) {
			continue
		}
		other.total++
		if told, ok := v.told[leaf.ID()]; ok && f.now >= told+toldAfter {
			other.arrivals = append(other.arrivals, f.now)
		}
	}
}

// hear tells a VM what the leaf's reply says of its limit.
func (f *fleet) hear(v *fleetVM, sentAt tier.Millis, leaf lister.Leaf) {
	var notice throttler.Notice = throttler.NoRateLimit{}
	for _, other := range f.leafs {
		if other.leaf.ID() == leaf.ID() && other.limited(f.now) {
			notice = throttler.RateLimit{PerSecond: other.perSecond}
			if _, ok := v.told[leaf.ID()]; !ok {
				v.told[leaf.ID()] = f.now
			}
		}
	}
	v.scheduler.balancer.Heard(f.now, sentAt, leaf, notice)
}

func (f *fleet) checkLimits() {
	checked := 0
	for _, leaf := range f.leafs {
		if leaf.perSecond == 0 {
			continue
		}
		checked += len(leaf.arrivals)
		allowed := limitFactor*leaf.perSecond*float64(limitWindow/tier.Second) + limitSlack
		most, first := 0, 0
		for k, at := range leaf.arrivals {
			for leaf.arrivals[first] <= at-limitWindow {
				first++
			}
			if at >= leaf.from+limitGrace {
				most = max(most, k-first+1)
			}
		}
		if float64(most) > allowed {
			f.t.Errorf("leaf %s, which takes %g a second, gets %d requests in %d ms; allowed %g", leaf.leaf.ID(), leaf.perSecond, most, limitWindow, allowed)
		}
	}
	if checked == 0 {
		f.t.Fatal("no request came to a leaf that had named a limit")
	}
}

func (f *fleet) checkServed(service string, share float64) {
	asked, served := 0, 0
	for _, traffic := range f.traffic {
		if traffic.service == service {
			asked, served = asked+traffic.asked, served+traffic.served
		}
	}
	if asked == 0 {
		f.t.Fatalf("no request to %q", service)
	}
	if float64(served) < share*float64(asked) {
		f.t.Errorf("%d of %d requests to %s are served, less than %g", served, asked, service, share)
	}
}

func (f *fleet) checkUsed(id string, share float64) {
	for _, leaf := range f.leafs {
		if leaf.leaf.ID() != id {
			continue
		}
		asksFor := leaf.perSecond * float64(leaf.until-leaf.from) / float64(tier.Second)
		if float64(leaf.total) < share*asksFor {
			f.t.Errorf("leaf %s gets %d requests of %g that it takes, less than %g", id, leaf.total, asksFor, share)
		}
		return
	}
	f.t.Fatalf("no leaf %q", id)
}
