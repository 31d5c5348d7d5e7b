package partitioner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cicadagrade.example/tier"
)

func member(name, region string, cores float64) Member {
	return NewMember(tier.NewVM(name, region+"-1", name+":1", tier.WithVMState(tier.VMLive)), region, cores)
}

// newFleet returns the view of each VM of three regions, with the given numbers of
// large and small VMs in each.
func newFleet(large, small int) map[string]*Partitioner {
	var all []Member
	for _, region := range []string{"r1", "r2", "r3"} {
		for i := range large {
			all = append(all, member(fmt.Sprintf("%s-strong-%d", region, i), region, 0.8))
		}
		for i := range small {
			all = append(all, member(fmt.Sprintf("%s-weak-%d", region, i), region, 0.2))
		}
	}
	views := map[string]*Partitioner{}
	for _, m := range all {
		p := New(m)
		p.SetMembers(0, all, false)
		views[m.VM().Name()] = p
	}
	return views
}

func shards(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("shard-%d", i)
	}
	return list
}

func locationsOf(shard string) []Location {
	all := []Location{{"r1-1", "r1"}, {"r2-1", "r2"}, {"r3-1", "r3"}}
	var i int
	_, _ = fmt.Sscanf(shard, "shard-%d", &i)
	return []Location{all[i%3], all[(i+1)%3]}
}

func TestEveryShardIsAssignedOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	list := shards(30)
	for name, p := range newFleet(2, 5) {
		seen := map[int]bool{}
		for _, share := range p.Partition("class", list, tier.RegionSet{}, locationsOf, random.Float64) {
			if share.Self() != (share.Member().VM().Name() == name) {
				t.Errorf("%s: a share reports self %v", name, share.Self())
			}
			for _, i := range share.Parts() {
				if seen[i] {
					t.Errorf("%s: shard %d is assigned twice", name, i)
				}
				seen[i] = true
			}
		}
		if len(seen) != len(list) {
			t.Errorf("%s: %d of %d shards are assigned", name, len(seen), len(list))
		}
	}
}

// TestVMsOfARegionAgreeOnOwnersAndSkipSmallVMs checks that all VMs of a region
// assign a shard to the same VM, that shards are spread evenly, and that small VMs
// get no shares of others' requests.
func TestVMsOfARegionAgreeOnOwnersAndSkipSmallVMs(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	list := shards(90)
	views := newFleet(4, 9)
	owner := map[string]string{}
	shardsOf := map[string]int{}
	for _, p := range views {
		if p.Self().Region() != "r1" {
			continue
		}
		for _, share := range p.Partition("class", list, tier.RegionSet{}, locationsOf, random.Float64) {
			m := share.Member()
			if m.Cores() < 0.5 {
				t.Errorf("the small VM %s gets a share", m.VM().Name())
			}
			if m.Region() != "r1" {
				continue
			}
			for _, i := range share.Parts() {
				if other, ok := owner[list[i]]; ok && other != m.VM().Name() {
					t.Errorf("%s is assigned to %s and %s", list[i], other, m.VM().Name())
				}
				owner[list[i]] = m.VM().Name()
			}
		}
	}
	for _, name := range owner {
		shardsOf[name]++
	}
	for name, n := range shardsOf {
		if n > 2*len(owner)/len(shardsOf) {
			t.Errorf("%s gets %d of %d shards of four VMs", name, n, len(owner))
		}
	}
	owners := 0
	for _, p := range views {
		if p.Self().Region() == "r1" && p.Owns(0, list[0], hasDataCentre(locationsOf(list[0]))) {
			owners++
		}
	}
	if owners != 1 {
		t.Errorf("%d VMs own a shard of their region", owners)
	}
}

func TestSuspectedVMsGetNoSharesUntilTheyAnswerAProbe(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	p := newFleet(3, 0)["r1-strong-0"]
	getsShare := func() bool {
		for _, share := range p.Partition("class", shards(30), tier.RegionSet{}, locationsOf, random.Float64) {
			if share.Member().VM().Name() == "r1-strong-1" {
				return true
			}
		}
		return false
	}
	p.Failed(1000, "r1-strong-1", FetchFailed)
	if getsShare() || len(p.Probes(1000+firstProbeDelay-1)) != 0 {
		t.Error("a suspected VM gets a share, or is probed at once")
	}
	if due := p.Probes(1000 + firstProbeDelay); len(due) != 1 {
		t.Fatalf("%d probes are due", len(due))
	}
	p.Recovered(1500, "r1-strong-1")
	if !getsShare() {
		t.Error("a VM that answered a probe gets no share")
	}
	p.Failed(1600, "r1-strong-1", FetchFailed)
	if len(p.Probes(1600+firstProbeDelay)) != 0 || len(p.Probes(1600+2*firstProbeDelay)) != 1 {
		t.Error("a second failure soon after does not double the wait")
	}
	for name := range p.members {
		p.Failed(9000, name, ShareFailed)
	}
	for _, share := range p.Partition("class", shards(30), tier.RegionSet{}, locationsOf, random.Float64) {
		if !share.Self() {
			t.Errorf("%s gets a share though all other VMs are suspected", share.Member().VM().Name())
		}
	}
}

