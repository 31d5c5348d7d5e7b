package refresher

import (
	"slices"

	"cicadagrade.example/tier"
)

// nextJoin continues a round of a VM that has no view yet.
func (r *Refresher) nextJoin(now tier.Millis) Source {
	if !r.readsDirectly() && r.peersTried < maxPeersPerRound {
		if m, ok := r.pick(r.nearest(r.partitioner.LargeMembers(), true)); ok {
			return Peer{Member: m}
		}
	}
	storeAnswers := !r.readsStore() && (!r.storeFailed || now >= r.storeRetryAt)
	if !r.vmsListed && storeAnswers && r.partitioner.MemberCount() == 1 {
		return StoreVMs{}
	}
	if r.storeFailed {
		for _, address := range r.seeds {
			if !slices.Contains(r.tried, address) {
				return Seed{Address: address}
			}
		}
	}
	if !r.storeTried && storeAnswers && now-r.startedAt >= r.storeWait() {
		return Store{Whole: true}
	}
	if r.readsDirectly() && r.peersTried < maxPeersPerRound {
		if m, ok := r.pick(r.nearest(r.partitioner.LargeMembers(), true)); ok {
			return Peer{Member: m}
		}
	}
	return Pause{For: joinInterval, Stale: true}
}

// readsDirectly reports whether this VM, which knows others, is one of those that read the
// store when all VMs start.
func (r *Refresher) readsDirectly() bool {
	relays := r.partitioner.Relays()
	relays = relays[:min(maxDirectReaders, len(relays))]
	return r.partitioner.MemberCount() > 1 && r.place(relays) >= 0
}

// storeWait is how long after its start this VM reads the whole view from the store.
func (r *Refresher) storeWait() tier.Millis {
	if r.partitioner.MemberCount() > 1 {
		if r.readsDirectly() {
			return 0
		}
		wait := neighbourPatience + tier.Millis(r.waitFactor*float64(neighbourPatienceJitter))
		if r.neighbourLoading {
			wait *= loadingPatienceFactor
		}
		return wait
	}
	if !r.bootstrap {
		return 0
	}
	missing := max(0, 1/max(r.partitioner.Self().Cores(), 0.01)-1)
	wait := min(tier.Millis(missing*float64(bootstrapPatiencePerMissingCore)), maxBootstrapPatience)
	return wait + tier.Millis(r.waitFactor*float64(wait))
}
