package lister

import (
	"slices"
	"strings"
)

// keysByName holds the store keys of registrations with a common property, such as
// an address.
type keysByName map[string][]string

func (k keysByName) add(name, key string) {
	if !slices.Contains(k[name], key) {
		k[name] = append(k[name], key)
	}
}

func (k keysByName) remove(name, key string) {
	list := slices.DeleteFunc(k[name], func(other string) bool { return other == key })
	if len(list) == 0 {
		delete(k, name)
		return
	}
	k[name] = list
}

// setRegistration replaces the registration of a key, or removes it if r is nil. It
// marks the services whose usable leafs may change.
func (l *Lister) setRegistration(key string, r *registration) {
	old, known := l.registrations[key]
	if known {
		leaf := old.entry.leaf
		l.markStale(leaf)
		l.keysByAddress.remove(leaf.address, key)
		l.keysByService.remove(leaf.service, key)
		delete(l.registrations, key)
	}
	if r == nil {
		l.setLeftOut(key, false)
		return
	}
	if !known || old.entry.leaf.dataCentre != r.entry.leaf.dataCentre {
		l.placeRegistration(key, r)
	}
	l.registrations[key] = r
	leaf := r.entry.leaf
	l.keysByAddress.add(leaf.address, key)
	l.keysByService.add(leaf.service, key)
	l.markStale(leaf)
}

// markStale marks the leaf's service, and those of all registrations with its
// address.
func (l *Lister) markStale(leaf Leaf) {
	l.staleServices[leaf.service] = true
	for _, key := range l.keysByAddress[leaf.address] {
		l.staleServices[l.registrations[key].entry.leaf.service] = true
	}
}

// rebuildStale rebuilds the lists of usable leafs of the marked services. An address
// may be reused, so only its newest registration is usable. Lists that were returned
// before are not modified.
func (l *Lister) rebuildStale() {
	for service := range l.staleServices {
		var list []Leaf
		for _, key := range l.keysByService[service] {
			r := l.registrations[key]
			if !r.leaving && !l.evacuations.leftOut[key] && l.isNewestAtAddress(r) {
				list = append(list, r.entry.leaf)
			}
		}
		if len(list) == 0 {
			delete(l.usableByService, service)
			continue
		}
		slices.SortFunc(list, func(a, b Leaf) int { return strings.Compare(a.id, b.id) })
		l.usableByService[service] = list
	}
	clear(l.staleServices)
}

// isNewestAtAddress reports whether no newer registration has the same address.
func (l *Lister) isNewestAtAddress(r *registration) bool {
	for _, key := range l.keysByAddress[r.entry.leaf.address] {
		if other := l.registrations[key]; other != r && newer(other, r) {
			return false
		}
	}
	return true
}

// newer reports whether a replaces b at their common address: one that has not
// lapsed, then one of a later start, then one received later. The key breaks ties.
func newer(a, b *registration) bool {
	if a.lapsed != b.lapsed {
		return b.lapsed
	}
	if a.entry.leaf.startTime != b.entry.leaf.startTime {
		return a.entry.leaf.startTime > b.entry.leaf.startTime
	}
	if a.receivedAt != b.receivedAt {
		return a.receivedAt > b.receivedAt
	}
	return a.entry.key > b.entry.key
}
