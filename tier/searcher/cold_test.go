package searcher

import (
	"fmt"
	"strings"
	"testing"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/router"
)

// TestColdLeafsGetNoMoreThanTheirRate guards against cold leafs that crash because many VMs send
// to them at the same time, and against cold leafs that idle. The scripts of testdata/cold are
// those of TestLimitedLeafsGetNoMoreThanTheyAskFor, with these commands:
//
//	leaf ID SERVICE REGION cold RATE AT FOR
//	                             registers at AT and is cold for FOR; each VM hears of it at
//	                             an age of its view, up to oldestView
//	turns-cold ID AT FOR         it registers again, with that remaining time
//	kill ID AT                   the first rate owner of the leaf dies; its registration lapses
//	replace ID AT                the same, and a VM with another name starts 500 ms later
//	restart ID AT                the same, and it starts again under its name
//	restart-all AT               all VMs start again after 500 ms, under their names
//	join REGION COUNT AT         VMs start
//	cut ID AT                    the rate owners of the leaf lose their links to the store and VMs
//	within-bound FROM UNTIL ID ...  checks each second in that time for these leafs
//	cold-used ID SHARE FROM UNTIL   the leaf gets at least that share of its rate
//	rises ID FROM                within four seconds, calls rise to those of a warm leaf, and
//	                             no quarter of a second has over three times those before
func TestColdLeafsGetNoMoreThanTheirRate(t *testing.T) { playFleets(t, "testdata/cold/*.txt") }

const (
	oldestView   = 2500 * tier.Millisecond
	lapseTime    = 9 * tier.Second // of a VM's registration
	startTime    = 500 * tier.Millisecond
	coldOverage  = 1.5
	coldSlack    = 5
	rampStep     = 250 * tier.Millisecond
	rampFactor   = 3.0
	rampSlack    = 8
	warmCalls    = 8 // in a second
	observedRamp = 4 * tier.Second
)

// TestQueuedPartsLeaveALeafThatTurnsCold guards against parts that wait until their deadline for
// a leaf that only other VMs may call now.
func TestQueuedPartsLeaveALeafThatTurnsCold(t *testing.T) {
	f := newFleet(t)
	for _, line := range []string{"vms serra 1", "vms serra 1 0.2", "leaf a contas serra cold 5 0 0", "run 3000"} {
		f.play(strings.Fields(line))
	}
	v, leaf := f.vms[1], f.leafNamed("a").registered.Leaf()
	terms := NewTerms("class", f.now+500, f.now+1000, Idempotent())
	var last *Search
	for range leaf.Slots() + 1 {
		last = NewSearch(v.scheduler, terms, []string{"contas"}, nil)
		last.Start(f.now)
	}
	if v.scheduler.QueueLength() != 1 {
		t.Fatalf("%d parts wait", v.scheduler.QueueLength())
	}
	v.scheduler.balancer.TurnedCold(f.now, leaf, 10*tier.Second)
	actions := last.Tick(f.now + queuePollInterval)
	if len(actions) != 1 || v.scheduler.QueueLength() != 0 || v.scheduler.HeldByCold() != 1 {
		t.Fatalf("%d parts wait, actions %v", v.scheduler.QueueLength(), actions)
	}
	if asked, ok := actions[0].(Delegate); !ok || asked.Member.VM().Name() != f.vms[0].name {
		t.Errorf("the part goes to %v", actions[0])
	}
}

func (f *fleet) playCold(words []string) {
	ms := func(k int) tier.Millis { return tier.Millis(parseInt(f.t, words[k])) }
	switch words[0] {
	case "turns-cold":
		leaf := f.leafNamed(words[1])
		f.at(ms(2), func() { f.register(leaf, ms(3)) })
	case "kill", "replace", "restart":
		f.at(ms(2), func() { f.killRateOwner(f.leafNamed(words[1]), words[0]) })
	case "restart-all":
		f.at(ms(1), func() {
			for _, v := range f.vms {
				f.kill(v)
				f.startAgain(v)
			}
		})
	case "join":
		f.at(ms(3), func() {
			for range parseInt(f.t, words[2]) {
				f.enter(f.addVM(words[1], 1))
			}
		})
	case "cut":
		f.at(ms(2), func() { f.cutRateOwners(f.leafNamed(words[1])) })
	case "within-bound":
		for _, id := range words[3:] {
			f.checkBound(f.leafNamed(id), ms(1), ms(2))
		}
	case "cold-used":
		leaf, from, until := f.leafNamed(words[1]), ms(3), ms(4)
		used := float64(leaf.count(from, until)) / leaf.coldRate / (float64(until-from) / float64(tier.Second))
		f.t.Logf("%s uses %.2f of its rate", words[1], used)
		if share := parseFloat(f.t, words[2]); used < share {
			f.t.Errorf("%s gets %.2f of its cold rate, less than %g", words[1], used, share)
		}
	case "rises":
		f.checkRise(f.leafNamed(words[1]), ms(2))
	default:
		f.t.Fatalf("unknown command %q", words[0])
	}
}

