package refresher

import (
	"slices"

	"cicadagrade.example/tier/partitioner"
)

// pickRelay picks at random the next VM to copy from. A watcher asks those before it, any
// other relay the watchers, those of its region first; if these fail or have an old view, any relays,
// near or far: each may be the one that the store answers. A VM that is no relay asks the relays near it
// first.
func (r *Refresher) pickRelay(relays []partitioner.Member, rank int) (partitioner.Member, bool) {
	if r.peersTried >= maxPeersPerRound {
		return partitioner.Member{}, false
	}
	if r.peersTried > 0 {
		return r.pick(r.untried(relays))
	}
	candidates := relays
	if rank > 0 {
		candidates = relays[:min(rank, len(r.partitioner.StoreWatchers()))]
	}
	return r.pick(r.nearest(candidates, rank < 0))
}

// untried returns the candidates other than this VM that were not tried in this round.
func (r *Refresher) untried(candidates []partitioner.Member) []partitioner.Member {
	self := r.partitioner.Self().VM().Name()
	return slices.DeleteFunc(slices.Clone(candidates), func(m partitioner.Member) bool {
		return m.VM().Name() == self || slices.Contains(r.tried, m.VM().Name())
	})
}

// nearest returns the untried candidates that are in this VM's data centre (if wanted), else those in
// its region, else all of them.
func (r *Refresher) nearest(candidates []partitioner.Member, inDataCentre bool) []partitioner.Member {
	self := r.partitioner.Self()
	left := r.untried(candidates)
	var sameRegion, sameDataCentre []partitioner.Member
	for _, m := range left {
		if m.Region() != self.Region() {
			continue
		}
		sameRegion = append(sameRegion, m)
		if m.VM().DataCentre() == self.VM().DataCentre() {
			sameDataCentre = append(sameDataCentre, m)
		}
	}
	switch {
	case inDataCentre && len(sameDataCentre) > 0:
		return sameDataCentre
	case len(sameRegion) > 0:
		return sameRegion
	}
	return left
}

func (r *Refresher) pick(list []partitioner.Member) (partitioner.Member, bool) {
	if len(list) == 0 {
		return partitioner.Member{}, false
	}
	return list[int(r.random()*float64(len(list)))%len(list)], true
}

// Announce has the VM with a name asked next, however fresh this VM's view is: it has told of a newer
// configuration. The store may have lost that one, so that no other source has it.
func (r *Refresher) Announce(name string) { r.announced = name }

// takeAnnounced returns the VM that was announced last, once, unless it was asked in this round or
// can't be reached.
func (r *Refresher) takeAnnounced() (partitioner.Member, bool) {
	name := r.announced
	r.announced = ""
	if name == "" {
		return partitioner.Member{}, false
	}
	list := r.untried(r.partitioner.ReachablePeers())
	i := slices.IndexFunc(list, func(m partitioner.Member) bool { return m.VM().Name() == name })
	if i < 0 {
		return partitioner.Member{}, false
	}
	return list[i], true
}
