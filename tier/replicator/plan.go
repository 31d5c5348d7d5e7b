package replicator

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

// handleMembers stores the list of live VMs. Announcements of other VMs are kept but not
// used, in case the VMs become live again.
func (rp *Replicator) handleMembers(now tier.Millis, e *Members) {
	rp.localMembers = e.local
	if known := len(e.local) + len(e.remote); known > rp.knownVMs {
		rp.knownVMs = known
		rp.decideRoleAt = min(rp.startedAt+maxRoleDecisionDelay, now+roleDecisionDelay)
	}
	rp.localVMs = map[string]bool{}
	rp.liveVMs = map[string]bool{}
	for _, vm := range e.local {
		rp.localVMs[vm] = true
		rp.liveVMs[vm] = true
	}
	for _, vm := range e.remote {
		rp.liveVMs[vm] = true
	}
	for vm := range rp.announced {
		if len(rp.announced) > maxAnnouncers && !rp.liveVMs[vm] {
			delete(rp.announced, vm)
			delete(rp.retryPeerAt, vm)
		}
	}
	for key, a := range rp.alerts {
		if a.source != storeSource && !rp.liveVMs[a.source] {
			delete(rp.alerts, key)
		}
	}
}

// assumedLive reports whether the announcements of a VM are used. Before the first
// Members event those of all VMs are.
func (rp *Replicator) assumedLive(vm string) bool { return rp.liveVMs == nil || rp.liveVMs[vm] }

// selectedAsWatcher reports whether rendezvous hashing selects this VM as a watcher. A VM
// that knows no others selects itself. The hash is the one by which the gossip selects
// the contacts between data centres, so the watchers' announcements reach the other data
// centres directly.
func (rp *Replicator) selectedAsWatcher() bool {
	ownScore := rp.watcherScore(rp.name)
	higher := 0
	for _, vm := range rp.localMembers {
		if vm != rp.name && rp.watcherScore(vm) > ownScore {
			higher++
		}
	}
	return higher < rp.watchers
}

func (rp *Replicator) watcherScore(vm string) uint64 {
	return picker.Score("contact", rp.dataCentre, vm)
}

// planStoreCalls decides whether this VM is a watcher, ends its watch when it no longer
// is, and reads the store when a read is due.
func (rp *Replicator) planStoreCalls(now tier.Millis, out *actions) {
	if !rp.roleDecided && rp.awaitsPeers() {
		rp.decideRoleAt = rp.startedAt + maxRoleDecisionDelay
	}
	if !rp.roleDecided && now < rp.decideRoleAt {
		return
	}
	if selected := rp.selectedAsWatcher(); !rp.roleDecided || selected != rp.watcher {
		rp.roleDecided, rp.watcher = true, selected
		rp.changeRole(now, out)
	}
	if rp.listing || now < rp.nextListAt {
		return
	}
	rp.listing = true
	rp.counts.lists++
	rp.lastListAt = now
	out.add(&List{})
}

// awaitsPeers reports that this VM has seeds but has never known another VM.
func (rp *Replicator) awaitsPeers() bool { return rp.knownVMs <= 1 && rp.seeds > 0 }

// changeRole schedules the next read for the new role. A watcher reads soon and then
// watches; the other VMs first give peers the time to announce what they hold.
func (rp *Replicator) changeRole(now tier.Millis, out *actions) {
	if rp.watching && !rp.watcher {
		rp.watching = false
		out.add(&EndWatch{})
	}
	spread := max(minFirstReadSpread, tier.Millis(rp.knownVMs)*firstReadSpreadPerVM)
	if rp.awaitsPeers() {
		spread = isolatedReadSpread
	}
	switch {
	case rp.watcher:
		rp.scheduleRead(now + rp.upTo(spread))
	case len(rp.documents) == 0:
		rp.scheduleRead(now + peersFirstDelay + rp.upTo(spread))
	default:
		rp.scheduleRead(now + rp.jitter(nonWatcherReadPeriod))
	}
}

// upTo returns a random duration in [0, m).
func (rp *Replicator) upTo(m tier.Millis) tier.Millis { return tier.Millis(rp.random.Int64N(int64(m))) }

// scheduleRead sets the time of the next read, at least minReadGap after the last one.
func (rp *Replicator) scheduleRead(at tier.Millis) { rp.nextListAt = max(at, rp.lastListAt+minReadGap) }

// scheduleRetry schedules the next read after a failure, with exponential backoff.
func (rp *Replicator) scheduleRetry(now tier.Millis) {
	limit := maxBackoff
	switch {
	case rp.awaitsPeers():
		limit = isolatedReadSpread
	case !rp.watcher:
		limit = max(maxBackoff, tier.Millis(rp.knownVMs)*retrySpreadPerVM)
	}
	rp.failures = min(rp.failures+1, maxFailures)
	rp.scheduleRead(now + rp.jitter(min(limit, minBackoff<<(rp.failures-1))))
}

// handleWatchEnded schedules a read, which starts the next watch. A watch that lasted
// long enough resets the backoff.
func (rp *Replicator) handleWatchEnded(now tier.Millis) {
	if !rp.watching {
		return
	}
	rp.watching = false
	if now-rp.watchStartedAt >= stableWatchTime {
		rp.failures = 0
	}
	rp.scheduleRetry(now)
}

func (rp *Replicator) readPeriod() tier.Millis {
	switch {
	case !rp.watcher:
		return nonWatcherReadPeriod
	case rp.storeDiffers():
		return storeDiffersReadPeriod
	default:
		return watcherReadPeriod
	}
}

func (rp *Replicator) storeDiffers() bool {
	for _, a := range rp.alerts {
		if a.source == storeSource {
			return true
		}
	}
	return false
}
