package replicator

import (
	"sort"

	"cicadagrade.example/tier"
)

// handleAnnounced stores what another VM announces, and raises an alert if it announces
// another state at the version that this VM serves.
func (rp *Replicator) handleAnnounced(e *Announced, out *actions) {
	refs := make(map[string]Ref, len(e.refs))
	for _, r := range e.refs {
		refs[r.key] = r
		served := rp.refOf(r.key)
		switch {
		case served.revision == 0 || !r.sameVersion(served):
		case r.digest == served.digest:
			rp.clearAlert(r.key, e.vm)
		default:
			rp.raiseAlert(Alert{kind: Forked, served: served, offered: r, source: e.vm}, out)
		}
	}
	rp.announced[e.vm] = refs
}

// newerAt lists the documents of which a VM announces a later version than this VM
// holds, sorted by key, each with the version held here. The revision is 0 if a delta
// could not be applied and the whole document is needed.
func (rp *Replicator) newerAt(vm string) []Ref {
	var out []Ref
	for key, r := range rp.announced[vm] {
		if have := rp.refOf(key); r.NewerThan(have) && !rp.rejected[r] {
			if rp.needsWhole[key] {
				have = Ref{key: key}
			}
			out = append(out, have)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out
}

// planFetch starts a fetch when one is due: from one VM at a time, chosen at random,
// preferably from this data centre.
func (rp *Replicator) planFetch(now tier.Millis, out *actions) {
	if rp.fetchingFrom != "" {
		return
	}
	local, remote, retry := rp.fetchSources(now)
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		rp.nextFetchAt = retry
		return
	}
	if rp.nextFetchAt > now+fetchSpread {
		rp.nextFetchAt = now + rp.upTo(fetchSpread)
	}
	if now < rp.nextFetchAt {
		return
	}
	rp.fetchingFrom = local[rp.random.IntN(len(local))]
	rp.nextFetchAt = never
	rp.counts.fetches++
	out.add(&Fetch{vm: rp.fetchingFrom, have: rp.newerAt(rp.fetchingFrom)})
}

// fetchSources lists the VMs that announce later versions than this VM holds, and the
// time of the next retry of those whose last fetch failed.
func (rp *Replicator) fetchSources(now tier.Millis) (local, remote []string, retry tier.Millis) {
	retry = never
	for vm := range rp.announced {
		if !rp.assumedLive(vm) || len(rp.newerAt(vm)) == 0 {
			continue
		}
		switch {
		case now < rp.retryPeerAt[vm]:
			retry = min(retry, rp.retryPeerAt[vm])
		case rp.localVMs[vm]:
			local = append(local, vm)
		default:
			remote = append(remote, vm)
		}
	}
	sort.Strings(local)
	sort.Strings(remote)
	return local, remote, retry
}

func (rp *Replicator) handleFetched(now tier.Millis, e *Fetched, out *actions) {
	if rp.fetchingFrom == e.vm {
		rp.fetchingFrom = ""
	}
	retry := fetchRetryDelay
	for _, u := range e.updates {
		s, err := rp.documents[u.ref.key].resolveUpdate(u)
		switch {
		case err == nil:
			rp.adoptIfNewer(s, e.vm, out)
		case u.delta != nil:
			rp.needsWhole[u.ref.key] = true
		default:
			retry = damagedRetryDelay
			rp.raiseAlert(Alert{kind: Damaged, served: rp.refOf(u.ref.key), offered: u.ref, source: e.vm}, out)
		}
	}
	if !rp.watcher && len(rp.documents) > 0 {
		rp.nextListAt = max(rp.nextListAt, now+rp.jitter(nonWatcherReadPeriod))
	}
	if len(rp.newerAt(e.vm)) > 0 {
		rp.retryPeerAt[e.vm] = now + rp.jitter(retry)
	}
}

func (rp *Replicator) handleFetchFailed(now tier.Millis, vm string) {
	if rp.fetchingFrom == vm {
		rp.fetchingFrom = ""
	}
	rp.retryPeerAt[vm] = now + rp.jitter(fetchRetryDelay)
}

// UpdatesFor returns the updates for a peer that lists the versions it holds; a revision
// of 0 requests the whole document. With all, the documents that it does not list are
// added.
func (rp *Replicator) UpdatesFor(have []Ref, all bool) []Update {
	var out []Update
	asked := map[string]bool{}
	for _, r := range have {
		asked[r.key] = true
		if sd, ok := rp.documents[r.key]; ok && sd.state.ref.NewerThan(r) {
			out = append(out, sd.updateFrom(r))
		}
	}
	if !all {
		return out
	}
	for _, s := range rp.Documents() {
		if !asked[s.ref.key] {
			out = append(out, rp.documents[s.ref.key].updateFrom(Ref{key: s.ref.key}))
		}
	}
	return out
}

// RefsToAnnounce lists the versions that this VM announces. Watchers announce all
// documents they hold. The other VMs announce only those of which no live VM has announced
// the same or a later version, so that a change causes few announcements in a data centre.
func (rp *Replicator) RefsToAnnounce() []Ref {
	var out []Ref
	for _, s := range rp.Documents() {
		if rp.watcher || !rp.announcedByOthers(s.ref) {
			out = append(out, s.ref)
		}
	}
	return out
}

func (rp *Replicator) announcedByOthers(r Ref) bool {
	for vm, refs := range rp.announced {
		if o, ok := refs[r.key]; ok && !r.NewerThan(o) && rp.assumedLive(vm) {
			return true
		}
	}
	return false
}
