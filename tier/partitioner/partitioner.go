// Package partitioner partitions the shards of a request among the VMs near their
// leafs. Each leaf is then queried by few VMs, which can track its queue and need few
// connections, and regions exchange merged records instead of complete replies. The
// VMs need no agreement: any VM may query any shard.
package partitioner

import (
	"slices"
	"sort"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

const (
	// minCoresFraction is the fraction of the largest VM's cores in a region that a
	// VM needs to get shares of others' requests.
	minCoresFraction = 0.5
	// firstProbeDelay is the wait before probing a VM that did not answer in time.
	// Further failures double it, up to maxProbeDelay.
	firstProbeDelay = 400 * tier.Millisecond
	// maxProbeDelay bounds the wait before a probe.
	maxProbeDelay = 3200 * tier.Millisecond
	// backoffResetAfter is how long after a VM's recovery its next failure starts
	// from firstProbeDelay again.
	backoffResetAfter = 5 * tier.Second
	// missingMemberTTL is how long members are kept whose registration has ended. It
	// gives them the time to register again.
	missingMemberTTL = 4 * tier.Second
	// regionGrace is how long a region has no large VM before its small ones register.
	// Large VMs that have started together register within it.
	regionGrace = 2 * tier.Second
	// roundTripWeight is the weight of a new round trip in the moving average.
	roundTripWeight = 0.2
	// maxTimeouts is how many shares in a row a VM that has accepted one within
	// recentAnswer may accept late before it is suspected.
	maxTimeouts  = 2
	recentAnswer = 1 * tier.Second
	// maxRoundTripMs bounds a round trip that is assumed after a share was not accepted in
	// time.
	maxRoundTripMs = 100.0
	// regionWeightExponent controls how strongly regions of lower latency are
	// preferred.
	regionWeightExponent = 3.0
	// minShardsFraction is the number of shards that a region needs to have leafs of
	// to be picked, as a fraction of the number in the best region.
	minShardsFraction = 0.8
	// gatewaysPerRegion is the number of VMs of another region to which a VM sends
	// shares: two, because one may fail.
	gatewaysPerRegion = 2
	// gatewayIdleLimit is how long a connection to a gateway may be idle before it
	// is used to keep it open. It is well below the time after which idle
	// connections are closed.
	gatewayIdleLimit = 15 * tier.Second
	// shareLatencyWeight is the weight of a request in a region's moving average of
	// latency.
	shareLatencyWeight = 0.1
)

// Round trips assumed before the first measurement, in milliseconds.
const (
	defaultRegionRoundTripMs = 3.0
	defaultRemoteRoundTripMs = 45.0
)

// Member is an entry VM that can get shares.
type Member struct {
	vm     tier.VM
	region string
	cores  float64
}

// NewMember returns a VM in a region with its CPU capacity in cores.
func NewMember(vm tier.VM, region string, cores float64) Member {
	return Member{vm: vm, region: region, cores: cores}
}

// VM is its identity and address.
func (m Member) VM() tier.VM { return m.vm }

// Region is the region it runs in.
func (m Member) Region() string { return m.region }

// Cores is its CPU capacity.
func (m Member) Cores() float64 { return m.cores }

// memberState is what one VM knows of another.
type memberState struct {
	member       Member
	missingSince tier.Millis // when its registration was first missing, or 0
	suspected    bool        // it gets no shares until it answers a probe that it takes them
	unreachable  bool        // it is suspected, and has answered nothing since
	probeAt      tier.Millis // when to probe it
	backoff      tier.Millis // wait before the next probe
	recoveredAt  tier.Millis // when a probe last succeeded
	roundTripMs  float64     // moving average, or 0 before the first measurement
	lastContact  tier.Millis // when it last answered or its connection was refreshed, or 0
	answeredAt   tier.Millis // when it last accepted a share, or 0
	timeouts     int         // shares that it has not accepted in time since then
}

// regionKey identifies a moving average of share latency.
type regionKey struct{ class, region string }

// Partitioner is the view that one VM has of the others. It is not safe for
// concurrent use.
type Partitioner struct {
	self            Member
	members         map[string]*memberState
	regionLatencyMs map[regionKey]float64
	ownerCache      map[string]string // owners of shards in this VM's region
	ownerRanks      map[string]int    // this VM's ranks as owner, cached as long
	ownerCacheAt    tier.Millis
	selfExcluded    bool        // the own VM queries no shards
	suspicions      []Suspicion // since TakeSuspicions was last called
	// withoutLargeSince is when this small VM first found no large one in its region, or 0.
	withoutLargeSince tier.Millis
}

// New returns a partitioner that knows only its own VM.
func New(self Member) *Partitioner {
	p := &Partitioner{self: self, members: map[string]*memberState{}, regionLatencyMs: map[regionKey]float64{}}
	p.members[self.vm.Name()] = &memberState{member: self}
	return p
}

// Self is the own VM.
func (p *Partitioner) Self() Member { return p.self }

// MemberCount is the number of known VMs, the own one included.
func (p *Partitioner) MemberCount() int { return len(p.members) }

// MembersIn is the number of known VMs of a region, the own one included.
func (p *Partitioner) MembersIn(region string) int {
	count := 0
	for _, m := range p.members {
		if m.member.region == region {
			count++
		}
	}
	return count
}

// SetMembers replaces the members by the list in the store. If afterOutage is set,
// VMs missing from the list are kept for missingMemberTTL.
func (p *Partitioner) SetMembers(now tier.Millis, list []Member, afterOutage bool) {
	seen := map[string]bool{p.self.vm.Name(): true}
	for _, m := range list {
		p.Put(m)
		seen[m.vm.Name()] = true
	}
	for name, m := range p.members {
		switch {
		case seen[name]:
			m.missingSince = 0
		case !afterOutage:
			delete(p.members, name)
		case m.missingSince == 0:
			m.missingSince = now
		}
	}
}

// Put adds or updates a member. A new incarnation or address drops what was known of
// the VM.
func (p *Partitioner) Put(m Member) {
	name := m.vm.Name()
	if name == p.self.vm.Name() {
		return
	}
	old, ok := p.members[name]
	if !ok || old.member.vm.Incarnation() != m.vm.Incarnation() || old.member.vm.Address() != m.vm.Address() {
		p.members[name] = &memberState{member: m}
		return
	}
	old.member, old.missingSince = m, 0
}

// Remove handles the end of a member's registration. The member is kept for
// missingMemberTTL: it may register again, as all VMs do after an outage in which their
// registrations have expired. One that has stopped declines shares or does not answer.
func (p *Partitioner) Remove(now tier.Millis, name string) {
	if m, ok := p.members[name]; ok && name != p.self.vm.Name() && m.missingSince == 0 {
		m.missingSince = max(now, 1)
	}
}

// Tick drops members that have been missing for missingMemberTTL.
func (p *Partitioner) Tick(now tier.Millis) {
	for name, m := range p.members {
		if m.missingSince > 0 && now-m.missingSince >= missingMemberTTL {
			delete(p.members, name)
		}
	}
}

// IdleGateways lists the gateways whose connections have been idle for
// gatewayIdleLimit, each once. Contacting them keeps the connections open: a share
// that has to open one is delayed by a round trip.
func (p *Partitioner) IdleGateways(now tier.Millis) []Member {
	var due []Member
	for _, region := range p.otherRegions() {
		for _, gateway := range p.gateways(region) {
			if m := p.members[gateway.vm.Name()]; m.lastContact == 0 || now-m.lastContact >= gatewayIdleLimit {
				m.lastContact = now
				due = append(due, gateway)
			}
		}
	}
	return due
}

// RecordRoundTrip records a measured round trip to a VM.
func (p *Partitioner) RecordRoundTrip(now tier.Millis, name string, roundTrip tier.Millis) {
	m, ok := p.members[name]
	if !ok {
		return
	}
	m.lastContact, m.answeredAt, m.timeouts = now, now, 0
	if m.roundTripMs == 0 {
		m.roundTripMs = float64(roundTrip) + 1
		return
	}
	m.roundTripMs += roundTripWeight * (float64(roundTrip) + 1 - m.roundTripMs)
}

// RoundTrip is the expected round trip to a VM, in milliseconds.
func (p *Partitioner) RoundTrip(m Member) float64 {
	if known, ok := p.members[m.vm.Name()]; ok && known.roundTripMs > 0 {
		return known.roundTripMs
	}
	if m.region == p.self.region {
		return defaultRegionRoundTripMs
	}
	return defaultRemoteRoundTripMs
}

// RecordShareLatency records how long a share took that was sent to a VM of a
// region.
func (p *Partitioner) RecordShareLatency(class, region string, took tier.Millis) {
	key := regionKey{class, region}
	old, ok := p.regionLatencyMs[key]
	if !ok {
		old = float64(took)
	}
	p.regionLatencyMs[key] = old + shareLatencyWeight*(float64(took)-old)
}

// gateways are the VMs of another region to which this VM sends shares. They are a
// fixed few, so that connections to them stay open, and differ between VMs, so that
// the load is spread.
func (p *Partitioner) gateways(region string) []Member {
	list := p.eligible(region)
	if len(list) <= gatewaysPerRegion {
		return list
	}
	score := func(m Member) uint64 { return picker.Score("gateway", p.self.vm.Name(), m.vm.Name()) }
	sort.Slice(list, func(i, j int) bool { return score(list[i]) > score(list[j]) })
	return list[:gatewaysPerRegion]
}

// otherRegions lists the regions that have members, except the own one, by name.
func (p *Partitioner) otherRegions() []string {
	var list []string
	for _, m := range p.members {
		if region := m.member.region; region != p.self.region && !slices.Contains(list, region) {
			list = append(list, region)
		}
	}
	slices.Sort(list)
	return list
}
