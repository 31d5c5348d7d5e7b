package locator

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/admitter"
	"cicadagrade.example/tier/dispatcher"
)

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

// HoldingsKnown reports whether each set's holdings are known in every data centre
// that is reachable and has live VMs.
func (l *Locator) HoldingsKnown() bool {
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

// UpdateThreshold notes the threshold that an owner gave with a reply or a report.
func (l *Locator) UpdateThreshold(set, vm string, t admitter.Threshold) {
	l.admitMu.Lock()
	defer l.admitMu.Unlock()
	k := reportKey{set: set, vm: vm}
	if t.AdmitsAll() {
		delete(l.thresholds, k)
		return
	}
	l.thresholds[k] = admitter.NewReceivedThreshold(t, l.clock.Now())
}

// Admit applies the thresholds that the owners of a set publish.
func (l *Locator) Admit(set string, rank tier.Rank) (tier.Millis, bool) {
	v := l.current.Load()
	s, ok := v.sets[set]
	if !ok {
		return 0, true
	}
	l.admitMu.Lock()
	defer l.admitMu.Unlock()
	var all []admitter.ReceivedThreshold
	for _, d := range s.DataCentres() {
		p := v.places[placeKey{set, d}]
		for _, vm := range p.candidates[:min(p.owners, len(p.candidates))] {
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

// OwnerCount is how many VMs of a data centre split the slots of a set: as many
// as its document says, if each server has a slot for each of them.
func OwnerCount(s *tier.ShardSet, dataCentre string) int {
	return min(s.OwnerCount(), dispatcher.MaxOwners(s, dataCentre))
}
