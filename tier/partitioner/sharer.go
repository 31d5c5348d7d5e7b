// Package partitioner divides the shards of a request among VMs near their leafs,
// so that each leaf is asked by few VMs: its queue is counted, its connections
// are few, and merged records cross the regions instead of whole parts.
// Nothing is agreed between VMs: a share may always be asked by anyone.
package partitioner

import (
	"math"
	"slices"
	"sort"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

const (
	// strongShare is the part of the most cores in a region that a VM needs to
	// be given shares of others' requests.
	strongShare = 0.5
	// probeAfter is the wait before a VM is probed that did not answer in time;
	// each time that happens again soon doubles it.
	probeAfter = 400 * tier.Millisecond
	// probeAtMost bounds the doubling.
	probeAtMost = 3200 * tier.Millisecond
	// soundAfter is how long a VM has to answer in time until a failure counts
	// as the first again.
	soundAfter = 5 * tier.Second
	// keepFor is how long members are kept that are missing in the list after
	// an outage of the store, until they had time to register again.
	keepFor = 4 * tier.Second
	// roundTripWeight is the weight of one round trip in the estimate.
	roundTripWeight = 0.2
	// regionBias is the exponent by which faster regions are preferred.
	regionBias = 3.0
	// nearlyMost is the part of the most shards that a region needs to have
	// leafs of to be chosen.
	nearlyMost = 0.8
	// gatewayCount is how many VMs of another region one VM gives shares to: one
	// can be lost.
	gatewayCount = 2
	// warmFor is how long a connection to a gateway is left unused: a fraction of
	// the time for which idle connections are kept.
	warmFor = 15 * tier.Second
	// gatherWeight is the weight of one request in a region's usual time.
	gatherWeight = 0.1
)

// Round trips expected before any was measured, in milliseconds.
const (
	priorNearTrip = 3.0
	priorFarTrip  = 45.0
)

// Member is an entry VM that can be given shares.
type Member struct {
	vm     tier.VM
	region string
	cores  float64
}

// NewMember returns a VM in a region with its processor time in cores.
func NewMember(vm tier.VM, region string, cores float64) Member {
	return Member{vm: vm, region: region, cores: cores}
}

// VM is the VM.
func (m Member) VM() tier.VM { return m.vm }

// Region is where it lies.
func (m Member) Region() string { return m.region }

// Cores is its processor time.
func (m Member) Cores() float64 { return m.cores }

type state struct {
	member  Member
	missing tier.Millis // since when it is missing in the list, or 0
	suspect bool        // it is passed over until a probe succeeds
	probeAt tier.Millis // when to probe it
	backoff tier.Millis
	cleared tier.Millis // when it was last found sound after a suspicion
	trip    float64
	contact tier.Millis // when it last answered or was probed, or 0
}

type regionKey struct{ class, region string }

// Partitioner is the view of one VM. It is not safe for concurrent use.
type Partitioner struct {
	self    Member
	members map[string]*state
	usual   map[regionKey]float64
	picked  map[string]string // owners in the own region, until members change
	pickAt  tier.Millis
}

// pickedFor is how long owners are remembered: suspicion changes them.
const pickedFor = 200 * tier.Millisecond

// New returns a sharer that knows only its own VM.
func New(self Member) *Partitioner {
	s := &Partitioner{self: self, members: map[string]*state{}, usual: map[regionKey]float64{}}
	s.members[self.vm.Name()] = &state{member: self}
	return s
}

// Self is the VM itself.
func (s *Partitioner) Self() Member { return s.self }

// MemberCount is the number of members, with the VM itself.
func (s *Partitioner) MemberCount() int { return len(s.members) }

// SetMembers takes the list of VMs as the store has it. Ones that are missing
// are kept for a while if lapsed says that the store was away.
func (s *Partitioner) SetMembers(now tier.Millis, list []Member, lapsed bool) {
	seen := map[string]bool{s.self.vm.Name(): true}
	for _, m := range list {
		s.Put(m)
		seen[m.vm.Name()] = true
	}
	for name, m := range s.members {
		switch {
		case seen[name]:
			m.missing = 0
		case !lapsed:
			delete(s.members, name)
		case m.missing == 0:
			m.missing = now
		}
	}
}

// Put takes one VM's registration.
func (s *Partitioner) Put(m Member) {
	name := m.vm.Name()
	if name == s.self.vm.Name() {
		return
	}
	old, ok := s.members[name]
	if !ok || old.member.vm.Incarnation() != m.vm.Incarnation() || old.member.vm.Address() != m.vm.Address() {
		s.members[name] = &state{member: m}
		return
	}
	old.member, old.missing = m, 0
}

// Remove takes the end of a VM's registration.
func (s *Partitioner) Remove(name string) {
	if name != s.self.vm.Name() {
		delete(s.members, name)
	}
}

// Tick drops members that stayed missing.
func (s *Partitioner) Tick(now tier.Millis) {
	for name, m := range s.members {
		if m.missing > 0 && now-m.missing >= keepFor {
			delete(s.members, name)
		}
	}
}

// Failed passes a VM over until a probe succeeds: it did not answer in time.
func (s *Partitioner) Failed(now tier.Millis, name string) {
	m, ok := s.members[name]
	if !ok || m.suspect || name == s.self.vm.Name() {
		return
	}
	if m.backoff == 0 || now-m.cleared >= soundAfter {
		m.backoff = probeAfter
	} else {
		m.backoff = min(2*m.backoff, probeAtMost)
	}
	m.suspect, m.probeAt = true, now+m.backoff
	s.picked = nil
}

// Probes lists the VMs to probe now. Each is listed again a while later if no
// Found follows.
func (s *Partitioner) Probes(now tier.Millis) []Member {
	var due []Member
	for _, m := range s.members {
		if m.suspect && now >= m.probeAt {
			m.probeAt = now + m.backoff
			due = append(due, m.member)
		}
	}
	return due
}

// IdleGateways lists the gateways to other regions that have not been used for long,
// each once. A share that had to open a connection there would come a trip late.
func (s *Partitioner) IdleGateways(now tier.Millis) []Member {
	var due []Member
	for _, region := range s.otherRegions() {
		for _, g := range s.gateways(region) {
			if m := s.members[g.vm.Name()]; m.contact == 0 || now-m.contact >= warmFor {
				m.contact = now
				due = append(due, g)
			}
		}
	}
	return due
}

// Recovered ends the suspicion of a VM that answered a probe in time, and reports
// whether there was one.
func (s *Partitioner) Recovered(now tier.Millis, name string) bool {
	m, ok := s.members[name]
	if !ok || !m.suspect {
		return false
	}
	m.suspect, m.cleared = false, now
	s.picked = nil
	return true
}

// RecordRoundTrip takes the time to a VM and back.
func (s *Partitioner) RecordRoundTrip(now tier.Millis, name string, trip tier.Millis) {
	m, ok := s.members[name]
	if !ok {
		return
	}
	m.contact = now
	if m.trip == 0 {
		m.trip = float64(trip) + 1
		return
	}
	m.trip += roundTripWeight * (float64(trip) + 1 - m.trip)
}

// watchers is how many VMs of a fleet ask the store for changes. The others
// follow them; one can be lost and one silent.
const watchers = 3

// StoreWatchers lists the VMs that ask the store for changes, among the strong ones
// that answer.
func (s *Partitioner) StoreWatchers() []Member {
	most := 0.0
	for _, m := range s.members {
		most = max(most, m.member.cores)
	}
	var list []Member
	for _, m := range s.members {
		if !m.suspect && m.member.cores >= strongShare*most {
			list = append(list, m.member)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return picker.Score("watcher", "", list[i].vm.Name()) > picker.Score("watcher", "", list[j].vm.Name())
	})
	return list[:min(watchers, len(list))]
}

// HealthyPeers lists the other VMs that answer, those of the own region first.
func (s *Partitioner) HealthyPeers() []Member {
	var list []Member
	for name, m := range s.members {
		if !m.suspect && name != s.self.vm.Name() {
			list = append(list, m.member)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		near, other := list[i].region == s.self.region, list[j].region == s.self.region
		if near != other {
			return near
		}
		return list[i].vm.Name() < list[j].vm.Name()
	})
	return list
}

// RoundTrip is the time to expect to a VM and back, in milliseconds.
func (s *Partitioner) RoundTrip(m Member) float64 {
	if k, ok := s.members[m.vm.Name()]; ok && k.trip > 0 {
		return k.trip
	}
	if m.region == s.self.region {
		return priorNearTrip
	}
	return priorFarTrip
}

// RecordShareLatency takes how long the shares of a request took that went to a region.
func (s *Partitioner) RecordShareLatency(class, region string, took tier.Millis) {
	k := regionKey{class, region}
	old, ok := s.usual[k]
	if !ok {
		old = float64(took)
	}
	s.usual[k] = old + gatherWeight*(float64(took)-old)
}

// Owns reports whether this VM is the one that usually asks a shard in its
// region; leafIn tells the data centres of its leafs.
func (s *Partitioner) Owns(now tier.Millis, shard string, leafIn func(dataCentre string) bool) bool {
	if s.picked == nil || now-s.pickAt >= pickedFor {
		s.picked, s.pickAt = map[string]string{}, now
	}
	name, ok := s.picked[shard]
	if !ok {
		if able := s.able(s.self.region); len(able) > 0 {
			name = pick(shard, s.self.region, beside(able, leafIn)).vm.Name()
		}
		s.picked[shard] = name
	}
	return name == s.self.vm.Name()
}

// able lists the strong VMs of a region that are not passed over.
func (s *Partitioner) able(region string) []Member {
	most := 0.0
	var list []Member
	for _, m := range s.members {
		if m.member.region != region || m.suspect {
			continue
		}
		list = append(list, m.member)
		most = max(most, m.member.cores)
	}
	strong := list[:0]
	for _, m := range list {
		if m.cores >= strongShare*most {
			strong = append(strong, m)
		}
	}
	sort.Slice(strong, func(i, j int) bool { return strong[i].vm.Name() < strong[j].vm.Name() })
	return strong
}

// gateways are the VMs of another region that this one gives shares to: always
// the same few, so that the connections are there, and not the same ones for all
// VMs.
func (s *Partitioner) gateways(region string) []Member {
	list := s.able(region)
	if len(list) <= gatewayCount {
		return list
	}
	score := func(m Member) uint64 { return picker.Score("gateway", s.self.vm.Name(), m.vm.Name()) }
	sort.Slice(list, func(i, j int) bool { return score(list[i]) > score(list[j]) })
	return list[:gatewayCount]
}

// otherRegions lists the regions of other VMs but the own.
func (s *Partitioner) otherRegions() []string {
	var list []string
	for _, m := range s.members {
		if r := m.member.region; r != s.self.region && !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	return list
}

// pick is weighted rendezvous hashing: every VM with the same members picks
// the same one, and a member that leaves moves only its own shards.
func pick(shard, region string, able []Member) Member {
	best, most := able[0], math.Inf(-1)
	for _, m := range able {
		hash := (float64(picker.Score(shard, region, m.vm.Name())>>11) + 0.5) / (1 << 53)
		if score := -m.cores / math.Log(hash); score > most {
			best, most = m, score
		}
	}
	return best
}
