package lister

import (
	"slices"
	"strings"
)

// keys are the keys of entries that share something, such as an address.
type keys map[string][]string

func (k keys) add(name, key string) {
	if !slices.Contains(k[name], key) {
		k[name] = append(k[name], key)
	}
}

func (k keys) remove(name, key string) {
	list := slices.DeleteFunc(k[name], func(o string) bool { return o == key })
	if len(list) == 0 {
		delete(k, name)
		return
	}
	k[name] = list
}

// hold keeps an entry under its key, or under none if h is nil, and marks the
// services whose usable leafs that may change.
func (l *Lister) hold(key string, h *held) {
	if old, ok := l.entries[key]; ok {
		f := old.entry.leaf
		l.touch(f)
		l.atAddress.remove(f.address, key)
		l.ofService.remove(f.service, key)
		delete(l.entries, key)
	}
	if h == nil {
		return
	}
	l.entries[key] = h
	f := h.entry.leaf
	l.atAddress.add(f.address, key)
	l.ofService.add(f.service, key)
	l.touch(f)
}

// touch marks the services of all who are or were at a leaf's address.
func (l *Lister) touch(f Leaf) {
	l.touched[f.service] = true
	for _, key := range l.atAddress[f.address] {
		l.touched[l.entries[key].entry.leaf.service] = true
	}
}

// refresh lists the usable leafs of the marked services anew. Of two entries
// with one address the one that was heard last is right: addresses are used
// again. Lists that were handed out stay as they are.
func (l *Lister) refresh() {
	for service := range l.touched {
		var list []Leaf
		for _, key := range l.ofService[service] {
			h := l.entries[key]
			if !h.departed && l.holds(h) {
				list = append(list, h.entry.leaf)
			}
		}
		if len(list) == 0 {
			delete(l.byService, service)
			continue
		}
		slices.SortFunc(list, func(a, b Leaf) int { return strings.Compare(a.id, b.id) })
		l.byService[service] = list
	}
	clear(l.touched)
}

// holds reports whether an entry is the right one at its address.
func (l *Lister) holds(h *held) bool {
	for _, key := range l.atAddress[h.entry.leaf.address] {
		if o := l.entries[key]; o != h && newer(o, h) {
			return false
		}
	}
	return true
}

func newer(a, b *held) bool {
	if a.lapsed != b.lapsed {
		return b.lapsed
	}
	if a.entry.leaf.born != b.entry.leaf.born {
		return a.entry.leaf.born > b.entry.leaf.born
	}
	if a.heard != b.heard {
		return a.heard > b.heard
	}
	return a.entry.key > b.entry.key
}
