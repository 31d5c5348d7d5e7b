// Package lister tracks the backend servers that are registered in the store, and
// which of them may be called. While the store is unavailable the last known list
// stays in use.
package lister

import "cicadagrade.example/tier"

// ReturnWindow is how long after a store outage a missing entry is still used: its
// leaf may be running and not have registered again yet. Leafs do so within about
// two seconds of the end of the outage.
const ReturnWindow = 2200 * tier.Millisecond

// Entry is a registration as read from the store.
type Entry struct {
	key      string
	leaf     Leaf
	sequence int64
	readable bool
}

// NewEntry returns the registration of a leaf under a store key. Of two entries from
// the same start of a leaf, the one with the higher sequence is newer.
func NewEntry(key string, leaf Leaf, sequence int64) Entry {
	return Entry{key: key, leaf: leaf, sequence: sequence, readable: true}
}

// UnreadableEntry returns an entry whose value could not be decoded. The key has no
// usable leaf.
func UnreadableEntry(key string) Entry { return Entry{key: key} }

// Key is its key in the store.
func (e Entry) Key() string { return e.key }

// Leaf is the leaf that registered.
func (e Entry) Leaf() Leaf { return e.leaf }

// Readable reports whether the value could be decoded.
func (e Entry) Readable() bool { return e.readable }

// registration is the known state of a store key.
type registration struct {
	entry      Entry
	receivedAt tier.Millis
	lapsed     bool // missing since an outage, but within ReturnWindow of its end
	leaving    bool // shutdown announced since the last start
}

// Lister is one VM's view of the registered leafs. It is not safe for concurrent
// use.
type Lister struct {
	registrations   map[string]*registration // by store key
	usableByService map[string][]Leaf        // sorted by id
	keysByService   keysByName
	keysByAddress   keysByName
	staleServices   map[string]bool // services whose usable leafs have to be listed again
	changes         []Change
	storeDown       bool
	storeBackAt     tier.Millis // end of the last outage
	inReturnWindow  bool
	evacuations     evacuations
	gone            map[string]goneEntry // entries that were removed less than goneMemory ago, by key
	fromCopy        bool                 // the next list is that of a store that has returned from a copy
}

// Change is a change of a leaf's state, for logs and for code that keeps state for
// each leaf.
type Change struct {
	leaf  Leaf
	state string
}

// Values of Change.State.
const (
	StateReady   = "ready"
	StateLeaving = "leaving"
	StateGone    = "gone"
	StateLapsed  = "lapsed" // missing after an outage, still used

	StateEvacuated = "evacuated" // left out, as its data centre is evacuated
	StateReturned  = "returned"  // used again after that
)

// Leaf is the leaf that changed.
func (c Change) Leaf() Leaf { return c.leaf }

// State is its new state.
func (c Change) State() string { return c.state }

// New returns an empty list.
func New() *Lister {
	return &Lister{
		registrations: map[string]*registration{}, usableByService: map[string][]Leaf{},
		keysByService: keysByName{}, keysByAddress: keysByName{}, staleServices: map[string]bool{},
		gone: map[string]goneEntry{}, evacuations: evacuations{byDataCentre: map[string]*evacuation{}, leftOut: map[string]bool{}},
	}
}

// StoreUnavailable records that the store cannot be read.
func (l *Lister) StoreUnavailable() { l.storeDown, l.inReturnWindow = true, false }

// StoreReturned records that the store has returned from a copy: the next list may lack leafs that
// have registered since, and may have such as have left.
func (l *Lister) StoreReturned() {
	l.StoreUnavailable()
	l.fromCopy = true
}

// Replace replaces the whole list by the entries in the store.
func (l *Lister) Replace(now tier.Millis, entries []Entry) {
	l.storeReadAgain(now)
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		if l.fromCopy && l.hasLeft(e) {
			continue
		}
		seen[e.key] = true
		l.put(now, e)
	}
	l.fromCopy = false
	for key := range l.registrations {
		if !seen[key] {
			l.remove(now, key)
		}
	}
	l.rebuildStale()
}

// Put updates one entry. It reports whether the usable leafs may change, which most
// writes do not cause: they only renew a registration.
func (l *Lister) Put(now tier.Millis, e Entry) bool {
	l.storeReadAgain(now)
	changed := l.put(now, e)
	l.rebuildStale()
	return changed
}

// Remove handles the removal of a key from the store.
func (l *Lister) Remove(now tier.Millis, key string) {
	l.storeReadAgain(now)
	l.remove(now, key)
	l.rebuildStale()
}

