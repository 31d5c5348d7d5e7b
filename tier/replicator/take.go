package replicator

import "cicadagrade.example/tier"

// offer takes a state if it is later than what is served and descends from
// it, so that nothing reverts.
func (k *Replicator) offer(s *State, source string, out *actions) {
	h, ok := k.documents[s.ref.key]
	if !ok {
		h = &held{}
		k.documents[s.ref.key] = h
		k.take(h, s, source, out)
		return
	}
	served := h.state
	switch {
	case !s.ref.NewerThan(served.ref):
		k.older(s, served, source, out)
	case s.ref.epoch == served.ref.epoch && !s.DescendsFrom(served):
		k.refused[s.ref] = true
		k.raise(Alert{trouble: Forked, served: served.ref, seen: s.ref, source: source}, out)
	default:
		k.take(h, s, source, out)
	}
}

func (k *Replicator) take(h *held, s *State, source string, out *actions) {
	h.take(s)
	k.counts.took++
	delete(k.wholeOnly, s.ref.key)
	for r := range k.refused {
		if r.key == s.ref.key {
			delete(k.refused, r)
		}
	}
	if f, ok := k.flags[s.ref.key]; ok && f.settledBy(s.ref, source) {
		delete(k.flags, s.ref.key)
	}
	out.add(&Adopted{state: s})
}

// settledBy reports that a state that came into force ends the trouble.
func (f Alert) settledBy(r Ref, source string) bool {
	readable := f.trouble == Damaged && !f.seen.NewerThan(r)
	return f.source == source || r.epoch > f.served.epoch || readable
}

// older compares a state that is not later with what is served. The store
// has caught up, is behind, or holds another change at the same revision.
func (k *Replicator) older(s, served *State, source string, out *actions) {
	level := s.ref.level(served.ref)
	same := level && s.LastEntry().change == served.LastEntry().change
	switch {
	case same:
		k.clear(s.ref.key, source)
	case level:
		k.refused[s.ref] = true
		k.raise(Alert{trouble: Forked, served: served.ref, seen: s.ref, source: source}, out)
	case source == storeSource:
		k.raise(Alert{trouble: StoreBehind, served: served.ref, seen: s.ref, source: source}, out)
	}
}

// raise keeps a flag for the document and warns when it is new.
func (k *Replicator) raise(f Alert, out *actions) {
	k.counts.refused++
	old, ok := k.flags[f.served.key]
	k.flags[f.served.key] = f
	if !ok || old.trouble != f.trouble || old.seen != f.seen {
		out.add(&AlertRaised{flag: f})
	}
}

// clear drops a flag that came from the same source.
func (k *Replicator) clear(key, source string) {
	if f, ok := k.flags[key]; ok && f.source == source {
		delete(k.flags, key)
	}
}

// seen handles what the store shows under a key.
func (k *Replicator) seen(key string, data []byte, present bool, out *actions) {
	served := k.refOf(key)
	if !present {
		if served.revision > 0 {
			k.raise(Alert{trouble: StoreBehind, served: served, seen: Ref{key: key}, source: storeSource}, out)
		}
		return
	}
	s, err := Decode(key, data)
	if err != nil {
		k.raise(Alert{trouble: Damaged, served: served, seen: Ref{key: key}, source: storeSource}, out)
		return
	}
	k.offer(s, storeSource, out)
}

// listed handles a read of every key: what is missing there is behind.
func (k *Replicator) listed(now tier.Millis, e *Listed, out *actions) {
	k.listing = false
	if !k.watcher {
		k.failures = 0
	}
	shown := map[string]bool{}
	from := int64(0)
	for _, v := range e.values {
		shown[v.Key()] = true
		from = max(from, v.Revision())
		k.seen(v.Key(), v.Data(), v.Present(), out)
	}
	for _, s := range k.Documents() {
		if !shown[s.ref.key] {
			k.seen(s.ref.key, nil, false, out)
		}
	}
	k.readAt(now + k.jitter(k.readPeriod()))
	if k.watcher && !k.watching {
		k.watching, k.watchedAt = true, now
		k.counts.watches++
		out.add(&Watch{from: from})
	}
}
