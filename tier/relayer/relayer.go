// Package relayer keeps a copy of the store and a history of recently changed keys,
// from which other VMs read changes instead of watching the store.
package relayer

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cicadagrade.example/tier/storer"
)

// historyLength is how many changes are kept at least: those of some minutes of
// planned maintenance of a deployment, such as restarts. A VM that is further behind
// gets the whole copy.
const historyLength = 4096

type change struct {
	revision int64
	key      string
}

// Relayer is the copy that one VM keeps. It is not safe for concurrent use.
type Relayer struct {
	items        map[string]storer.Value // by key
	history      []change                // by revision
	historyStart int64                   // all later notable changes are in history
	revision     int64                   // the store was read up to it
	keyDigest    uint64                  // exclusive or of the hashes of all keys
}

// New returns an empty copy.
func New() *Relayer { return &Relayer{items: map[string]storer.Value{}} }

// Revision is the revision up to which the store was read, or 0.
func (r *Relayer) Revision() int64 { return r.revision }

// Replace replaces the copy by the whole store as read at a revision.
func (r *Relayer) Replace(list []storer.Value, revision int64) {
	r.items, r.keyDigest = make(map[string]storer.Value, len(list)), 0
	for _, v := range list {
		r.put(v)
	}
	// The changes since the previous copy are not known. The list may already have
	// values newer than its revision; Put gets them again, but not as notable. So
	// VMs that have not read up to the newest value get the whole copy.
	r.history, r.historyStart, r.revision = nil, revision, revision
	for _, v := range list {
		r.historyStart = max(r.historyStart, v.Revision())
	}
}

// Put applies a change that was read together with all changes up to a revision of
// the store, which never decreases. A notable change, one that other VMs need to learn
// of, is added to the history. Others are seen only by VMs that get the whole copy, and do
// not add keys.
func (r *Relayer) Put(v storer.Value, revision int64, notable bool) {
	if _, known := r.items[v.Key()]; known || notable {
		r.put(v)
	}
	if notable {
		r.appendHistory(v.Key(), revision)
	}
}

func (r *Relayer) put(v storer.Value) {
	_, known := r.items[v.Key()]
	if known != v.Present() {
		r.keyDigest ^= xxhash.Sum64String(v.Key())
	}
	if v.Present() {
		r.items[v.Key()] = v
		return
	}
	delete(r.items, v.Key())
}

// KeyDigest is a digest of the keys in the copy. Copies of the same revision have the same.
func (r *Relayer) KeyDigest() uint64 { return r.keyDigest }

// Copy applies a change that another VM's relayer has returned. It is always notable: that
// relayer may have merged several changes of a key, such as a removal and a return, into one
// that seems to change nothing here, but VMs that have read the first one need the last.
func (r *Relayer) Copy(v storer.Value, revision int64) { r.Put(v, revision, true) }

// Value returns the value of a key, which is not present if the copy lacks the key.
func (r *Relayer) Value(key string) storer.Value {
	if v, ok := r.items[key]; ok {
		return v
	}
	return storer.NewValue(key, nil, 0)
}

// WithPrefix returns the values of the keys with a prefix, by key.
func (r *Relayer) WithPrefix(prefix string) []storer.Value {
	var list []storer.Value
	for key, v := range r.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, v)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key() < list[j].Key() })
	return list
}

func (r *Relayer) appendHistory(key string, revision int64) {
	if n := len(r.history); n > 0 {
		// ChangesSince needs the history sorted by revision.
		revision = max(revision, r.history[n-1].revision)
	}
	r.history = append(r.history, change{revision, key})
	if len(r.history) >= 2*historyLength {
		cut := len(r.history) - historyLength
		r.historyStart = r.history[cut-1].revision
		r.history = append([]change(nil), r.history[cut:]...)
	}
}

// AdvanceTo records that the store was read up to a revision.
func (r *Relayer) AdvanceTo(revision int64) { r.revision = max(r.revision, revision) }

// ChangesSince returns the values of the keys that changed after a revision, with
// revision 0 for a removed key. If whole is true, it returns the whole copy instead, because
// the history does not reach back that far.
func (r *Relayer) ChangesSince(after int64) (list []storer.Value, whole bool) {
	if after < r.historyStart || after == 0 {
		list = make([]storer.Value, 0, len(r.items))
		for _, v := range r.items {
			list = append(list, v)
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Key() < list[j].Key() })
		return list, true
	}
	seen := map[string]bool{}
	first := sort.Search(len(r.history), func(i int) bool { return r.history[i].revision > after })
	for _, c := range r.history[first:] {
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
