// Package locator knows, from gossip and configuration, where requests go:
// the shard sets in force, the owners in each data centre, what their
// backend servers hold and what they admit.
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

// Locator is read by every request without waiting and changed as news come.
type Locator struct {
	clock   *tier.Clock
	current atomic.Pointer[view]

	mu         sync.Mutex
	members    []tier.VM
	sets       map[string]*tier.ShardSet
	earlier    map[string]*tier.ShardSet // the former shard map of a set
	reports    map[reportKey]heardReport
	announced  map[announcedKey]tier.VM
	reachable  map[string]bool
	admitMu    sync.Mutex
	admitters  map[string]*admitter.Admitter
	thresholds map[reportKey]admitter.ReceivedThreshold
	failed     sync.Map // name of a VM to its suspicion
}

// reportKey names the report of an owner on its set.
type reportKey struct{ set, vm string }

// announcedKey names a place among the owners of a set in another data centre.
type announcedKey struct {
	set        string
	dataCentre string
	index      int
}

// heardReport is a report with the last one under a former shard map.
type heardReport struct {
	report owner.Report
	former owner.Report
}

// under is the report of a shard map, if there is one.
func (h heardReport) under(e tier.Epoch) (owner.Report, bool) {
	switch e {
	case h.report.Epoch():
		return h.report, true
	case h.former.Epoch():
		return h.former, true
	}
	return owner.Report{}, false
}

// view is one consistent state; it never changes.
type view struct {
	sets      map[string]*tier.ShardSet
	earlier   map[string]*tier.ShardSet
	places    map[placeKey]*place
	reachable map[string]bool
}

// placeKey names a set in a data centre.
type placeKey struct{ set, dataCentre string }

// place is what is known of a set in a data centre.
type place struct {
	owners     int // how many of the candidates split the slots
	candidates []tier.VM
	reported   map[string]bool // the VMs whose reports count
	epoch      tier.Epoch
	versions   map[string][]tier.Version
}

// maxCandidates bounds the VMs listed for a set in a data centre.
const maxCandidates = 4

// New returns a locator that knows nothing.
func New(clock *tier.Clock) *Locator {
	l := &Locator{
		clock:      clock,
		sets:       map[string]*tier.ShardSet{},
		earlier:    map[string]*tier.ShardSet{},
		reports:    map[reportKey]heardReport{},
		announced:  map[announcedKey]tier.VM{},
		admitters:  map[string]*admitter.Admitter{},
		thresholds: map[reportKey]admitter.ReceivedThreshold{},
		reachable:  map[string]bool{},
	}
	l.rebuild()
	return l
}

// Update replaces the sets in force, the members and what is reachable. It
// does nothing when all are as before.
func (l *Locator) Update(sets []*tier.ShardSet, members []tier.VM, reachable func(dataCentre string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bySet := make(map[string]*tier.ShardSet, len(sets))
	for _, s := range sets {
		bySet[s.Name()] = s
	}
	now := map[string]bool{}
	for _, m := range members {
		now[m.DataCentre()] = reachable(m.DataCentre())
	}
	if maps.Equal(bySet, l.sets) && slices.Equal(members, l.members) && maps.Equal(now, l.reachable) {
		return
	}
	for name, s := range bySet {
		if old, ok := l.sets[name]; ok && old.Epoch() < s.Epoch() {
			l.earlier[name] = old
		}
	}
	l.sets, l.members, l.reachable = bySet, members, now
	l.rebuild()
}

// UpdateReport notes an owner's report, or forgets it when ok is false.
func (l *Locator) UpdateReport(set, vm string, r owner.Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := reportKey{set: set, vm: vm}
	if ok {
		last := l.reports[k]
		h := heardReport{report: r, former: last.former}
		if last.report.Epoch() < r.Epoch() {
			h.former = last.report
		}
		l.reports[k] = h
	} else {
		delete(l.reports, k)
	}
	l.rebuildSet(set)
}

// rebuild makes the next view. The caller holds mu.
func (l *Locator) rebuild() {
	v := &view{sets: l.sets, earlier: maps.Clone(l.earlier), places: map[placeKey]*place{}, reachable: l.reachable}
	for _, s := range l.sets {
		for _, d := range s.DataCentres() {
			v.places[placeKey{s.Name(), d}] = l.place(s, d)
		}
	}
	l.current.Store(v)
}

// rebuildSet makes the next view after news of one set. The caller holds mu.
func (l *Locator) rebuildSet(name string) {
	s, ok := l.sets[name]
	if !ok {
		return
	}
	last := l.current.Load()
	v := &view{sets: last.sets, earlier: last.earlier, places: maps.Clone(last.places), reachable: last.reachable}
	for _, d := range s.DataCentres() {
		v.places[placeKey{name, d}] = l.place(s, d)
	}
	l.current.Store(v)
}

// place is what is known of a set in a data centre: under the map in force
// or, until servers are known to hold that one, under the former.
func (l *Locator) place(s *tier.ShardSet, dataCentre string) *place {
	p := l.placeUnder(s, dataCentre)
	former, ok := l.earlier[s.Name()]
	if !ok || len(p.versions) > 0 {
		return p
	}
	if f := l.placeUnder(former, dataCentre); len(f.versions) > 0 {
		return f
	}
	return p
}

// placeUnder puts together what the owners of a set in a data centre report.
// The reports of VMs that only ran parts for a while do not count.
func (l *Locator) placeUnder(s *tier.ShardSet, dataCentre string) *place {
	owners := OwnerCount(s, dataCentre)
	p := &place{
		owners:     owners,
		candidates: l.candidates(s, dataCentre, owners),
		reported:   map[string]bool{},
		epoch:      s.Epoch(),
		versions:   map[string][]tier.Version{},
	}
	for _, vm := range p.candidates {
		h, ok := l.reports[reportKey{s.Name(), vm.Name()}]
		if !ok {
			continue
		}
		if r, ok := h.under(s.Epoch()); ok {
			p.merge(s, r)
			p.reported[vm.Name()] = r.HasHoldings()
		}
	}
	return p
}

// merge adds what a report lists.
func (p *place) merge(s *tier.ShardSet, r owner.Report) {
	for i, h := range s.Shards() {
		for _, v := range r.Versions(i) {
			if !slices.Contains(p.versions[h.ID()], v) {
				p.versions[h.ID()] = append(p.versions[h.ID()], v)
			}
		}
	}
}
