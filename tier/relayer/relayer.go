// Package relayer keeps what a VM has read of the store, and which keys changed
// lately, so that other VMs can follow it instead of the store.
package relayer

import (
	"sort"

	"cicadagrade.example/tier/storer"
)

// historyLength is how many changes are kept: some minutes of a fleet's planned
// work. Who is further behind gets everything.
const historyLength = 4096

type change struct {
	revision int64
	key      string
}

// Relayer is the state of one VM. It is not safe for concurrent use.
type Relayer struct {
	items    map[string]storer.Value
	history  []change
	floor    int64 // changes after this revision are all in history
	revision int64
}

// New returns a relayer that has read nothing.
func New() *Relayer { return &Relayer{items: map[string]storer.Value{}} }

// Revision is the store's revision up to which everything has been read; 0 is
// nothing.
func (r *Relayer) Revision() int64 { return r.revision }

// Replace takes everything as read at a revision.
func (r *Relayer) Replace(list []storer.Value, revision int64) {
	r.items = make(map[string]storer.Value, len(list))
	for _, v := range list {
		r.items[v.Key()] = v
	}
	// What changed in between is not known. Pages may hold later changes, which
	// come again but are no news then: who has not reached them gets everything.
	r.history, r.floor, r.revision = nil, revision, revision
	for _, v := range list {
		r.floor = max(r.floor, v.Revision())
	}
}

// Put takes a change that came with a read up to a revision of the store, which
// never goes back. notable says that others need to hear of it; what is not is
// still kept for those who get everything.
func (r *Relayer) Put(v storer.Value, revision int64, notable bool) {
	if v.Present() {
		r.items[v.Key()] = v
	} else {
		delete(r.items, v.Key())
	}
	if notable {
		r.note(v.Key(), revision)
	}
}

func (r *Relayer) note(key string, revision int64) {
	if n := len(r.history); n > 0 {
		// Since searches the history by revision.
		revision = max(revision, r.history[n-1].revision)
	}
	r.history = append(r.history, change{revision, key})
	if len(r.history) >= 2*historyLength {
		cut := len(r.history) - historyLength
		r.floor = r.history[cut-1].revision
		r.history = append([]change(nil), r.history[cut:]...)
	}
}

// AdvanceTo says that everything up to a revision has been read.
func (r *Relayer) AdvanceTo(revision int64) { r.revision = max(r.revision, revision) }

// ChangesSince returns the present state of keys that changed after a revision, a
// removed one with revision 0, or everything if whole is true.
func (r *Relayer) ChangesSince(after int64) (list []storer.Value, whole bool) {
	if after < r.floor || after == 0 {
		list = make([]storer.Value, 0, len(r.items))
		for _, v := range r.items {
			list = append(list, v)
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Key() < list[j].Key() })
		return list, true
	}
	seen := map[string]bool{}
	at := sort.Search(len(r.history), func(i int) bool { return r.history[i].revision > after })
	for _, c := range r.history[at:] {
		if seen[c.key] {
			continue
		}
		seen[c.key] = true
		v, ok := r.items[c.key]
		if !ok {
			v = storer.NewValue(c.key, nil, 0)
		}
		list = append(list, v)
	}
	return list, false
}
