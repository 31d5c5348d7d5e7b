package lister

import "testing"

// TestLeafThatHasSaidThatItLeaves guards against requests to a leaf that has said in a reply that it leaves, while
// the store tells otherwise, and against a leaf that is not used after it has started again.
func TestLeafThatHasSaidThatItLeaves(t *testing.T) {
	const key = "servers/i-1"
	sequence := int64(0)
	put := func(l *Lister, startTime int64) {
		sequence++
		l.Put(1000, NewEntry(key, NewLeaf("i-1", "s", "10.0.0.1:80", StartedAt(startTime)), sequence))
	}
	for name, c := range map[string]struct {
		then func(l *Lister)
		used bool
	}{
		"at once":                      {func(*Lister) {}, false},
		"it registers as before":       {func(l *Lister) { put(l, 5) }, false},
		"its entry lapses and is back": {func(l *Lister) { l.Remove(1000, key); put(l, 5) }, false},
		"the store was away":           {func(l *Lister) { l.StoreUnavailable(); put(l, 5) }, false},
		"the store returns from a copy": {func(l *Lister) {
			l.StoreReturned()
			l.Replace(1000, []Entry{NewEntry(key, NewLeaf("i-1", "s", "10.0.0.1:80", StartedAt(5)), 1)})
		}, false},
		"it has started again":                    {func(l *Lister) { put(l, 6) }, true},
		"it has started again, after its removal": {func(l *Lister) { l.Remove(1000, key); put(l, 6) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := New()
			put(l, 5)
			if l.SaidLeaving("s", "i-1", 4) || len(l.Leafs("s")) != 1 {
				t.Error("the reply of an earlier start counts")
			}
			if !l.SaidLeaving("s", "i-1", 5) || l.SaidLeaving("s", "i-1", 5) {
				t.Error("the first reply, or a further one, is not told apart")
			}
			c.then(l)
			if used := len(l.Leafs("s")) == 1; used != c.used {
				t.Errorf("the leaf is used: %v", used)
			}
		})
	}
}
