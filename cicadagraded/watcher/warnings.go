package watcher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// warningsKey is the gossip key of a VM's warnings.
const warningsKey = IndexKeyPrefix + "warnings"

// maxPublished is how many warnings a VM publishes, so that they stay below
// the gossip's limit.
const maxPublished = 8

// ownWarnings lists the flags of this VM as lines.
func (w *Watcher) ownWarnings() []string {
	w.lock.Lock()
	defer w.lock.Unlock()
	var out []string
	for _, f := range w.keeper.Alerts() {
		out = append(out, f.String())
	}
	return out
}

// publishWarnings publishes the warnings when they have changed: only
// watchers see the store, but an operator may look at any VM.
func (w *Watcher) publishWarnings() {
	var value []byte
	if lines := w.ownWarnings(); len(lines) > 0 {
		value, _ = json.Marshal(lines[:min(maxPublished, len(lines))])
	}
	if !bytes.Equal(value, w.warned) {
		_ = w.publish(warningsKey, value)
	}
	w.warned = value
}

// keepWarnings takes what another VM published; an empty value takes it back.
func (w *Watcher) keepWarnings(vm string, value []byte) error {
	var lines []string
	if len(value) > 0 {
		if err := json.Unmarshal(value, &lines); err != nil {
			return errors.Wrap(err, "keepWarnings")
		}
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	if len(lines) == 0 {
		delete(w.warnings, vm)
	} else {
		w.warnings[vm] = lines
	}
	return nil
}

// Warnings lists the troubles of this VM and those that live VMs have
// published, each with the names of the VMs that see it.
func (w *Watcher) Warnings() []string {
	seen := map[string][]string{}
	for _, line := range w.ownWarnings() {
		seen[line] = append(seen[line], w.name)
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, vm := range append(append([]string(nil), w.local...), w.remote...) {
		if vm == w.name {
			continue
		}
		for _, line := range w.warnings[vm] {
			seen[line] = append(seen[line], vm)
		}
	}
	out := make([]string, 0, len(seen))
	for line, vms := range seen {
		sort.Strings(vms)
		out = append(out, fmt.Sprintf("%s (seen by %s)", line, strings.Join(vms, ", ")))
	}
	sort.Strings(out)
	return out
}