func (f *fleet) leafNamed(id string) *fleetLeaf {
	for _, leaf := range f.leafs {
		if leaf.leaf.ID() == id {
			return leaf
		}
	}
	f.t.Fatalf("no leaf %q", id)
	return nil
}

func (f *fleetLeaf) count(from, until tier.Millis) int {
	count := 0
	for _, at := range f.coldArrivals {
		if at >= from && at < until {
			count++
		}
	}
	return count
}

func (f *fleet) addCold(leaf *fleetLeaf, words []string) {
	leaf.coldRate = parseFloat(f.t, words[0])
	f.at(tier.Millis(parseInt(f.t, words[1])), func() { f.register(leaf, tier.Millis(parseInt(f.t, words[2]))) })
}

// viewAge is the age at which a VM hears of a change.
func (f *fleet) viewAge() tier.Millis { return tier.Millis(f.random.Float64() * float64(oldestView)) }

// later lets each VM hear of a change.
func (f *fleet) later(hear func(v *fleetVM)) {
	for _, v := range f.vms {
		f.at(f.now+f.viewAge(), func() {
			if !v.cut {
				hear(v)
			}
		})
	}
}

func (f *fleet) register(leaf *fleetLeaf, coldFor tier.Millis) {
	l := leaf.leaf
	l = lister.NewLeaf(l.ID(), l.Service(), l.Address(), lister.InDataCentre(l.DataCentre()), lister.WithSlots(l.Slots()), lister.WithColdRemaining(coldFor))
	leaf.registered, leaf.registeredAt = lister.NewEntry("servers/"+l.ID(), l, int64(f.now)), f.now
	f.later(func(v *fleetVM) { f.hearLeaf(v, leaf) })
}

func (f *fleet) hearLeaf(v *fleetVM, leaf *fleetLeaf) {
	if leaf.registered.Readable() && v.lister.IsNewer(leaf.registered) {
		v.lister.Put(f.now, leaf.registered)
		v.scheduler.balancer.Registered(f.now, leaf.registered.Leaf())
	}
}

// introduce tells a VM of the others and of the settings.
func (f *fleet) introduce(v *fleetVM) {
	most := 0.0
	for _, other := range f.vms {
		most = max(most, other.cores)
	}
	for _, other := range f.vms {
		if 2*other.cores >= most {
			v.scheduler.partitioner.Put(other.member())
		}
	}
	v.scheduler.LimitCold(func(service string) router.Service {
		for _, leaf := range f.leafs {
			if leaf.leaf.Service() == service && leaf.coldRate > 0 {
				return router.NewService(service, 10*tier.Second, leaf.coldRate)
			}
		}
		return router.Service{}
	}, coldOverage, coldSlack)
	registeredAt := f.now
	if f.now == 0 {
		registeredAt = -rateOwnerGrace
	}
	v.scheduler.SetListed(v.restarted)
	v.scheduler.SetContact(registeredAt, 2*v.cores >= most, false)
}

// rate owners lists the VMs that a live VM takes for rate owners of a leaf.
func (f *fleet) rateOwners(leaf *fleetLeaf) []*fleetVM {
	var list []*fleetVM
	for _, m := range f.vms[0].scheduler.coldRateOwners(f.now, leaf.registered.Leaf(), maxRateOwners) {
		for _, v := range f.vms {
			if v.name == m.VM().Name() {
				list = append(list, v)
			}
		}
	}
	return list
}

func (f *fleet) kill(v *fleetVM) { v.dead, v.runs = true, map[*Search]*fleetRun{} }

// startAgain starts a killed VM under its name.
func (f *fleet) startAgain(v *fleetVM) {
	f.at(f.now+startTime, func() {
		f.start(v)
		v.dead, v.restarted = false, true
		f.enter(v)
	})
}

// enter gives a VM that has started a view, and lets the others hear of it.
func (f *fleet) enter(v *fleetVM) {
	f.introduce(v)
	v.scheduler.SetFleetSize(len(f.vms))
	v.scheduler.SetShards(func(service string) bool { return f.shards[service] })
	for _, leaf := range f.leafs {
		f.hearLeaf(v, leaf)
	}
	if v.scheduler.cold.registeredAt != never {
		f.later(func(other *fleetVM) { other.scheduler.partitioner.Put(v.member()) })
	}
}

