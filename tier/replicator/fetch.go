package replicator

import (
	"sort"

	"cicadagrade.example/tier"
)

// hear takes what another VM announces.
func (k *Replicator) hear(e *Announced, out *actions) {
	refs := make(map[string]Ref, len(e.refs))
	for _, r := range e.refs {
		refs[r.key] = r
		served := k.refOf(r.key)
		switch {
		case served.revision == 0 || !r.level(served):
		case r.digest == served.digest:
			k.clear(r.key, e.vm)
		default:
			k.raise(Alert{trouble: Forked, served: served, seen: r, source: e.vm}, out)
		}
	}
	k.announced[e.vm] = refs
}

// wanted lists what a VM announces and this VM lacks, sorted by key, with
// what is held of each.
func (k *Replicator) wanted(vm string) []Ref {
	var out []Ref
	for key, r := range k.announced[vm] {
		if have := k.refOf(key); r.NewerThan(have) && !k.refused[r] {
			if k.wholeOnly[key] {
				have = Ref{key: key}
			}
			out = append(out, have)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out
}

// planFetch asks one VM at a time, preferring those of this data centre.
func (k *Replicator) planFetch(now tier.Millis, out *actions) {
	if k.fetching != "" {
		return
	}
	local, remote, retry := k.sources(now)
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		k.fetchAt = retry
		return
	}
	if k.fetchAt > now+fetchSpread {
		k.fetchAt = now + k.random64(fetchSpread)
	}
	if now < k.fetchAt {
		return
	}
	k.fetching = local[k.random.IntN(len(local))]
	k.fetchAt = never
	k.counts.fetches++
	out.add(&Fetch{vm: k.fetching, have: k.wanted(k.fetching)})
}

// sources lists the VMs that hold what this VM lacks, and when to look again
// at those that failed.
func (k *Replicator) sources(now tier.Millis) (local, remote []string, retry tier.Millis) {
	retry = never
	for vm := range k.announced {
		if !k.usable(vm) || len(k.wanted(vm)) == 0 {
			continue
		}
		switch {
		case now < k.badPeers[vm]:
			retry = min(retry, k.badPeers[vm])
		case k.local[vm]:
			local = append(local, vm)
		default:
			remote = append(remote, vm)
		}
	}
	sort.Strings(local)
	sort.Strings(remote)
	return local, remote, retry
}

func (k *Replicator) fetched(now tier.Millis, e *Fetched, out *actions) {
	if k.fetching == e.vm {
		k.fetching = ""
	}
	retry := fetchRetry
	for _, u := range e.updates {
		s, err := k.documents[u.ref.key].resolve(u)
		switch {
		case err == nil:
			k.offer(s, e.vm, out)
		case u.delta != nil:
			k.wholeOnly[u.ref.key] = true
		default:
			retry = damagedRetry
			k.raise(Alert{trouble: Damaged, served: k.refOf(u.ref.key), seen: u.ref, source: e.vm}, out)
		}
	}
	if !k.watcher && len(k.documents) > 0 {
		k.listAt = max(k.listAt, now+k.jitter(otherReadPeriod))
	}
	if len(k.wanted(e.vm)) > 0 {
		k.badPeers[e.vm] = now + k.jitter(retry)
	}
}

func (k *Replicator) fetchFailed(now tier.Millis, vm string) {
	if k.fetching == vm {
		k.fetching = ""
	}
	k.badPeers[vm] = now + k.jitter(fetchRetry)
}

// UpdatesFor returns the updates for a peer that names what it holds: a revision
// of 0 asks for the whole document. With all, every other document comes
// too.
func (k *Replicator) UpdatesFor(have []Ref, all bool) []Update {
	var out []Update
	asked := map[string]bool{}
	for _, r := range have {
		asked[r.key] = true
		if h, ok := k.documents[r.key]; ok && h.state.ref.NewerThan(r) {
			out = append(out, h.update(r))
		}
	}
	if !all {
		return out
	}
	for _, s := range k.Documents() {
		if !asked[s.ref.key] {
			out = append(out, k.documents[s.ref.key].update(Ref{key: s.ref.key}))
		}
	}
	return out
}

// RefsToAnnounce lists the refs that this VM announces. Watchers announce all they
// hold; the others only what no live VM has announced as high, so that a
// change costs a data centre few announcements.
func (k *Replicator) RefsToAnnounce() []Ref {
	var out []Ref
	for _, s := range k.Documents() {
		if k.watcher || !k.announcedByOthers(s.ref) {
			out = append(out, s.ref)
		}
	}
	return out
}

func (k *Replicator) announcedByOthers(r Ref) bool {
	for vm, refs := range k.announced {
		if o, ok := refs[r.key]; ok && !r.NewerThan(o) && k.usable(vm) {
			return true
		}
	}
	return false
}
