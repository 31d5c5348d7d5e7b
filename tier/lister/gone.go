package lister

import "cicadagrade.example/tier"

// goneMemory is how long a removed entry is remembered: longer than the time that a copy of the store
// may lie back.
const goneMemory = 1 * tier.Minute

// goneEntry is what is kept of a removed entry.
type goneEntry struct {
	startTime int64
	sequence  int64
	leaving   bool
	at        tier.Millis // of the removal
}

// hasLeft reports whether an entry is one that was removed, and not written again since.
func (l *Lister) hasLeft(e Entry) bool {
	gone, ok := l.gone[e.key]
	return ok && e.readable && e.leaf.startTime == gone.startTime && e.sequence <= gone.sequence
}

// forgetGone drops what is older than goneMemory.
func (l *Lister) forgetGone(now tier.Millis) {
	for key, gone := range l.gone {
		if now-gone.at >= goneMemory {
			delete(l.gone, key)
		}
	}
}