// TestBusyVMsKeepTheirShares guards against a fleet of small VMs that is slow as a whole: each
// VM that accepts a share late is suspected, its shards move to others that have no
// connections to the leafs, and these are late next (a metastable overload).
func TestBusyVMsKeepTheirShares(t *testing.T) {
	p := newFleet(3, 0)["r1-strong-0"]
	suspected := func(name string) bool { return p.members[name].suspected }
	p.RecordRoundTrip(1000, "r1-strong-1", 3)
	before := p.RoundTrip(p.members["r1-strong-1"].member)
	p.TimedOut(1100, "r1-strong-1", 31)
	if suspected("r1-strong-1") {
		t.Error("a VM that has just accepted a share is suspected after one late one")
	}
	if after := p.RoundTrip(p.members["r1-strong-1"].member); after <= before {
		t.Errorf("the next share has no more time: %.1f ms, before %.1f ms", after, before)
	}
	p.TimedOut(1150, "r1-strong-1", 31)
	if !suspected("r1-strong-1") {
		t.Error("a VM that accepts no share any more is not suspected")
	}
	p.TimedOut(1200, "r1-strong-2", 31)
	if !suspected("r1-strong-2") {
		t.Error("a VM that has not answered lately is not suspected")
	}
}

func TestOnlyAFewLargeVMsWatchTheStore(t *testing.T) {
	views := newFleet(4, 21)
	watching := 0
	for name, p := range views {
		for _, m := range p.StoreWatchers() {
			if m.VM().Name() == name {
				watching++
			}
			if m.Cores() < 0.5 {
				t.Errorf("the small VM %s watches the store", name)
			}
		}
	}
	if watching != watcherCount {
		t.Errorf("%d of %d VMs watch the store, expected %d", watching, len(views), watcherCount)
	}
}

func TestMembersSurviveAStoreOutage(t *testing.T) {
	p := newFleet(2, 0)["r1-strong-0"]
	p.SetMembers(1000, nil, true)
	if p.MemberCount() != 6 {
		t.Errorf("%d VMs known right after an outage, expected 6", p.MemberCount())
	}
	p.Tick(1000 + missingMemberTTL)
	if p.MemberCount() != 1 {
		t.Errorf("%d VMs known that did not register again", p.MemberCount())
	}
}

// TestMembersOutliveTheirRegistrations guards against a region without known VMs after all
// registrations have expired in an outage of the store.
func TestMembersOutliveTheirRegistrations(t *testing.T) {
	p := newFleet(2, 0)["r1-strong-0"]
	for name := range p.members {
		p.Remove(1000, name)
	}
	p.Tick(1000 + missingMemberTTL - 1)
	if p.MemberCount() != 6 {
		t.Errorf("%d VMs known right after their registrations ended, expected 6", p.MemberCount())
	}
	p.Put(member("r2-strong-1", "r2", 0.8))
	p.Tick(1000 + missingMemberTTL)
	if p.MemberCount() != 2 {
		t.Errorf("%d VMs known, expected this one and the one that registered again", p.MemberCount())
	}
}

// TestOnlyLargeVMsRegister guards against a load on the store that grows with the small VMs,
// and against small VMs that register because they hear of the large ones late.
func TestOnlyLargeVMsRegister(t *testing.T) {
	for name, p := range newFleet(3, 40) {
		if got, want := p.ShouldRegister(5000), p.Self().Cores() > 0.5; got != want {
			t.Errorf("%s registers: %v", name, got)
		}
	}
	p := New(member("r1-weak-0", "r1", 0.2))
	p.SetMembers(1000, []Member{member("r2-strong-0", "r2", 0.8)}, false)
	if p.ShouldRegister(1000) || p.ShouldRegister(1000+regionGrace-1) {
		t.Error("a small VM registers before the large ones of its region could")
	}
	if !p.ShouldRegister(1000 + regionGrace) {
		t.Error("a small VM of a region without large ones does not register")
	}
	p.Put(member("r1-strong-0", "r1", 0.8))
	if p.ShouldRegister(9000) {
		t.Error("a small VM stays registered beside a large one")
	}
}

// TestRemoteSharesUseFewWarmConnections guards against shares that have to open a
// connection to another region, which delays them by a round trip. The leafs of some
// shards leave in a whole region, and many small VMs with about one request a second
// each send shares to other regions. Each has to use a few fixed gateways whose
// connections are kept open, and the gateways have to be spread over all large VMs.
func TestRemoteSharesUseFewWarmConnections(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	used := map[string]int{}
	for name, p := range newFleet(8, 12) {
		warm := map[string]bool{}
		for _, m := range p.IdleGateways(1) {
			warm[m.VM().Name()] = true
		}
		if len(warm) != 2*gatewaysPerRegion {
			t.Errorf("%s keeps %d connections open", name, len(warm))
		}
		if again := p.IdleGateways(2); len(again) > 0 {
			t.Errorf("%s refreshes %d connections again at once", name, len(again))
		}
		for range 20 {
			for _, share := range p.Partition("class", shards(30), tier.RegionSet{}, locationsOf, random.Float64) {
				if m := share.Member(); m.Region() != p.Self().Region() {
					used[m.VM().Name()]++
					if !warm[m.VM().Name()] {
						t.Errorf("%s sends %s a share without an open connection", name, m.VM().Name())
					}
				}
			}
		}
		if again := p.IdleGateways(gatewayIdleLimit + 1); len(again) != 2*gatewaysPerRegion {
			t.Errorf("%s refreshes %d connections after the idle limit", name, len(again))
		}
	}
	if len(used) != 3*8 {
		t.Errorf("%d of 24 large VMs are gateways", len(used))
	}
}

