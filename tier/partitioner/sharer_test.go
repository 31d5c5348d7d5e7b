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

// fleet returns the views of all VMs of three regions with a few strong VMs each.
func fleet(strong, weak int) map[string]*Partitioner {
	var all []Member
	for _, region := range []string{"r1", "r2", "r3"} {
		for i := range strong {
			all = append(all, member(fmt.Sprintf("%s-strong-%d", region, i), region, 0.8))
		}
		for i := range weak {
			all = append(all, member(fmt.Sprintf("%s-weak-%d", region, i), region, 0.2))
		}
	}
	views := map[string]*Partitioner{}
	for _, m := range all {
		s := New(m)
		s.SetMembers(0, all, false)
		views[m.VM().Name()] = s
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

func placesOf(shard string) []Location {
	all := []Location{{"r1-1", "r1"}, {"r2-1", "r2"}, {"r3-1", "r3"}}
	var i int
	_, _ = fmt.Sscanf(shard, "shard-%d", &i)
	return []Location{all[i%3], all[(i+1)%3]}
}

func TestEveryShardIsAskedOnce(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	list := shards(30)
	for name, s := range fleet(2, 5) {
		seen := map[int]bool{}
		for _, share := range s.Partition("class", list, placesOf, draw.Float64) {
			if share.Self() != (share.Member().VM().Name() == name) {
				t.Errorf("%s: a share says self %v", name, share.Self())
			}
			for _, i := range share.Parts() {
				if seen[i] {
					t.Errorf("%s: shard %d is asked twice", name, i)
				}
				seen[i] = true
			}
		}
		if len(seen) != len(list) {
			t.Errorf("%s: %d of %d shards are asked", name, len(seen), len(list))
		}
	}
}

// The pattern: work goes to those that can carry it. VMs of a region agree on who
// asks a shard, and the weak ones are given nothing of others' requests.
func TestVMsOfARegionAgreeAndSpareTheWeak(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	list := shards(90)
	views := fleet(4, 9)
	asked := map[string]string{}
	carried := map[string]int{}
	for _, s := range views {
		if s.Self().Region() != "r1" {
			continue
		}
		for _, share := range s.Partition("class", list, placesOf, draw.Float64) {
			m := share.Member()
			if m.Cores() < 0.5 {
				t.Errorf("%s is given a share", m.VM().Name())
			}
			if m.Region() != "r1" {
				continue
			}
			for _, i := range share.Parts() {
				if other, ok := asked[list[i]]; ok && other != m.VM().Name() {
					t.Errorf("%s is asked by %s and %s", list[i], other, m.VM().Name())
				}
				asked[list[i]] = m.VM().Name()
			}
		}
	}
	for _, name := range asked {
		carried[name]++
	}
	for name, n := range carried {
		if n > 2*len(asked)/len(carried) {
			t.Errorf("%s asks %d of %d shards of four VMs", name, n, len(asked))
		}
	}
	owned := 0
	for _, s := range views {
		if s.Self().Region() == "r1" && s.Owns(0, list[0], hasDataCentre(placesOf(list[0]))) {
			owned++
		}
	}
	if owned != 1 {
		t.Errorf("%d VMs own a shard of their region", owned)
	}
}

func TestSilentVMsArePassedOverUntilTheyAnswer(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	s := fleet(3, 0)["r1-strong-0"]
	given := func() bool {
		for _, share := range s.Partition("class", shards(30), placesOf, draw.Float64) {
			if share.Member().VM().Name() == "r1-strong-1" {
				return true
			}
		}
		return false
	}
	s.Failed(1000, "r1-strong-1")
	if given() || len(s.Probes(1000+probeAfter-1)) != 0 {
		t.Error("a silent VM is given a share, or probed at once")
	}
	if due := s.Probes(1000 + probeAfter); len(due) != 1 {
		t.Fatalf("%d probes are due", len(due))
	}
	s.Recovered(1500, "r1-strong-1")
	if !given() {
		t.Error("a VM that answers again is given nothing")
	}
	s.Failed(1600, "r1-strong-1")
	if len(s.Probes(1600+probeAfter)) != 0 || len(s.Probes(1600+2*probeAfter)) != 1 {
		t.Error("the second silence in a row does not double the wait")
	}
	for name := range s.members {
		s.Failed(9000, name)
	}
	for _, share := range s.Partition("class", shards(30), placesOf, draw.Float64) {
		if !share.Self() {
			t.Errorf("%s is given a share though only this VM answers", share.Member().VM().Name())
		}
	}
}

func TestAFewVMsWatchTheStore(t *testing.T) {
	views := fleet(4, 21)
	count := 0
	for name, s := range views {
		for _, m := range s.StoreWatchers() {
			if m.VM().Name() == name {
				count++
			}
			if m.Cores() < 0.5 {
				t.Errorf("the weak VM %s watches", name)
			}
		}
	}
	if count != watchers {
		t.Errorf("%d of %d VMs watch the store, expected %d", count, len(views), watchers)
	}
}

func TestMembersOutliveAnOutage(t *testing.T) {
	s := fleet(2, 0)["r1-strong-0"]
	s.SetMembers(1000, nil, true)
	if s.MemberCount() != 6 {
		t.Errorf("%d VMs known right after an outage, expected 6", s.MemberCount())
	}
	s.Tick(1000 + keepFor)
	if s.MemberCount() != 1 {
		t.Errorf("%d VMs known that did not register again", s.MemberCount())
	}
}

// The load: many weak VMs, each with a request a second, while leafs of some
// shards leave in a whole region. Pattern: a few fixed gateways for each VM, with
// connections that are kept warm, spread over all that are able.
func TestSharesGoOverFewWarmConnections(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 1))
	used := map[string]int{}
	for name, s := range fleet(8, 12) {
		warm := map[string]bool{}
		for _, m := range s.IdleGateways(1) {
			warm[m.VM().Name()] = true
		}
		if len(warm) != 2*gatewayCount {
			t.Errorf("%s warms %d connections", name, len(warm))
		}
		if again := s.IdleGateways(2); len(again) > 0 {
			t.Errorf("%s warms %d connections at once again", name, len(again))
		}
		for range 20 {
			for _, share := range s.Partition("class", shards(30), placesOf, draw.Float64) {
				if m := share.Member(); m.Region() != s.Self().Region() {
					used[m.VM().Name()]++
					if !warm[m.VM().Name()] {
						t.Errorf("%s gives %s a share over a cold connection", name, m.VM().Name())
					}
				}
			}
		}
		if again := s.IdleGateways(warmFor + 1); len(again) != 2*gatewayCount {
			t.Errorf("%s warms %d connections after a while", name, len(again))
		}
	}
	if len(used) != 3*8 {
		t.Errorf("%d of 24 strong VMs are gateways", len(used))
	}
}

