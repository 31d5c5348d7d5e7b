package lister

// SaidLeaving records that a leaf has said in a reply that it leaves, which the store may not tell yet, or
// for long if it is away. It holds until the leaf starts again. It reports whether that is news.
func (l *Lister) SaidLeaving(service, id string, startTime int64) bool {
	for _, key := range l.keysByService[service] {
		r := l.registrations[key]
		if leaf := &r.entry.leaf; leaf.id == id && leaf.startTime == startTime && !r.leaving {
			r.leaving, leaf.leaving = true, true
			l.markStale(*leaf)
			l.addChange(*leaf)
			l.rebuildStale()
			return true
		}
	}
	return false
}
