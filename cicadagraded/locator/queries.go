package locator

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
	"cicadagrade.example/tier/dispatcher"
)

// Set returns the shard set in force with that name.
func (l *Locator) Set(name string) (*tier.ShardSet, bool) {
	s, ok := l.view.Load().sets[name]
	return s, ok
}

// Earlier returns the set with the shard map that was in force before the present one.
func (l *Locator) Earlier(name string) (*tier.ShardSet, bool) {
	s, ok := l.view.Load().earlierSets[name]
	return s, ok
}

// Versions lists the index versions of a shard that the backend servers of a data centre
// hold, and the epoch of the shard map under which they hold them.
func (l *Locator) Versions(set, dataCentre, shard string) (tier.Epoch, []tier.Version) {
	p, ok := l.view.Load().placements[placementKey{set, dataCentre}]
	if !ok {
		return 0, nil
	}
	return p.epoch, p.versions[shard]
}

// HoldingsKnown reports whether the holdings of each set are known for every data centre that
// is reachable and has candidates for the set.
func (l *Locator) HoldingsKnown() bool {
	v := l.view.Load()
	for k, p := range v.placements {
		if v.reachable[k.dataCentre] && len(p.candidates) > 0 && len(p.versions) == 0 {
			return false
		}
	}
	return true
}

// Reachable reports whether a data centre can be reached.
func (l *Locator) Reachable(dataCentre string) bool {
	return l.view.Load().reachable[dataCentre]
}

// Owners lists the VMs that may run requests to a set in a data centre, in order of
// preference. If several VMs share the slots of the set, turn selects which of them is
// first, so that a counter spreads requests over them.
func (l *Locator) Owners(set, dataCentre string, turn uint64) []tier.VM {
	v := l.view.Load()
	p, ok := v.placements[placementKey{set, dataCentre}]
	if !ok || len(p.candidates) == 0 {
		return nil
	}
	n := min(p.ownerCount, len(p.candidates))
	first := int(turn % uint64(n))
	out := make([]tier.VM, 0, len(p.candidates))
	for i := range n {
		out = append(out, p.candidates[(first+i)%n])
	}
	return l.sortByPenalty(p, append(out, p.candidates[n:]...))
}

// UpdateThreshold records the admission threshold that an owner sent with a reply or published.
func (l *Locator) UpdateThreshold(set, vm string, t admitter.Threshold) {
	l.admissionMu.Lock()
	defer l.admissionMu.Unlock()
	k := reportKey{set: set, vm: vm}
	if t.AdmitsAll() {
		delete(l.thresholds, k)
		return
	}
	l.thresholds[k] = admitter.NewReceivedThreshold(t, l.clock.Now())
}

// Admit reports whether the thresholds of the owners of a set admit a request of a rank,
// and if not, after what time the caller may retry.
func (l *Locator) Admit(set string, rank tier.Rank) (tier.Millis, bool) {
	v := l.view.Load()
	s, ok := v.sets[set]
	if !ok {
		return 0, true
	}
	l.admissionMu.Lock()
	defer l.admissionMu.Unlock()
	var all []admitter.ReceivedThreshold
	for _, d := range s.DataCentres() {
		p := v.placements[placementKey{set, d}]
		for _, vm := range p.candidates[:min(p.ownerCount, len(p.candidates))] {
			if t, ok := l.thresholds[reportKey{set, vm.Name()}]; ok {
				all = append(all, t)
			}
		}
	}
	a, ok := l.admitters[set]
	if !ok {
		a = admitter.New()
		l.admitters[set] = a
	}
	return a.Admit(l.clock.Now(), rank, all...)
}

// OwnerCount is the number of VMs in a data centre that share the slots of a set: the
// number in the set's configuration, or less if a server has not that many slots.
func OwnerCount(s *tier.ShardSet, dataCentre string) int {
	return min(s.OwnerCount(), dispatcher.MaxOwners(s, dataCentre))
}
