package searcher

import (
	"bufio"
	"container/heap"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
)

// TestLimitedLeafsGetNoMoreThanTheyAskFor guards against a leaf that names a limit of
// requests a second and gets more than that from all VMs together. Each script of
// testdata/limits is a fleet of VMs with its traffic, in simulated time.
func TestLimitedLeafsGetNoMoreThanTheyAskFor(t *testing.T) { playFleets(t, "testdata/limits/*.txt") }

// playFleets plays the scripts that match a pattern, each with a fleet of its own.
func playFleets(t *testing.T, pattern string) {
	files, err := filepath.Glob(pattern)
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
//	vms REGION COUNT [CORES]             adds VMs
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
	cores     float64
	dead, cut bool
	restarted bool
	lister    *lister.Lister
	scheduler *Scheduler
	told      map[string]tier.Millis // by id of the leaf
	runs      map[*Search]*fleetRun
}

type fleetRun struct {
	traffic   *fleetTraffic
	cancelled map[int]bool
	recalled  map[int]bool
	report    func(ShareReport) // of a search for another VM, or nil
}

type fleetLeaf struct {
	leaf        lister.Leaf
	perSecond   float64
	from, until tier.Millis
	arrivals    []tier.Millis // while it names a limit, from VMs that know it
	total       int           // arrivals while it names a limit

	coldRate     float64 // of its service, or 0
	coldArrivals []tier.Millis
	registered   lister.Entry // the latest registration of a leaf with a cold rate
	registeredAt tier.Millis
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

	load *organisationLoad // of a fairRun, or nil
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
		cores := 1.0
		if len(words) > 3 {
			cores = parseFloat(f.t, words[3])
		}
		for range parseInt(f.t, words[2]) {
			f.addVM(words[1], cores)
		}
	case "leaf":
		leaf := lister.NewLeaf(words[1], words[2], words[1]+":1", lister.InDataCentre(words[3]), lister.WithSlots(4))
		added := &fleetLeaf{leaf: leaf}
		if len(words) > 4 && words[4] == "cold" {
			f.addCold(added, words[5:])
		} else if len(words) > 4 {
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
		f.playCold(words)
	}
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
