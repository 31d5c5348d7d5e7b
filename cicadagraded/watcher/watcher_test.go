package watcher_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"cicadagrade.example/cicadagraded/watcher"
	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier/committer"
	"cicadagrade.example/tier/replicator"
)

// TestScripts runs each script of configuration changes, store faults and network partitions.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			script, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			f := newFleet(t)
			for line := range strings.Lines(string(script)) {
				line = strings.TrimSpace(line)
				if line != "" && line[0] != '#' {
					f.step(line, strings.Fields(line))
				}
			}
		})
	}
}

func (f *fleet) step(line string, w []string) {
	switch w[0] {
	case "start", "stop":
		for _, name := range w[1:] {
			if w[0] == "start" {
				f.start(name)
			} else {
				f.stop(name)
			}
		}
		f.updateMembers()
	case "apply":
		n, _ := strconv.Atoi(w[1])
		f.commit(committer.New(profilesDocument(f.t, n), "change-"+w[1], "op", "", 0))
	case "reconcile":
		f.reconcile(w[1])
	case "store":
		var faults storeserver.Faults
		if err := json.Unmarshal([]byte(strings.Join(w[1:], " ")), &faults); err != nil {
			f.t.Fatal(err)
		}
		f.server.SetFaults(faults)
	case "save":
		f.server.Save(w[1])
	case "restart":
		if err := f.server.Restart(strings.Join(w[1:], "")); err != nil {
			f.t.Fatal(err)
		}
	case "cut-store", "cut-peers", "heal":
		f.setPartitions(w[0], w[1:])
	default:
		if err := f.check(line, w); err != nil {
			f.t.Fatal(err)
		}
	}
}

// setPartitions runs a cut-store, cut-peers or heal command.
func (f *fleet) setPartitions(command string, names []string) {
	for name, v := range f.allVMs() {
		if command == "heal" {
			v.store.setUnreachable(false)
			f.setPartitioned(name, false)
		}
	}
	for _, name := range names {
		if command == "cut-store" {
			f.allVMs()[name].store.setUnreachable(true)
		} else {
			f.setPartitioned(name, true)
		}
	}
	f.updateMembers()
}

func (f *fleet) setPartitioned(name string, partitioned bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.partitioned[name] = partitioned
}

// check waits until the condition of a script line holds on the VMs it names. Only "serves"
// does not wait.
func (f *fleet) check(line string, w []string) error {
	names := w[2:]
	var ok func(*watcher.Watcher) bool
	limit := testTimeout
	switch w[0] {
	case "serves":
		limit = 0
		fallthrough
	case "in-force":
		ok = func(x *watcher.Watcher) bool { return servesQueueLimit(x, w[1]) }
	case "flagged":
		ok = func(x *watcher.Watcher) bool { return hasAlert(x, w[1]) }
	case "clear", "warned":
		names = w[1:]
		ok = func(x *watcher.Watcher) bool { return (len(x.Warnings()) == 0) == (w[0] == "clear") }
	default:
		f.t.Fatalf("unknown line %q", line)
	}
	for _, name := range names {
		if err := f.eventually(line, name, limit, ok); err != nil {
			return err
		}
	}
	return nil
}

// A VM is replaced while it is the only one that holds the latest state, and the store has
// been restored from an older copy. The new VM takes the older state, and fleet.check must
// detect this.
func TestCheckDetectsRevertedConfiguration(t *testing.T) {
	f := newFleet(t)
	for _, line := range []string{
		"start a1", "apply 1", "in-force 1 a1", "save monday", "apply 2", "in-force 2 a1",
		"stop a1", "restart monday", "start a1", "in-force 1 a1",
	} {
		f.step(line, strings.Fields(line))
	}
	if f.check("serves 2 a1", []string{"serves", "2", "a1"}) == nil {
		t.Error("the check accepts a reverted configuration")
	}
}

// reconcile writes the document that a VM serves back to the store.
func (f *fleet) reconcile(name string) {
	key := replicator.KeyOf(profilesDocument(f.t, 1))
	b, ok := f.allVMs()[name].watcher.Document(key)
	if !ok {
		f.t.Fatal("no document on " + name)
	}
	s, err := replicator.Decode(key, b)
	if err != nil {
		f.t.Fatal(err)
	}
	f.commit(committer.NewReconciliation(s, "reconcile", "op", "", 0))
}
