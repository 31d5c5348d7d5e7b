package dispatcher

import (
	"container/heap"

	"cicadagrade.example/tier"
)

type timerKind int

const (
	timerDeadline      timerKind = iota // a part reaches its deadline
	timerHedge                          // a call becomes slow enough to hedge
	timerRetry                          // the backoff of a task ends
	timerGiveUp                         // a task stops waiting for its retry to start
	timerServer                         // a server may be able to start more calls
	timerInferredState                  // a server state inferred from a reply expires
	timerTakeover                       // the takeover delay ends
)

type timer struct {
	at     tier.Millis
	order  uint64
	kind   timerKind
	part   *part
	call   *call
	task   *task
	server *server
}

// stale reports whether the timer no longer has any effect.
func (t *timer) stale() bool {
	switch t.kind {
	case timerDeadline:
		return t.part.ended
	case timerHedge:
		return t.call.ended || t.call.cancelled
	case timerRetry, timerGiveUp:
		return t.task.done
	default:
		return false
	}
}

// timerHeap is a priority queue of timers. Timers with the same time fire in the order
// in which they were added.
type timerHeap struct {
	timers timerList
	order  uint64
}

func (h *timerHeap) add(t timer) {
	h.order++
	t.order = h.order
	heap.Push(&h.timers, t)
}

// nextAt is the time of the first timer that is not stale.
func (h *timerHeap) nextAt() (tier.Millis, bool) {
	for len(h.timers) > 0 {
		if !h.timers[0].stale() {
			return h.timers[0].at, true
		}
		heap.Pop(&h.timers)
	}
	return 0, false
}

func (h *timerHeap) pop(now tier.Millis) (timer, bool) {
	at, ok := h.nextAt()
	if !ok || at > now {
		return timer{}, false
	}
	return heap.Pop(&h.timers).(timer), true
}

type timerList []timer

func (l timerList) Len() int { return len(l) }

func (l timerList) Less(i, j int) bool {
	if l[i].at != l[j].at {
		return l[i].at < l[j].at
	}
	return l[i].order < l[j].order
}

func (l timerList) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *timerList) Push(x any) { *l = append(*l, x.(timer)) }

// Pop implements heap.Interface.
func (l *timerList) Pop() any {
	last := len(*l) - 1
	t := (*l)[last]
	(*l)[last] = timer{}
	*l = (*l)[:last]
	return t
}

// fireTimers handles every timer that is due.
func (d *Dispatcher) fireTimers() {
	for {
		t, ok := d.timers.pop(d.now)
		if !ok {
			return
		}
		switch t.kind {
		case timerDeadline:
			d.deadlinePassed(t.part)
		case timerHedge:
			d.hedgeTimerFired(t.call)
		case timerRetry:
			d.queueRetry(t.task)
		case timerGiveUp:
			d.giveUpRetry(t.task)
		case timerServer:
			d.scheduleServerAndPeers(t.server)
		case timerInferredState:
			d.expireInferredState(t.server)
		case timerTakeover:
			d.applyShares()
			d.scheduleAll()
		}
	}
}
