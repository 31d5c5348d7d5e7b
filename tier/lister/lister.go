// Package lister keeps the list of backend servers as the store tells it:
// which are ready, leaving or gone. Without the store the last view holds.
package lister

import "cicadagrade.example/tier"

// ReturnWindow is how long after an outage of the store a lapsed entry may
// still be missing although its leaf lives: leafs write their entries again
// within about two seconds of the store's return.
const ReturnWindow = 2200 * tier.Millisecond

// Entry is one registration as read from the store.
type Entry struct {
	key      string
	leaf     Leaf
	sequence int64
	readable bool
}

// NewEntry returns the registration of a leaf under key. A higher sequence is
// newer within one life of the leaf.
func NewEntry(key string, leaf Leaf, sequence int64) Entry {
	return Entry{key: key, leaf: leaf, sequence: sequence, readable: true}
}

// UnreadableEntry returns a registration that names no leaf to use.
func UnreadableEntry(key string) Entry { return Entry{key: key} }

// Key is the entry's key in the store.
func (e Entry) Key() string { return e.key }

// Leaf is the leaf that registered.
func (e Entry) Leaf() Leaf { return e.leaf }

// Readable reports whether the entry names a leaf.
func (e Entry) Readable() bool { return e.readable }

// held is what the lister believes of one key.
type held struct {
	entry    Entry
	heard    tier.Millis
	lapsed   bool // missing since an outage, within the return window
	departed bool // announced its end in this life
}

// Lister is the list of one VM. It is not safe for concurrent use.
type Lister struct {
	entries   map[string]*held
	byService map[string][]Leaf // usable ones, by id
	ofService keys
	atAddress keys
	touched   map[string]bool // services whose list is not up to date
	changes   []Change
	away      bool
	returned  tier.Millis
	inWindow  bool
}

// Change is a difference in what may be used, for logs and for whoever keeps
// state of a leaf.
type Change struct {
	leaf  Leaf
	state string
}

// States of a Change.
const (
	StateReady   = "ready"
	StateLeaving = "leaving"
	StateGone    = "gone"
	StateLapsed  = "lapsed"
)

// Leaf is the leaf that changed.
func (c Change) Leaf() Leaf { return c.leaf }

// State is the leaf's new state.
func (c Change) State() string { return c.state }

// New returns an empty list.
func New() *Lister {
	return &Lister{
		entries: map[string]*held{}, byService: map[string][]Leaf{},
		ofService: keys{}, atAddress: keys{}, touched: map[string]bool{},
	}
}

// StoreUnavailable says that the store can't be read at the moment.
func (l *Lister) StoreUnavailable() { l.away, l.inWindow = true, false }

// Replace takes the whole list as read from the store at now.
func (l *Lister) Replace(now tier.Millis, entries []Entry) {
	l.regained(now)
	seen := make(map[string]bool, len(entries))
	for _, e := range entries {
		seen[e.key] = true
		l.put(now, e)
	}
	for key := range l.entries {
		if !seen[key] {
			l.remove(key)
		}
	}
	l.refresh()
}

// Put takes one entry that was written, and reports whether it changes what may
// be used: most writes only show that the leaf lives.
func (l *Lister) Put(now tier.Millis, e Entry) bool {
	l.regained(now)
	changed := l.put(now, e)
	l.refresh()
	return changed
}

// Remove takes the removal of a key.
func (l *Lister) Remove(now tier.Millis, key string) {
	l.regained(now)
	l.remove(key)
	l.refresh()
}

// Tick drops entries that are still missing after the return window.
func (l *Lister) Tick(now tier.Millis) {
	if !l.inWindow || l.away || now-l.returned < ReturnWindow {
		return
	}
	l.inWindow = false
	for key, h := range l.entries {
		if h.lapsed {
			l.drop(key)
		}
	}
	l.refresh()
}

func (l *Lister) regained(now tier.Millis) {
	if l.away {
		l.away, l.inWindow, l.returned = false, true, now
	}
}

// put reports whether what may be used has changed.
func (l *Lister) put(now tier.Millis, e Entry) bool {
	old, known := l.entries[e.key]
	if !e.readable {
		if known {
			l.drop(e.key)
		}
		return known
	}
	if !known {
		l.hold(e.key, &held{entry: e, heard: now, departed: e.leaf.leaving})
		l.note(e.leaf)
		return true
	}
	same := old.entry.leaf.born == e.leaf.born
	if same && e.sequence < old.entry.sequence || e.leaf.born < old.entry.leaf.born {
		return false // a write that came late
	}
	departed := e.leaf.leaving || same && old.departed
	e.leaf.leaving = departed
	changed := old.lapsed || !old.entry.leaf.sameBut(e.leaf)
	report := old.lapsed || !same || old.departed != departed || old.entry.leaf.address != e.leaf.address
	if changed || len(l.atAddress[e.leaf.address]) > 1 {
		l.hold(e.key, &held{entry: e, heard: now, departed: departed})
	} else {
		*old = held{entry: e, heard: now, departed: departed}
	}
	if report {
		l.note(e.leaf)
	}
	return changed
}

func (l *Lister) note(f Leaf) {
	state := StateReady
	if f.leaving {
		state = StateLeaving
	}
	l.changes = append(l.changes, Change{leaf: f, state: state})
}

func (l *Lister) remove(key string) {
	h, known := l.entries[key]
	if !known || h.lapsed {
		return
	}
	if l.inWindow && !h.departed {
		h.lapsed = true
		l.touch(h.entry.leaf)
		l.changes = append(l.changes, Change{leaf: h.entry.leaf, state: StateLapsed})
		return
	}
	l.drop(key)
}

func (l *Lister) drop(key string) {
	l.changes = append(l.changes, Change{leaf: l.entries[key].entry.leaf, state: StateGone})
	l.hold(key, nil)
}

// Leafs are the usable leafs of a service. The slice is the lister's own.
func (l *Lister) Leafs(service string) []Leaf { return l.byService[service] }

// UsableCount is the number of leafs that may be used.
func (l *Lister) UsableCount() int {
	n := 0
	for _, list := range l.byService {
		n += len(list)
	}
	return n
}

// Len is the number of entries, usable or not.
func (l *Lister) Len() int { return len(l.entries) }

// TakeChanges returns what has changed since the last call.
func (l *Lister) TakeChanges() []Change {
	c := l.changes
	l.changes = nil
	return c
}
