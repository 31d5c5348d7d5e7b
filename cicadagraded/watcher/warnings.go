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

// maxPublishedWarnings keeps the warnings that a VM publishes below gossip's size limit.
const maxPublishedWarnings = 8

// localWarnings returns the alerts of this VM as text.
func (w *Watcher) localWarnings() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, a := range w.replicator.Alerts() {
		out = append(out, a.String())
	}
	return out
}

// publishWarnings publishes this VM's warnings if they have changed. Only the VMs that watch
// the store notice its problems, but an operator may look at any VM.
func (w *Watcher) publishWarnings() {
	var value []byte
	if lines := w.localWarnings(); len(lines) > 0 {
		value, _ = json.Marshal(lines[:min(maxPublishedWarnings, len(lines))])
	}
	if !bytes.Equal(value, w.publishedWarnings) {
		_ = w.publish(warningsKey, value)
	}
	w.publishedWarnings = value
}

// recordWarnings records the warnings that another VM has published. An empty value withdraws
// them.
func (w *Watcher) recordWarnings(vm string, value []byte) error {
	var lines []string
	if len(value) > 0 {
		if err := json.Unmarshal(value, &lines); err != nil {
			return errors.Wrap(err, "recordWarnings")
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(lines) == 0 {
		delete(w.warnings, vm)
	} else {
		w.warnings[vm] = lines
	}
	return nil
}

// Warnings lists the warnings of this VM and those that other members have published, each
// with the names of the VMs that report it.
func (w *Watcher) Warnings() []string {
	seen := map[string][]string{}
	for _, line := range w.localWarnings() {
		seen[line] = append(seen[line], w.name)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, vm := range append(append([]string(nil), w.localMembers...), w.remoteMembers...) {
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
