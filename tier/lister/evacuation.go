package lister

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/picker"
)

// EvacuationRamp is the time within which a VM stops using the leafs of an evacuated data
// centre, or uses them again. It is half of what a bound of 5 s leaves for a view that is
// 2.5 s old.
const EvacuationRamp = 1200 * tier.Millisecond

// evacuation is what is known of the evacuation of one data centre.
type evacuation struct {
	inForce  bool
	revision int64       // of its key or, if not in force, up to which older writes are void
	since    tier.Millis // when this VM learnt that it is in force, or has ended
	ramping  bool        // some leafs may still have to follow
}

// evacuations are those that this VM knows, and the leafs that it leaves out for them.
type evacuations struct {
	byDataCentre map[string]*evacuation
	leftOut      map[string]bool // by store key of the registration
	inForce      int
	readAt       int64 // revision of the last read of all evacuations
}

// Evacuate begins to leave out the leafs of a data centre, one after the other within
// EvacuationRamp. Those that register from now on are left out at once. revision is that of
// the evacuation's key. It reports whether the evacuation comes into force.
func (l *Lister) Evacuate(now tier.Millis, dataCentre string, revision int64) bool {
	e, known := l.evacuations.byDataCentre[dataCentre]
	switch {
	case known && e.inForce:
		e.revision = max(e.revision, revision)
		return false
	case revision <= l.evacuations.readAt || known && revision <= e.revision:
		return false // an older write that was delivered late
	}
	l.evacuations.byDataCentre[dataCentre] = &evacuation{inForce: true, revision: revision, since: now, ramping: true}
	l.evacuations.inForce++
	return true
}

// EndEvacuation begins to use the leafs of a data centre again, in the same way. absentAt is a
// revision at which the evacuation's key was absent, or 0 if that is not known: the removal is
// then later than the write that is in force. It reports whether an evacuation has ended.
func (l *Lister) EndEvacuation(now tier.Millis, dataCentre string, absentAt int64) bool {
	e, known := l.evacuations.byDataCentre[dataCentre]
	if !known || !e.inForce || absentAt != 0 && absentAt < e.revision {
		return false
	}
	// Events of the store may be read twice. So a write of the last revision may follow on a
	// removal before it, and must count again.
	void := max(absentAt, e.revision-1)
	l.evacuations.byDataCentre[dataCentre] = &evacuation{revision: void, since: now, ramping: true}
	l.evacuations.inForce--
	return true
}

// ReplaceEvacuations replaces all evacuations by those that were read at a revision, given by
// the revisions of their keys. Later writes that are known already stay in force. It returns
// the data centres whose evacuation has begun or ended.
func (l *Lister) ReplaceEvacuations(now tier.Millis, inForce map[string]int64, readAt int64) (begun, ended []string) {
	for dataCentre := range l.evacuations.byDataCentre {
		if _, listed := inForce[dataCentre]; !listed && l.EndEvacuation(now, dataCentre, readAt) {
			ended = append(ended, dataCentre)
		}
	}
	for dataCentre, revision := range inForce {
		if l.Evacuate(now, dataCentre, revision) {
			begun = append(begun, dataCentre)
		}
	}
	l.evacuations.readAt = max(l.evacuations.readAt, readAt)
	return begun, ended
}

// Evacuations is the number of data centres that are evacuated.
func (l *Lister) Evacuations() int { return l.evacuations.inForce }

// Evacuating reports whether leafs of a data centre have still to be left out, or to be used again,
// by Tick.
func (l *Lister) Evacuating() bool {
	for _, e := range l.evacuations.byDataCentre {
		if e.ramping {
			return true
		}
	}
	return false
}

// EvacuationRevision is the revision of the key of a data centre's evacuation, or 0 if it is
// not evacuated.
func (l *Lister) EvacuationRevision(dataCentre string) int64 {
	if e, ok := l.evacuations.byDataCentre[dataCentre]; ok && e.inForce {
		return e.revision
	}
	return 0
}

// LeftOut lists the leafs of a service that are left out because their data centre is
// evacuated, in no order.
func (l *Lister) LeftOut(service string) []Leaf {
	var list []Leaf
	for _, key := range l.keysByService[service] {
		if l.evacuations.leftOut[key] {
			list = append(list, l.registrations[key].entry.leaf)
		}
	}
	return list
}

// tickEvacuations leaves out, or uses again, the leafs whose time has come.
func (l *Lister) tickEvacuations(now tier.Millis) {
	for dataCentre, e := range l.evacuations.byDataCentre {
		if !e.ramping {
			continue
		}
		for key, r := range l.registrations {
			leaf := r.entry.leaf
			if leaf.dataCentre != dataCentre || l.evacuations.leftOut[key] == e.inForce || now-e.since < evacuationDelay(leaf) {
				continue
			}
			state := StateReturned
			if e.inForce {
				state = StateEvacuated
			}
			l.setLeftOut(key, e.inForce)
			l.markStale(leaf)
			l.changes = append(l.changes, Change{leaf: leaf, state: state})
		}
		e.ramping = now-e.since < EvacuationRamp
	}
	l.rebuildStale()
}

// evacuationDelay is how long after the begin or end of an evacuation a leaf follows. It is
// the same on all VMs, so that they turn away from a leaf at about the same time.
func evacuationDelay(leaf Leaf) tier.Millis {
	const bits = 53
	fraction := float64(picker.Score("evacuation", leaf.dataCentre, leaf.id)>>(64-bits)) / (1 << bits)
	return tier.Millis(fraction * float64(EvacuationRamp))
}

// placeRegistration decides whether a new registration, or one that has moved to another data
// centre, is left out. While the leafs of a data centre return, it returns in the order of all.
func (l *Lister) placeRegistration(key string, r *registration) {
	e, known := l.evacuations.byDataCentre[r.entry.leaf.dataCentre]
	l.setLeftOut(key, known && (e.inForce || e.ramping))
}

func (l *Lister) setLeftOut(key string, leftOut bool) {
	if leftOut {
		l.evacuations.leftOut[key] = true
		return
	}
	delete(l.evacuations.leftOut, key)
}