// TestShardsAreAssignedInTheirLeafsDataCentre guards against the complete replies of
// a hundred shards crossing data centres for each request. All VMs have to assign a
// shard to a VM in its leaf's data centre, and elsewhere in the region only if every
// VM there is suspected.
func TestShardsAreAssignedInTheirLeafsDataCentre(t *testing.T) {
	var all []Member
	for i := range 8 {
		dataCentre := fmt.Sprintf("r1-%d", i%2)
		all = append(all, NewMember(tier.NewVM(fmt.Sprint("vm-", i), dataCentre, ""), "r1", 0.8))
	}
	locations := func(string) []Location { return []Location{{"r1-1", "r1"}, {"r2-0", "r2"}} }
	for _, self := range all {
		p := New(self)
		p.SetMembers(0, all, false)
		expectDataCentre := func(want string) {
			for _, share := range p.Partition("class", shards(100), tier.RegionSet{}, locations, func() float64 { return 0 }) {
				m := share.Member().VM()
				if m.DataCentre() != want {
					t.Errorf("%s assigns a share to %s in %s", self.VM().Name(), m.Name(), m.DataCentre())
				}
				for _, i := range share.Parts() {
					if share.Self() != p.Owns(0, shards(100)[i], hasDataCentre(locations(""))) {
						t.Errorf("%s: its own share differs from the shards that it owns", self.VM().Name())
					}
				}
			}
		}
		expectDataCentre("r1-1")
		for _, m := range all {
			if m.VM().DataCentre() == "r1-1" && m.VM().Name() != self.VM().Name() {
				p.Failed(1, m.VM().Name(), ShareFailed)
			}
		}
		if self.VM().DataCentre() == "r1-0" {
			expectDataCentre("r1-0")
		}
	}
}

// TestExcludedVMsGetNoShares guards against shards that a VM without links to the leafs keeps for
// itself, or gives to VMs that are suspected, while other VMs could query them.
func TestExcludedVMsGetNoShares(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 3))
	list := shards(30)
	fleet := newFleet(2, 1)
	// The large VMs that each VM suspects, by prefix of their names.
	for _, suspects := range [][]string{nil, {"r1"}, {"r1", "r2"}, {"r1", "r2", "r3"}} {
		for name, p := range fleet {
			p.ExcludeSelf(0, true)
			healthy := 0
			for other := range fleet {
				for _, prefix := range suspects {
					if other[:2] == prefix {
						p.Failed(0, other, ShareFailed)
					}
				}
			}
			for _, m := range p.HealthyPeers() {
				if m.VM().Name() != name {
					healthy++
				}
			}
			assigned := 0
			for _, share := range p.Partition("class", list, tier.RegionSet{}, locationsOf, random.Float64) {
				assigned += len(share.Parts())
				if share.Self() && healthy > 0 {
					t.Errorf("%s keeps %d shards, though %d others are healthy", name, len(share.Parts()), healthy)
				}
				if other := fleet[share.Member().VM().Name()]; !share.Self() && p.members[other.self.vm.Name()].suspected {
					t.Errorf("%s gives shards to %s, which is suspected", name, other.self.vm.Name())
				}
			}
			if assigned != len(list) {
				t.Errorf("%s assigns %d of %d shards", name, assigned, len(list))
			}
			if p.Owns(0, list[0], func(string) bool { return true }) {
				t.Errorf("%s owns a shard", name)
			}
			p.ExcludeSelf(0, false)
			if n := len(p.HealthyPeers()); n != len(fleet)-1 {
				t.Errorf("%s still suspects some: %d are healthy", name, n)
			}
		}
	}
}

// Shares of a restricted request that go to other VMs of the own region, or to a stand-in in a
// region that is not allowed, would carry its body there.
func TestRestrictedSharesGoToAllowedRegions(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for name, p := range newFleet(2, 2) {
		for _, allowed := range []string{"r1", "r2", "none"} {
			for _, excluded := range []bool{false, true} {
				p.ExcludeSelf(0, excluded)
				parts := 0
				for _, share := range p.Partition("class", shards(30), tier.RestrictedTo(allowed), locationsOf, random.Float64) {
					parts += len(share.Parts())
					if !share.Self() && share.Member().Region() != allowed {
						t.Errorf("%s: a share goes to %s, only %s is allowed", name, share.Member().VM().Name(), allowed)
					}
				}
				if parts != 30 {
					t.Errorf("%s: %d shards are assigned", name, parts)
				}
			}
		}
	}
}