// Tick drops the lapsed entries once ReturnWindow is over, and continues the evacuations of
// data centres.
func (l *Lister) Tick(now tier.Millis) {
	l.tickEvacuations(now)
	l.forgetGone(now)
	if !l.inReturnWindow || l.storeDown || now-l.storeBackAt < ReturnWindow {
		return
	}
	l.inReturnWindow = false
	for key, r := range l.registrations {
		if r.lapsed {
			l.drop(key)
		}
	}
	l.rebuildStale()
}

// storeReadAgain ends an outage and starts ReturnWindow.
func (l *Lister) storeReadAgain(now tier.Millis) {
	if l.storeDown {
		l.storeDown, l.inReturnWindow, l.storeBackAt = false, true, now
	}
}

// put reports whether the usable leafs may change.
func (l *Lister) put(now tier.Millis, e Entry) bool {
	old, known := l.registrations[e.key]
	if !e.readable {
		if known {
			l.drop(e.key)
		}
		return known
	}
	if !known {
		gone, left := l.gone[e.key]
		e.leaf.leaving = e.leaf.leaving || left && gone.leaving && gone.startTime == e.leaf.startTime
		l.setRegistration(e.key, &registration{entry: e, receivedAt: now, leaving: e.leaf.leaving})
		l.addChange(e.leaf)
		return true
	}
	sameStart := old.entry.leaf.startTime == e.leaf.startTime
	if sameStart && e.sequence < old.entry.sequence || e.leaf.startTime < old.entry.leaf.startTime {
		return false // an older write that was delivered late
	}
	leaving := e.leaf.leaving || sameStart && old.leaving
	e.leaf.leaving = leaving
	changed := old.lapsed || !old.entry.leaf.equalIgnoringCold(e.leaf)
	report := old.lapsed || !sameStart || old.leaving != leaving || old.entry.leaf.address != e.leaf.address
	if changed || len(l.keysByAddress[e.leaf.address]) > 1 {
		l.setRegistration(e.key, &registration{entry: e, receivedAt: now, leaving: leaving})
	} else {
		*old = registration{entry: e, receivedAt: now, leaving: leaving}
	}
	if report {
		l.addChange(e.leaf)
	}
	return changed
}

func (l *Lister) addChange(leaf Leaf) {
	state := StateReady
	if leaf.leaving {
		state = StateLeaving
	}
	l.changes = append(l.changes, Change{leaf: leaf, state: state})
}

func (l *Lister) remove(now tier.Millis, key string) {
	r, known := l.registrations[key]
	if !known || r.lapsed {
		return
	}
	if l.inReturnWindow && !r.leaving {
		r.lapsed = true
		l.markStale(r.entry.leaf)
		l.changes = append(l.changes, Change{leaf: r.entry.leaf, state: StateLapsed})
		return
	}
	l.gone[key] = goneEntry{startTime: r.entry.leaf.startTime, sequence: r.entry.sequence, leaving: r.leaving, at: now}
	l.drop(key)
}

func (l *Lister) drop(key string) {
	l.changes = append(l.changes, Change{leaf: l.registrations[key].entry.leaf, state: StateGone})
	l.setRegistration(key, nil)
}

// IsNewer reports whether an entry is a registration that is not known yet.
func (l *Lister) IsNewer(e Entry) bool {
	old, known := l.registrations[e.key]
	if !known || !e.readable {
		return e.readable
	}
	start, oldStart := e.leaf.startTime, old.entry.leaf.startTime
	return start > oldStart || start == oldStart && e.sequence > old.entry.sequence
}

// Leafs are the usable leafs of a service, by id. The caller must not modify the
// slice.
func (l *Lister) Leafs(service string) []Leaf { return l.usableByService[service] }

// Usable lists the usable leafs of all services, in no order.
func (l *Lister) Usable() []Leaf {
	list := make([]Leaf, 0, len(l.registrations))
	for _, leafs := range l.usableByService {
		list = append(list, leafs...)
	}
	return list
}

// Leaf is the leaf registered under a key, usable or not.
func (l *Lister) Leaf(key string) (Leaf, bool) {
	r, ok := l.registrations[key]
	if !ok {
		return Leaf{}, false
	}
	return r.entry.leaf, true
}

// UsableCount is the number of usable leafs.
func (l *Lister) UsableCount() int {
	count := 0
	for _, list := range l.usableByService {
		count += len(list)
	}
	return count
}

// Len is the number of entries, usable or not.
func (l *Lister) Len() int { return len(l.registrations) }

// TakeChanges returns the changes since the last call.
func (l *Lister) TakeChanges() []Change {
	c := l.changes
	l.changes = nil
	return c
}
