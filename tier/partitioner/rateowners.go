package partitioner

import (
	"cmp"
	"slices"
)

// RateOwners lists the VMs, at most count, that share a rate among themselves, by rendezvous hash
// of a key: large VMs of a region, in a data centre that is preferred if there are such, or of all
// regions if the region has none. Suspected VMs are included, so that all VMs that have read the
// same list have the same rate owners.
func (p *Partitioner) RateOwners(key, region string, preferred func(dataCentre string) bool, count int) []Member {
	list := p.large(region, true)
	if len(list) == 0 {
		for _, other := range append(p.otherRegions(), p.self.region) {
			list = append(list, p.large(other, true)...)
		}
	}
	list = preferLeafDataCentres(list, preferred)
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Compare(ownerScore(key, region, b), ownerScore(key, region, a))
	})
	return list[:min(count, len(list))]
}

// Suspected reports whether a VM is suspected to have failed, or unknown.
func (p *Partitioner) Suspected(name string) bool {
	m, ok := p.members[name]
	return !ok || m.suspected
}
