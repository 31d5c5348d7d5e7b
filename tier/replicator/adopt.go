package replicator

import "cicadagrade.example/tier"

// adoptIfNewer adopts a state if it is later than the served one and descends from it, so
// that no change is reverted.
func (rp *Replicator) adoptIfNewer(s *State, source string, out *actions) {
	sd, ok := rp.documents[s.ref.key]
	if !ok {
		sd = &servedDocument{}
		rp.documents[s.ref.key] = sd
		rp.adopt(sd, s, source, out)
		return
	}
	served := sd.state
	switch {
	case !s.ref.NewerThan(served.ref):
		rp.handleNotNewer(s, served, source, out)
	case s.ref.epoch == served.ref.epoch && !s.DescendsFrom(served):
		rp.rejected[s.ref] = true
		rp.raiseAlert(Alert{kind: Forked, served: served.ref, offered: s.ref, source: source}, out)
	default:
		rp.adopt(sd, s, source, out)
	}
}

func (rp *Replicator) adopt(sd *servedDocument, s *State, source string, out *actions) {
	sd.replace(s)
	rp.counts.adopted++
	delete(rp.needsWhole, s.ref.key)
	for r := range rp.rejected {
		if r.key == s.ref.key {
			delete(rp.rejected, r)
		}
	}
	if a, ok := rp.alerts[s.ref.key]; ok && a.clearedBy(s.ref, source) {
		delete(rp.alerts, s.ref.key)
	}
	out.add(&Adopted{state: s})
}

// clearedBy reports whether adopting a state resolves the alert.
func (a Alert) clearedBy(r Ref, source string) bool {
	readable := a.kind == Damaged && !a.offered.NewerThan(r)
	return a.source == source || r.epoch > a.served.epoch || readable
}

// handleNotNewer handles a state that is not later than the served one: its source has
// caught up, has another change at the same version (a fork), or is the store and is
// behind.
func (rp *Replicator) handleNotNewer(s, served *State, source string, out *actions) {
	sameVersion := s.ref.sameVersion(served.ref)
	sameChange := sameVersion && s.LastEntry().changeID == served.LastEntry().changeID
	switch {
	case sameChange:
		rp.clearAlert(s.ref.key, source)
	case sameVersion:
		rp.rejected[s.ref] = true
		rp.raiseAlert(Alert{kind: Forked, served: served.ref, offered: s.ref, source: source}, out)
	case source == storeSource:
		rp.raiseAlert(Alert{kind: StoreBehind, served: served.ref, offered: s.ref, source: source}, out)
	}
}

// raiseAlert records an alert for the document and reports it if it is new.
func (rp *Replicator) raiseAlert(a Alert, out *actions) {
	rp.counts.rejected++
	previous, ok := rp.alerts[a.served.key]
	rp.alerts[a.served.key] = a
	if !ok || previous.kind != a.kind || previous.offered != a.offered {
		out.add(&AlertRaised{alert: a})
	}
}

// clearAlert removes a document's alert if it came from this source.
func (rp *Replicator) clearAlert(key, source string) {
	if a, ok := rp.alerts[key]; ok && a.source == source {
		delete(rp.alerts, key)
	}
}

// handleStoreValue handles a value that the store shows under a key.
func (rp *Replicator) handleStoreValue(key string, data []byte, present bool, out *actions) {
	served := rp.refOf(key)
	if !present {
		if served.revision > 0 {
			rp.raiseAlert(Alert{kind: StoreBehind, served: served, offered: Ref{key: key}, source: storeSource}, out)
		}
		return
	}
	s, err := Decode(key, data)
	if err != nil {
		rp.raiseAlert(Alert{kind: Damaged, served: served, offered: Ref{key: key}, source: storeSource}, out)
		return
	}
	rp.adoptIfNewer(s, storeSource, out)
}

// handleListed handles a read of all configuration keys. A served document that is
// missing from the list raises an alert. A watcher starts its watch at the highest
// revision read.
func (rp *Replicator) handleListed(now tier.Millis, e *Listed, out *actions) {
	rp.listing = false
	if !rp.watcher {
		rp.failures = 0
	}
	inStore := map[string]bool{}
	from := int64(0)
	for _, v := range e.values {
		inStore[v.Key()] = true
		from = max(from, v.Revision())
		rp.handleStoreValue(v.Key(), v.Data(), v.Present(), out)
	}
	for _, s := range rp.Documents() {
		if !inStore[s.ref.key] {
			rp.handleStoreValue(s.ref.key, nil, false, out)
		}
	}
	rp.scheduleRead(now + rp.jitter(rp.readPeriod()))
	if rp.watcher && !rp.watching {
		rp.watching, rp.watchStartedAt = true, now
		rp.counts.watches++
		out.add(&Watch{from: from})
	}
}
