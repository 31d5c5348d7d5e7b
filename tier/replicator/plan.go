package replicator

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

// setMembers takes the live VMs. What the others announced is kept, in case
// they become live, but not used.
func (k *Replicator) setMembers(now tier.Millis, e *Members) {
	k.members = e.local
	if known := len(e.local) + len(e.remote); known > k.fleet {
		k.fleet = known
		k.settleAt = min(k.startedAt+maxSettleTime, now+settleTime)
	}
	k.local = map[string]bool{}
	k.live = map[string]bool{}
	for _, vm := range e.local {
		k.local[vm] = true
		k.live[vm] = true
	}
	for _, vm := range e.remote {
		k.live[vm] = true
	}
	for vm := range k.announced {
		if len(k.announced) > maxAnnounced && !k.live[vm] {
			delete(k.announced, vm)
			delete(k.badPeers, vm)
		}
	}
	for key, f := range k.flags {
		if f.source != storeSource && !k.live[f.source] {
			delete(k.flags, key)
		}
	}
}

// usable reports whether what a VM announced counts; before members are told,
// all count.
func (k *Replicator) usable(vm string) bool { return k.live == nil || k.live[vm] }

// picked reports whether rendezvous hashing makes this VM a watcher. Alone
// or untold, it is one. The score is that of the gossip's contacts, whose
// announcements reach the other data centres.
func (k *Replicator) picked() bool {
	mine := k.score(k.name)
	above := 0
	for _, vm := range k.members {
		if vm != k.name && k.score(vm) > mine {
			above++
		}
	}
	return above < k.watchers
}

func (k *Replicator) score(vm string) uint64 { return picker.Score("contact", k.dataCentre, vm) }

// planStore starts and ends the watch and reads when it is time.
func (k *Replicator) planStore(now tier.Millis, out *actions) {
	if !k.settled && k.alone() {
		k.settleAt = k.startedAt + maxSettleTime
	}
	if !k.settled && now < k.settleAt {
		return
	}
	if picked := k.picked(); !k.settled || picked != k.watcher {
		k.settled, k.watcher = true, picked
		k.changeRole(now, out)
	}
	if k.listing || now < k.listAt {
		return
	}
	k.listing = true
	k.counts.lists++
	k.lastList = now
	out.add(&List{})
}

// alone reports that this VM has never heard of others that it should know.
func (k *Replicator) alone() bool { return k.fleet <= 1 && k.seeds > 0 }

// changeRole sets the time of the next read. A watcher reads soon, then
// watches; the others leave peers the time to announce what they hold.
func (k *Replicator) changeRole(now tier.Millis, out *actions) {
	if k.watching && !k.watcher {
		k.watching = false
		out.add(&EndWatch{})
	}
	spread := max(minReadSpread, tier.Millis(k.fleet)*readSpreadPerVM)
	if k.alone() {
		spread = aloneReadSpread
	}
	switch {
	case k.watcher:
		k.readAt(now + k.random64(spread))
	case len(k.documents) == 0:
		k.readAt(now + peersFirst + k.random64(spread))
	default:
		k.readAt(now + k.jitter(otherReadPeriod))
	}
}

func (k *Replicator) random64(m tier.Millis) tier.Millis {
	return tier.Millis(k.random.Int64N(int64(m)))
}

// readAt sets the time of the next read, at least minReadGap after the last.
func (k *Replicator) readAt(at tier.Millis) { k.listAt = max(at, k.lastList+minReadGap) }

// retryStore sets the time of the next read after a failure.
func (k *Replicator) retryStore(now tier.Millis) {
	limit := maxBackoff
	switch {
	case k.alone():
		limit = aloneReadSpread
	case !k.watcher:
		limit = max(maxBackoff, tier.Millis(k.fleet)*retrySpreadPerVM)
	}
	k.failures = min(k.failures+1, maxFailures)
	k.readAt(now + k.jitter(min(limit, minBackoff<<(k.failures-1))))
}

// watchEnded has the store read again; a watch that lasted resets the
// backoff.
func (k *Replicator) watchEnded(now tier.Millis) {
	if !k.watching {
		return
	}
	k.watching = false
	if now-k.watchedAt >= steadyWatch {
		k.failures = 0
	}
	k.retryStore(now)
}

func (k *Replicator) readPeriod() tier.Millis {
	switch {
	case !k.watcher:
		return otherReadPeriod
	case k.storeDiffers():
		return differsReadPeriod
	default:
		return watcherReadPeriod
	}
}

func (k *Replicator) storeDiffers() bool {
	for _, f := range k.flags {
		if f.source == storeSource {
			return true
		}
	}
	return false
}
