package claimer

import (
	"container/heap"
	"sort"

	"cicadagrade.example/tier"
)

// timer is the deadline of one submission.
type timer struct {
	at           tier.Millis
	submissionID uint64
}

// timers is a min-heap of deadlines.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

func (t *timers) add(at tier.Millis, submissionID uint64) { heap.Push(t, timer{at, submissionID}) }

func (t timers) first() (tier.Millis, bool) {
	if len(t) == 0 {
		return 0, false
	}
	return t[0].at, true
}

// expired removes and returns a submission whose deadline has passed, if there is one.
func (t *timers) expired(now tier.Millis) (uint64, bool) {
	if len(*t) == 0 || (*t)[0].at > now {
		return 0, false
	}
	return heap.Pop(t).(timer).submissionID, true
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