func (f *fleet) killRateOwner(leaf *fleetLeaf, how string) {
	v := f.rateOwners(leaf)[0]
	f.kill(v)
	if how == "restart" {
		f.startAgain(v)
		return
	}
	f.lapse(v)
	if how == "replace" {
		f.at(f.now+startTime, func() { f.enter(f.addVM(v.region, v.cores)) })
	}
}

// lapse ends the registration of a VM that no longer renews it.
func (f *fleet) lapse(v *fleetVM) {
	f.at(f.now+lapseTime, func() {
		f.later(func(other *fleetVM) {
			other.scheduler.partitioner.Remove(f.now, v.name)
			f.at(f.now+5*tier.Second, func() { other.scheduler.partitioner.Tick(f.now) })
		})
	})
}

// cutRateOwners makes all other VMs lose the rate owners of a leaf, which go on.
func (f *fleet) cutRateOwners(leaf *fleetLeaf) {
	for _, v := range f.rateOwners(leaf) {
		v.cut = true
		f.at(f.now+oldestView, func() { v.scheduler.SetContact(f.now, true, true) })
		f.lapse(v)
	}
}

// pass has another VM search for a part, as an entry VM does that relays a request.
func (f *fleet) pass(v *fleetVM, search *Search, action Delegate) {
	latency := farLatency / 2
	if action.Member.Region() == v.region {
		latency = 1
	}
	r := v.runs[search]
	tell := func(do func() []Action) {
		f.at(f.now+latency, func() {
			if !r.recalled[action.Share] && v.runs[search] != nil {
				f.step(v, search, do())
			}
		})
	}
	f.at(f.now+latency, func() {
		for _, other := range f.vms {
			if other.name != action.Member.VM().Name() || other.dead || other.cut != v.cut {
				continue
			}
			terms := NewTerms("class", f.now+action.Target, f.now+action.Deadline-latency, Idempotent(), WithMaxAttempts(action.Attempts), ForAnotherVM(), ForwardFailures())
			child := NewSearch(other.scheduler, terms, []string{r.traffic.service}, nil)
			other.runs[child] = &fleetRun{traffic: r.traffic, cancelled: map[int]bool{}, report: func(report ShareReport) {
				if len(report.Parts) > 0 {
					report.Parts = action.Parts
				}
				tell(func() []Action { return search.ShareReported(f.now, action.Share, report) })
			}}
			tell(func() []Action { return search.ShareAccepted(f.now, action.Share) })
			f.step(other, child, child.Start(f.now))
		}
	})
}

func (f *fleet) checkBound(leaf *fleetLeaf, from, until tier.Millis) {
	most := 0
	for _, at := range leaf.coldArrivals {
		if at >= from {
			most = max(most, leaf.count(at, min(at+tier.Second, until)))
		}
	}
	allowed := coldOverage*leaf.coldRate + coldSlack
	f.t.Logf("%s gets %d requests in its worst second, allowed %g", leaf.leaf.ID(), most, allowed)
	if most == 0 || float64(most) > allowed {
		f.t.Errorf("%s gets %d requests in a second, allowed %g", leaf.leaf.ID(), most, allowed)
	}
}

func (f *fleet) checkRise(leaf *fleetLeaf, from tier.Millis) {
	before := 0
	var steps []int
	for at := from; at < from+observedRamp; at += rampStep {
		calls := leaf.count(at, at+rampStep)
		if float64(calls) > rampFactor*float64(before)+rampSlack {
			f.t.Errorf("%s gets %d calls from %d ms on, after %d", leaf.leaf.ID(), calls, at, before)
		}
		before = calls
		steps = append(steps, calls)
	}
	f.t.Logf("%s gets %v", leaf.leaf.ID(), steps)
	if calls := leaf.count(from+observedRamp-tier.Second, from+observedRamp); calls < warmCalls {
		f.t.Errorf("%s gets %d calls once it is warm", leaf.leaf.ID(), calls)
	}
}

// TestRateOwnersOfFormerLeafsAreForgotten guards against memory that grows with each cold leaf that
// there has ever been.
func TestRateOwnersOfFormerLeafsAreForgotten(t *testing.T) {
	f := newFleet(t)
	f.play(strings.Fields("vms serra 1"))
	sc := f.vms[0].scheduler
	sc.LimitCold(func(name string) router.Service { return router.NewService(name, tier.Minute, 4) }, 1.5, 5)
	for i := range 100 {
		sc.coldRateOwners(tier.Millis(i)*rateOwnerCacheTTL, lister.NewLeaf(fmt.Sprint("c-", i), "contas", "a:1", lister.InDataCentre("serra")), 1)
	}
	if n := len(sc.cold.rateOwners); n != 1 {
		t.Errorf("the rateOwners of %d leafs are kept", n)
	}
}
