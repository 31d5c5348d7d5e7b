package watcher

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"cicadagrade.example/tier/replicator"
)

// IndexKeyPrefix starts the gossip keys of a VM's index.
const IndexKeyPrefix = "configuration/"

// chunkRefs is how many refs one value of the gossip holds, so that it stays
// below the gossip's limit with the longest keys.
const chunkRefs = 24

// EncodeIndex is what this VM announces of its documents, in values for the gossip
// keys IndexKeyPrefix + "0" and on.
func (w *Watcher) EncodeIndex() ([][]byte, error) {
	w.lock.Lock()
	refs := w.keeper.RefsToAnnounce()
	w.lock.Unlock()
	var out [][]byte
	for len(refs) > 0 {
		n := min(chunkRefs, len(refs))
		value, err := encodeIndex(refs[:n])
		if err != nil {
			return nil, errors.Wrap(err, "Watcher.Index")
		}
		out = append(out, value)
		refs = refs[n:]
	}
	return out, nil
}

// publishIndex publishes what has changed of the index, and takes back the
// values that are no longer needed.
func (w *Watcher) publishIndex() {
	w.published.Lock()
	defer w.published.Unlock()
	chunks, err := w.EncodeIndex()
	if err != nil {
		return
	}
	for i := range max(len(chunks), len(w.chunks)) {
		value := at(chunks, i)
		if !bytes.Equal(value, at(w.chunks, i)) {
			_ = w.publish(indexKey(i), value)
		}
	}
	w.chunks = chunks
	w.publishWarnings()
}

func at(chunks [][]byte, i int) []byte {
	if i >= len(chunks) {
		return nil
	}
	return chunks[i]
}

func indexKey(i int) string { return fmt.Sprintf("%s%d", IndexKeyPrefix, i) }

// OnIndexEntry takes a value that another VM published under a key that starts
// with IndexKeyPrefix; an empty one takes the earlier back.
func (w *Watcher) OnIndexEntry(vm, key string, value []byte) error {
	if vm == w.name || !strings.HasPrefix(key, IndexKeyPrefix) {
		return nil
	}
	if key == warningsKey {
		return errors.Wrap(w.keepWarnings(vm, value), "Watcher.OnIndex")
	}
	refs, err := decodeIndex(value)
	if err != nil {
		return errors.Wrap(err, "Watcher.OnIndex")
	}
	w.step(replicator.NewAnnounced(vm, w.merge(vm, key, refs)))
	return nil
}

// merge joins the values that a VM published.
func (w *Watcher) merge(vm, key string, refs []replicator.Ref) []replicator.Ref {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.heard[vm] == nil {
		w.heard[vm] = map[string][]replicator.Ref{}
	}
	w.heard[vm][key] = refs
	if len(refs) == 0 {
		delete(w.heard[vm], key)
	}
	var all []replicator.Ref
	for _, chunk := range w.heard[vm] {
		all = append(all, chunk...)
	}
	if len(all) == 0 {
		delete(w.heard, vm)
	}
	return all
}

// OnMembers takes the names of the live VMs of this data centre, with this
// one, and of those elsewhere, each sorted.
func (w *Watcher) OnMembers(local, remote []string) {
	if w.keepMembers(local, remote) {
		w.step(replicator.NewMembers(local, remote))
	}
}

// keepMembers reports whether the members are others than before.
func (w *Watcher) keepMembers(local, remote []string) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	same := w.told && slices.Equal(local, w.local) && slices.Equal(remote, w.remote)
	w.told = true
	w.local, w.remote = slices.Clone(local), slices.Clone(remote)
	return !same
}
