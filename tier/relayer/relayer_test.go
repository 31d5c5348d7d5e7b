package relayer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier/storer"
)

// TestFollowersMissNoChange checks that a follower that reads ChangesSince at random
// times, from either of two relayers with batches of their own, ends up with their
// copy. Removals have no revision of their own. A whole copy may have keys newer
// than the revision it was read at, and the relayer later takes the changes of these
// keys for known; from then on a follower may be ahead of its revision, so that only
// the final copies are compared.
func TestFollowersMissNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]int64{}
		var log []storer.Value
		revision := int64(10)
		relayers := []*Relayer{New(), New()}
		read := []int{0, 0}
		ahead := false // a whole copy had values newer than its revision
		for _, r := range relayers {
			r.Replace(nil, revision)
		}
		follower := map[string]int64{}
		after := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 3:
				i := rapid.IntRange(0, 1).Draw(t, "relayer")
				var all []storer.Value
				for key, v := range store {
					all = append(all, storer.NewValue(key, []byte("v"), v))
				}
				back := rapid.IntRange(0, len(log)).Draw(t, "back")
				relayers[i].Replace(all, max(relayers[i].Revision(), revision-int64(back)))
				read[i] = min(read[i], len(log)-back)
				ahead = ahead || read[i] < len(log)
			case 0:
				key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
				revision++
				if _, ok := store[key]; ok && rapid.Bool().Draw(t, "remove") {
					delete(store, key)
					log = append(log, storer.NewValue(key, nil, 0))
					continue
				}
				store[key] = revision
				log = append(log, storer.NewValue(key, []byte("v"), revision))
			case 1:
				i := rapid.IntRange(0, 1).Draw(t, "relayer")
				for _, v := range log[read[i]:] {
					old, known := relayers[i].items[v.Key()]
					relayers[i].Put(v, revision, !v.Present() || !known || old.Revision() < v.Revision())
				}
				read[i] = len(log)
				relayers[i].AdvanceTo(revision)
			case 2:
				i := rapid.IntRange(0, 1).Draw(t, "source")
				if fetch(relayers[i], follower, &after) && !ahead {
					compare(t, follower, relayers[i])
				}
			}
		}
		for i, r := range relayers {
			for _, v := range log[read[i]:] {
				r.Put(v, revision, true)
			}
			r.AdvanceTo(revision)
			fetch(r, follower, &after)
			compare(t, follower, r)
			if len(follower) != len(store) {
				t.Fatalf("the follower has %v, the store has %v", follower, store)
			}
		}
	})
}

// fetch updates the follower, unless the relayer is behind it.
// TestFollowersOfFollowersMissNoChange does the same with relayers that copy from one another,
// as large VMs do from the one that polls the store. A change that leaves the copy as it was
// is not notable to a relayer that has read it from the store.
func TestFollowersOfFollowersMissNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]int64{}
		var log []storer.Value
		revision := int64(10)
		first, read := New(), 0
		first.Replace(nil, revision)
		copies := []*Relayer{New(), New()}
		for _, r := range copies {
			r.Replace(nil, revision)
		}
		follower, after := map[string]int64{}, revision
		poll := func() {
			for _, v := range log[read:] {
				_, known := first.items[v.Key()]
				first.Put(v, revision, known != v.Present())
			}
			read = len(log)
			first.AdvanceTo(revision)
		}
		copyFrom := func(to, from *Relayer) {
			if from.Revision() < to.Revision() {
				return
			}
			list, whole := from.ChangesSince(to.Revision())
			if whole {
				to.Replace(list, from.Revision())
				return
			}
			for _, v := range list {
				to.Copy(v, from.Revision())
			}
			to.AdvanceTo(from.Revision())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				key := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key"))
				revision++
				if _, ok := store[key]; ok {
					delete(store, key)
					log = append(log, storer.NewValue(key, nil, 0))
					continue
				}
				store[key] = 1 // a leaf that returns as it was
				log = append(log, storer.NewValue(key, []byte("v"), 1))
			case 1:
				poll()
			case 2:
				copyFrom(copies[rapid.IntRange(0, 1).Draw(t, "copy")], first)
			case 3:
				r := append(copies, first)[rapid.IntRange(0, 2).Draw(t, "source")]
				if fetch(r, follower, &after) {
					compare(t, follower, r)
				}
			}
		}
		poll()
		for _, r := range copies {
			copyFrom(r, first)
			fetch(r, follower, &after)
			compare(t, follower, r)
			if len(follower) != len(store) {
				t.Fatalf("the follower has %v, the store has %v", follower, store)
			}
			if r.KeyDigest() != first.KeyDigest() {
				t.Fatal("copies of the same revision have different digests")
			}
		}
	})
}

// TestDigestFindsAMissedChange checks that a copy that lacks a change has another digest.
func TestDigestFindsAMissedChange(t *testing.T) {
	a, b := New(), New()
	for _, r := range []*Relayer{a, b} {
		r.Put(storer.NewValue("x", []byte("v"), 1), 1, true)
		r.Put(storer.NewValue("y", []byte("v"), 2), 2, true)
	}
	a.Put(storer.NewValue("unreadable", []byte("?"), 3), 3, false)
	if a.KeyDigest() != b.KeyDigest() {
		t.Error("a key that is not notable changes the digest")
	}
	a.Put(storer.NewValue("x", nil, 0), 4, true)
	if a.KeyDigest() == b.KeyDigest() {
		t.Error("a copy that missed a removal has the same digest")
	}
	b.Replace([]storer.Value{storer.NewValue("y", []byte("v"), 2)}, 4)
	if a.KeyDigest() != b.KeyDigest() {
		t.Error("the whole copy has another digest")
	}
}

func fetch(r *Relayer, follower map[string]int64, after *int64) bool {
	if r.Revision() < *after {
		return false
	}
	list, whole := r.ChangesSince(*after)
	if whole {
		clear(follower)
	}
	for _, v := range list {
		if v.Present() {
			follower[v.Key()] = v.Revision()
		} else {
			delete(follower, v.Key())
		}
	}
	*after = r.Revision()
	return true
}

func compare(t *rapid.T, follower map[string]int64, r *Relayer) {
	if len(follower) != len(r.items) {
		t.Fatalf("the follower has %v, the relayer has %v", follower, r.items)
	}
	for key, v := range r.items {
		if follower[key] != v.Revision() {
			t.Fatalf("key %s: the follower has revision %d, the relayer %d", key, follower[key], v.Revision())
		}
	}
}
