package searcher

import (
	"container/heap"
	"fmt"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/balancer"
	"cicadagrade.example/tier/budgeter"
	"cicadagrade.example/tier/lister"
	"cicadagrade.example/tier/partitioner"
	"cicadagrade.example/tier/throttler"
)

func (f *fleet) addVM(region string, cores float64) *fleetVM {
	v := &fleetVM{name: fmt.Sprintf("%s-%d", region, len(f.vms)), region: region, cores: cores}
	f.start(v)
	f.vms = append(f.vms, v)
	return v
}

// start begins a process of a VM, which knows nothing.
func (f *fleet) start(v *fleetVM) {
	region := v.region
	v.told, v.runs = map[string]tier.Millis{}, map[*Search]*fleetRun{}
	distance := func(dataCentre string) balancer.Distance {
		if dataCentre == region {
			return balancer.SameDataCentre
		}
		return balancer.OtherRegion
	}
	v.lister = lister.New()
	v.scheduler = NewScheduler(v.lister, balancer.New(distance, balancer.WithRandom(f.random.Float64)), budgeter.New(0.2, 50, 10), partitioner.New(v.member()), WithRandom(f.random.Float64))
}

func (v *fleetVM) member() partitioner.Member {
	return partitioner.NewMember(tier.NewVM(v.name, v.region, v.name+":1", tier.WithVMState(tier.VMLive)), v.region, v.cores)
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
			v.scheduler.partitioner.Failed(f.now, name, partitioner.ShareFailed)
		}
	}
}

func (f *fleet) run(until tier.Millis) {
	for _, v := range f.vms {
		v.scheduler.SetFleetSize(len(f.vms))
		v.scheduler.SetShards(func(service string) bool { return f.shards[service] })
		f.introduce(v)
		for k, leaf := range f.leafs {
			if leaf.coldRate > 0 {
				continue
			}
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
	pause := tier.Millis(f.random.ExpFloat64() * float64(tier.Second) / (traffic.perSecond * traffic.load.factor(f.now)))
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
		if v.region == traffic.region && !v.dead {
			local = append(local, v)
		}
	}
	if len(local) == 0 {
		return // all have been killed
	}
	v := local[f.random.IntN(len(local))]
	if f.shards[traffic.service] {
		member := v.scheduler.Divide("class", []string{traffic.service}, tier.RegionSet{})[0].Member()
		for _, other := range f.vms {
			switch {
			case other.name != member.VM().Name():
			case other.dead:
				v.scheduler.partitioner.Failed(f.now, other.name, partitioner.ShareFailed)
				return
			default:
				v = other
			}
		}
	}
	terms, services := NewTerms("class", f.now+250, f.now+1000, Idempotent(), WithMaxAttempts(2)), []string{traffic.service}
	if traffic.load != nil {
		terms, services = traffic.load.request(f.now)
	}
	search := NewSearch(v.scheduler, terms, services, nil)
	v.runs[search] = &fleetRun{traffic: traffic, cancelled: map[int]bool{}, recalled: map[int]bool{}}
	f.step(v, search, search.Start(f.now))
}

// step carries out the actions of a search, and those of the searches that they woke.
func (f *fleet) step(v *fleetVM, search *Search, actions []Action) {
	if v.runs[search] == nil {
		return // it has finished, or its VM has been killed
	}
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
		if r.traffic.load != nil {
			latency = r.traffic.load.sent(f, search, action)
		}
		f.at(f.now+latency, func() {
			if r.cancelled[action.Call] || v.runs[search] == nil {
				return
			}
			f.hear(v, sentAt, action.Leaf)
			f.step(v, search, search.CallEnded(f.now, action.Call, Answered{Reply: "reply"}))
		})
	case Cancel:
		r.cancelled[action.Call] = true
	case Delegate:
		f.pass(v, search, action)
	case Recall:
		r.recalled[action.Share] = true
	case Flush:
		r.report(ShareReport{Parts: action.Arrived, Whole: "reply"})
	case Finish:
		if r.report != nil {
			r.report(ShareReport{Last: true, Calls: action.Outcome.CallsSent()})
		} else if action.Outcome.Success() {
			r.traffic.served++
		}
		if r.traffic.load != nil {
			r.traffic.load.finished(f.now, search, action.Outcome)
		}
		delete(v.runs, search)
	}
}

// arrive counts a request at a leaf.
func (f *fleet) arrive(v *fleetVM, leaf lister.Leaf) {
	for _, other := range f.leafs {
		if other.leaf.ID() == leaf.ID() && other.coldRate > 0 {
			other.coldArrivals = append(other.coldArrivals, f.now)
		}
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
