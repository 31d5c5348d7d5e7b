package watcher

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"cicadagrade.example/tier/replicator"
)

// IndexKeyPrefix is the prefix of the gossip keys under which a VM publishes its index, the
// references to the documents that it holds, and its warnings.
const IndexKeyPrefix = "configuration/"

// maxRefsPerEntry is the number of references in one gossip entry. It keeps the entry below
// gossip's size limit even with the longest keys.
const maxRefsPerEntry = 24

// EncodeIndex returns this VM's index as the values of the gossip keys IndexKeyPrefix + "0",
// IndexKeyPrefix + "1" and so on.
func (w *Watcher) EncodeIndex() ([][]byte, error) {
	w.mu.Lock()
	refs := w.replicator.RefsToAnnounce()
	w.mu.Unlock()
	var entries [][]byte
	for len(refs) > 0 {
		n := min(maxRefsPerEntry, len(refs))
		value, err := encodeIndex(refs[:n])
		if err != nil {
			return nil, errors.Wrap(err, "Watcher.EncodeIndex")
		}
		entries = append(entries, value)
		refs = refs[n:]
	}
	return entries, nil
}

// publishIndex publishes the index entries that have changed, clears those that are no longer
// needed, and publishes the warnings.
func (w *Watcher) publishIndex() {
	w.publishMu.Lock()
	defer w.publishMu.Unlock()
	entries, err := w.EncodeIndex()
	if err != nil {
		return
	}
	for i := range max(len(entries), len(w.publishedIndex)) {
		value := entryAt(entries, i)
		if !bytes.Equal(value, entryAt(w.publishedIndex, i)) {
			_ = w.publish(indexKey(i), value)
		}
	}
	w.publishedIndex = entries
	w.publishWarnings()
}

// entryAt returns the i-th entry, nil beyond the end.
func entryAt(entries [][]byte, i int) []byte {
	if i >= len(entries) {
		return nil
	}
	return entries[i]
}

func indexKey(i int) string { return fmt.Sprintf("%s%d", IndexKeyPrefix, i) }

// OnIndexEntry handles a gossip entry that another VM has published under a key that starts
// with IndexKeyPrefix. An empty value withdraws the earlier one.
func (w *Watcher) OnIndexEntry(vm, key string, value []byte) error {
	if vm == w.name || !strings.HasPrefix(key, IndexKeyPrefix) {
		return nil
	}
	if key == warningsKey {
		return errors.Wrap(w.recordWarnings(vm, value), "Watcher.OnIndexEntry")
	}
	refs, err := decodeIndex(value)
	if err != nil {
		return errors.Wrap(err, "Watcher.OnIndexEntry")
	}
	w.handleEvent(replicator.NewAnnounced(vm, w.mergeIndexEntry(vm, key, refs)))
	return nil
}

// mergeIndexEntry records an index entry of a VM and returns the references of all its
// entries.
func (w *Watcher) mergeIndexEntry(vm, key string, refs []replicator.Ref) []replicator.Ref {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.indexEntries[vm] == nil {
		w.indexEntries[vm] = map[string][]replicator.Ref{}
	}
	w.indexEntries[vm][key] = refs
	if len(refs) == 0 {
		delete(w.indexEntries[vm], key)
	}
	var all []replicator.Ref
	for _, refs := range w.indexEntries[vm] {
		all = append(all, refs...)
	}
	if len(all) == 0 {
		delete(w.indexEntries, vm)
	}
	return all
}

// OnMembers sets the names of the VMs that replicate the configuration: those of this data
// centre, including this VM, and those of the other data centres. Both lists have to be
// sorted.
func (w *Watcher) OnMembers(local, remote []string) {
	if w.updateMembers(local, remote) {
		w.handleEvent(replicator.NewMembers(local, remote))
	}
}

// updateMembers records the members and reports whether they have changed.
func (w *Watcher) updateMembers(local, remote []string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	same := w.membersKnown && slices.Equal(local, w.localMembers) && slices.Equal(remote, w.remoteMembers)
	w.membersKnown = true
	w.localMembers, w.remoteMembers = slices.Clone(local), slices.Clone(remote)
	return !same
}
