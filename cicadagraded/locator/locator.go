// Package locator tells where a request can run. From gossip and the configuration it
// knows the shard sets in force, the owners of each set in each data centre, the index
// versions that their backend servers hold, and their admission thresholds.
package locator

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
)

// Locator is safe for concurrent use. Requests read an immutable view, and so never wait
// for an update, except in Admit, which keeps state and takes a lock of its own.
type Locator struct {
	clock *tier.Clock
	view  atomic.Pointer[view]

	mu           sync.Mutex
	members      []tier.VM
	sets         map[string]*tier.ShardSet
	earlierSets  map[string]*tier.ShardSet // by the set's name: the shard map before the one in force
	reports      map[reportKey]ownerReports
	remoteOwners map[remoteOwnerKey]tier.VM
	reachable    map[string]bool
	admissionMu  sync.Mutex
	admitters    map[string]*admitter.Admitter
	thresholds   map[reportKey]admitter.ReceivedThreshold
	suspicions   sync.Map // from the name of a VM to a suspicion
}

// reportKey identifies the owner of a set that a report or a threshold is from.
type reportKey struct{ set, vm string }

// remoteOwnerKey identifies one of the owners of a set in another data centre.
type remoteOwnerKey struct {
	set        string
	dataCentre string
	index      int
}

// ownerReports holds the latest report of an owner, and the last one under an earlier
// shard map.
type ownerReports struct {
	latest  owner.Report
	earlier owner.Report
}

// atEpoch returns the report under the shard map of an epoch.
func (r ownerReports) atEpoch(e tier.Epoch) (owner.Report, bool) {
	switch e {
	case r.latest.Epoch():
		return r.latest, true
	case r.earlier.Epoch():
		return r.earlier, true
	}
	return owner.Report{}, false
}

// view is an immutable snapshot of what requests need.
type view struct {
	sets        map[string]*tier.ShardSet
	earlierSets map[string]*tier.ShardSet
	placements  map[placementKey]*placement
	reachable   map[string]bool
}

// placementKey identifies a set in a data centre.
type placementKey struct{ set, dataCentre string }

// placement lists the VMs that may run requests to a set in a data centre, and the index
// versions that the backend servers there hold, by shard.
type placement struct {
	ownerCount  int // how many of the candidates, from the first, share the slots
	candidates  []tier.VM
	hasHoldings map[string]bool // by VM: whether its report lists any versions
	epoch       tier.Epoch
	versions    map[string][]tier.Version
}

// maxCandidates bounds the members that are candidates for a set in a data centre, unless
// the set has more owners.
const maxCandidates = 4

// New returns a locator without sets and members.
func New(clock *tier.Clock) *Locator {
	l := &Locator{
		clock:        clock,
		sets:         map[string]*tier.ShardSet{},
		earlierSets:  map[string]*tier.ShardSet{},
		reports:      map[reportKey]ownerReports{},
		remoteOwners: map[remoteOwnerKey]tier.VM{},
		admitters:    map[string]*admitter.Admitter{},
		thresholds:   map[reportKey]admitter.ReceivedThreshold{},
		reachable:    map[string]bool{},
	}
	l.rebuild()
	return l
}

// Update replaces the sets in force, the members and the reachability of the members'
// data centres. It does nothing if none of them has changed.
func (l *Locator) Update(sets []*tier.ShardSet, members []tier.VM, reachable func(dataCentre string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byName := make(map[string]*tier.ShardSet, len(sets))
	for _, s := range sets {
		byName[s.Name()] = s
	}
	nowReachable := map[string]bool{}
	for _, m := range members {
		nowReachable[m.DataCentre()] = reachable(m.DataCentre())
	}
	if maps.Equal(byName, l.sets) && slices.Equal(members, l.members) && maps.Equal(nowReachable, l.reachable) {
		return
	}
	for name, s := range byName {
		if old, ok := l.sets[name]; ok && old.Epoch() < s.Epoch() {
			l.earlierSets[name] = old
		}
	}
	l.sets, l.members, l.reachable = byName, members, nowReachable
	l.rebuild()
}

// UpdateReport records the report of an owner, or forgets its reports if ok is false.
func (l *Locator) UpdateReport(set, vm string, r owner.Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := reportKey{set: set, vm: vm}
	if ok {
		last := l.reports[k]
		reports := ownerReports{latest: r, earlier: last.earlier}
		if last.latest.Epoch() < r.Epoch() {
			reports.earlier = last.latest
		}
		l.reports[k] = reports
	} else {
		delete(l.reports, k)
	}
	l.rebuildSet(set)
}

// rebuild replaces the view. The caller holds mu.
func (l *Locator) rebuild() {
	v := &view{sets: l.sets, earlierSets: maps.Clone(l.earlierSets), placements: map[placementKey]*placement{}, reachable: l.reachable}
	for _, s := range l.sets {
		for _, d := range s.DataCentres() {
			v.placements[placementKey{s.Name(), d}] = l.placement(s, d)
		}
	}
	l.view.Store(v)
}

// rebuildSet replaces the view after a change to one set. The caller holds mu.
func (l *Locator) rebuildSet(name string) {
	s, ok := l.sets[name]
	if !ok {
		return
	}
	last := l.view.Load()
	v := &view{sets: last.sets, earlierSets: last.earlierSets, placements: maps.Clone(last.placements), reachable: last.reachable}
	for _, d := range s.DataCentres() {
		v.placements[placementKey{name, d}] = l.placement(s, d)
	}
	l.view.Store(v)
}

// placement returns the placement of a set in a data centre under the shard map in force,
// or under the earlier map as long as no server is known to hold the map in force.
func (l *Locator) placement(s *tier.ShardSet, dataCentre string) *placement {
	p := l.placementUnder(s, dataCentre)
	earlier, ok := l.earlierSets[s.Name()]
	if !ok || len(p.versions) > 0 {
		return p
	}
	if e := l.placementUnder(earlier, dataCentre); len(e.versions) > 0 {
		return e
	}
	return p
}

// placementUnder returns the placement of a set in a data centre under one shard map. It
// uses only the reports of candidates: other VMs with a report ran parts of the set only
// for a while.
func (l *Locator) placementUnder(s *tier.ShardSet, dataCentre string) *placement {
	owners := OwnerCount(s, dataCentre)
	p := &placement{
		ownerCount:  owners,
		candidates:  l.candidates(s, dataCentre, owners),
		hasHoldings: map[string]bool{},
		epoch:       s.Epoch(),
		versions:    map[string][]tier.Version{},
	}
	for _, vm := range p.candidates {
		reports, ok := l.reports[reportKey{s.Name(), vm.Name()}]
		if !ok {
			continue
		}
		if r, ok := reports.atEpoch(s.Epoch()); ok {
			p.addReport(s, r)
			p.hasHoldings[vm.Name()] = r.HasHoldings()
		}
	}
	return p
}

// addReport adds the versions that a report lists.
func (p *placement) addReport(s *tier.ShardSet, r owner.Report) {
	for i, sh := range s.Shards() {
		for _, v := range r.Versions(i) {
			if !slices.Contains(p.versions[sh.ID()], v) {
				p.versions[sh.ID()] = append(p.versions[sh.ID()], v)
			}
		}
	}
}
