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
	"cicadagrade.example/tier/dispatcher"
	"cicadagrade.example/tier/picker"
)

// Locator is read by every request without waiting and changed as news come.
type Locator struct {
	clock   *tier.Clock
	current atomic.Pointer[view]

	mu        sync.Mutex
	members   []tier.VM
	sets      map[string]*tier.ShardSet
	earlier   map[string]*tier.ShardSet // the former shard map of a set
	reports   map[reportKey]heardReport
	reachable map[string]bool
	admitMu   sync.Mutex
	admitters map[string]*admitter.Admitter
	failed    sync.Map // name of a VM to the tier.Millis of its last failure
}

// reportKey names the report of an owner on its set.
type reportKey struct{ set, vm string }

// heardReport is a report with the time at which this VM heard it, and the
// last one under a former shard map.
type heardReport struct {
	report owner.Report
	former owner.Report
	heard  tier.Millis
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
	thresholds []admitter.Published
}

// maxCandidates bounds the VMs listed for a set in a data centre.
const maxCandidates = 4

// New returns a locator that knows nothing.
func New(clock *tier.Clock) *Locator {
	l := &Locator{
		clock:     clock,
		sets:      map[string]*tier.ShardSet{},
		earlier:   map[string]*tier.ShardSet{},
		reports:   map[reportKey]heardReport{},
		admitters: map[string]*admitter.Admitter{},
		reachable: map[string]bool{},
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

// Reported notes an owner's report, or forgets it when ok is false.
func (l *Locator) Reported(set, vm string, r owner.Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := reportKey{set: set, vm: vm}
	if ok {
		last := l.reports[k]
		h := heardReport{report: r, former: last.former, heard: l.clock.Now()}
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
	p := &place{
		owners:     OwnerCount(s, dataCentre),
		candidates: picker.Owners(s.Name(), dataCentre, l.members, max(maxCandidates, s.Owners())),
		reported:   map[string]bool{},
		epoch:      s.Epoch(),
		versions:   map[string][]tier.Version{},
	}
	for _, vm := range l.members {
		_, ok := l.reports[reportKey{s.Name(), vm.Name()}]
		if ok && vm.DataCentre() == dataCentre && vm.State() == tier.VMLeaving {
			p.candidates = append(p.candidates, vm)
		}
	}
	for i, vm := range p.candidates {
		h, ok := l.reports[reportKey{s.Name(), vm.Name()}]
		if !ok {
			continue
		}
		if r, ok := h.under(s.Epoch()); ok {
			p.merge(s, r)
			p.reported[vm.Name()] = r.Informed()
		}
		if i < p.owners {
			p.thresholds = append(p.thresholds, admitter.NewPublished(h.report.Threshold(), h.heard))
		}
	}
	return p
}

// merge adds what a report lists.
func (p *place) merge(s *tier.ShardSet, r owner.Report) {
	for _, h := range s.Shards() {
		for _, v := range r.Versions(h.ID()) {
			if !slices.Contains(p.versions[h.ID()], v) {
				p.versions[h.ID()] = append(p.versions[h.ID()], v)
			}
		}
	}
}

// Set finds the shard set in force.
func (l *Locator) Set(name string) (*tier.ShardSet, bool) {
	s, ok := l.current.Load().sets[name]
	return s, ok
}

// Earlier finds the shard map that was in force before the present one.
func (l *Locator) Earlier(name string) (*tier.ShardSet, bool) {
	s, ok := l.current.Load().earlier[name]
	return s, ok
}

// Versions lists the index versions of a shard that servers of a data centre
// hold, and the epoch under which they hold it.
func (l *Locator) Versions(set, dataCentre, shard string) (tier.Epoch, []tier.Version) {
	p, ok := l.current.Load().places[placeKey{set, dataCentre}]
	if !ok {
		return 0, nil
	}
	return p.epoch, p.versions[shard]
}

// Informed reports whether each set's holdings are known in every data centre
// that is reachable and has live VMs.
func (l *Locator) Informed() bool {
	v := l.current.Load()
	for k, p := range v.places {
		if v.reachable[k.dataCentre] && len(p.candidates) > 0 && len(p.versions) == 0 {
			return false
		}
	}
	return true
}

// Reachable reports whether a data centre answers.
func (l *Locator) Reachable(dataCentre string) bool {
	return l.current.Load().reachable[dataCentre]
}

// Owners lists the VMs that may run a set's parts in a data centre, the
// preferred one first. Where several split the set's slots, requests are
// spread over them by turn.
func (l *Locator) Owners(set, dataCentre string, turn uint64) []tier.VM {
	v := l.current.Load()
	p, ok := v.places[placeKey{set, dataCentre}]
	if !ok || len(p.candidates) == 0 {
		return nil
	}
	n := min(p.owners, len(p.candidates))
	first := int(turn % uint64(n))
	out := make([]tier.VM, 0, len(p.candidates))
	for i := range n {
		out = append(out, p.candidates[(first+i)%n])
	}
	return l.order(p, append(out, p.candidates[n:]...))
}

// SuspectFor is how long a VM that did not answer is asked last: gossip takes
// some seconds to tell whether it is lost.
const SuspectFor = 2 * tier.Second

// Failed notes that a VM did not answer a request.
func (l *Locator) Failed(vm string) { l.failed.Store(vm, l.clock.Now()) }

// order moves VMs that have not reported behind those that have, and VMs that
// did not answer of late behind all.
func (l *Locator) order(p *place, vms []tier.VM) []tier.VM {
	now := l.clock.Now()
	slices.SortStableFunc(vms, func(a, b tier.VM) int {
		return l.demerit(now, p, a.Name()) - l.demerit(now, p, b.Name())
	})
	return vms
}

// demerit is 0 for a VM to ask first.
func (l *Locator) demerit(now tier.Millis, p *place, vm string) int {
	at, failed := l.failed.Load(vm)
	switch {
	case failed && now-at.(tier.Millis) < SuspectFor:
		return 2
	case !p.reported[vm]:
		return 1
	default:
		return 0
	}
}

// Admit applies the thresholds that the owners of a set publish.
func (l *Locator) Admit(set string, rank tier.Rank) (tier.Millis, bool) {
	v := l.current.Load()
	s, ok := v.sets[set]
	if !ok {
		return 0, true
	}
	var all []admitter.Published
	for _, d := range s.DataCentres() {
		all = append(all, v.places[placeKey{set, d}].thresholds...)
	}
	l.admitMu.Lock()
	defer l.admitMu.Unlock()
	a, ok := l.admitters[set]
	if !ok {
		a = admitter.New()
		l.admitters[set] = a
	}
	return a.Admit(l.clock.Now(), rank, all...)
}

// OwnerCount is how many VMs of a data centre split the slots of a set: as many
// as its document says, if each server has a slot for each of them.
func OwnerCount(s *tier.ShardSet, dataCentre string) int {
	return min(s.Owners(), dispatcher.MaxOwners(s, dataCentre))
}
