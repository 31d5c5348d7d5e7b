package relayer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cicadagrade.example/tier/storer"
)

// A follower that takes what Since returns, at any times and from either of two
// relayers that read the store in batches of their own, knows every key as the
// relayers do. Removals come without a revision of their own; a relayer that reads
// everything may find keys newer than the revision that it goes on from, and takes
// their changes for old news later. What it tells is then
// ahead of its revision, so that only the end of the history can be compared.
func TestFollowerMissesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]int64{}
		var log []storer.Value
		revision := int64(10)
		relayers := []*Relayer{New(), New()}
		read := []int{0, 0}
		ahead := false // some read was ahead of its revision
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
				t.Fatalf("the follower knows %v, the store %v", follower, store)
			}
		}
	})
}

// fetch brings a follower up to date, unless the relayer is behind it.
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
		t.Fatalf("the follower knows %v, the relayer %v", follower, r.items)
	}
	for key, v := range r.items {
		if follower[key] != v.Revision() {
			t.Fatalf("key %s: the follower has revision %d, the relayer %d", key, follower[key], v.Revision())
		}
	}
}