// The load: whole parts of a hundred shards for each request. Pattern: work goes to
// the data; a shard is asked in its leaf's own data centre, by all VMs alike, and
// elsewhere in the region only if nobody is left there.
func TestShardsAreAskedBesideTheirLeafs(t *testing.T) {
	var all []Member
	for i := range 8 {
		dataCentre := fmt.Sprintf("r1-%d", i%2)
		all = append(all, NewMember(tier.NewVM(fmt.Sprint("vm-", i), dataCentre, ""), "r1", 0.8))
	}
	places := func(string) []Location { return []Location{{"r1-1", "r1"}, {"r2-0", "r2"}} }
	for _, self := range all {
		s := New(self)
		s.SetMembers(0, all, false)
		check := func(want string) {
			for _, share := range s.Partition("class", shards(100), places, func() float64 { return 0 }) {
				m := share.Member().VM()
				if m.DataCentre() != want {
					t.Errorf("%s gives %s in %s a share", self.VM().Name(), m.Name(), m.DataCentre())
				}
				for _, i := range share.Parts() {
					if share.Self() != s.Owns(0, shards(100)[i], hasDataCentre(places(""))) {
						t.Errorf("%s: its own share and what it owns differ", self.VM().Name())
					}
				}
			}
		}
		check("r1-1")
		for _, m := range all {
			if m.VM().DataCentre() == "r1-1" && m.VM().Name() != self.VM().Name() {
				s.Failed(1, m.VM().Name())
			}
		}
		if self.VM().DataCentre() == "r1-0" {
			check("r1-0")
		}
	}
}
