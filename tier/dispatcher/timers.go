package dispatcher

import (
	"container/heap"

	"cicadagrade.example/tier"
)

type timerKind int

const (
	timerDeadline timerKind = iota // of a part
	timerHedge                     // of a call
	timerRetry                     // of a task
	timerGiveUp                    // of a task that waits for its retry
	timerServer                    // a server may take more work
	timerSupposed                  // a state told by a reply ends
	timerTakeover                  // the full share may be used
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

// stale reports whether nothing would happen when the timer fires.
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

// timerHeap is ordered by time; equal times keep their order of adding.
type timerHeap struct {
	list  timerList
	order uint64
}

func (h *timerHeap) add(t timer) {
	h.order++
	t.order = h.order
	heap.Push(&h.list, t)
}

// next is the time of the first timer that still matters.
func (h *timerHeap) next() (tier.Millis, bool) {
	for len(h.list) > 0 {
		if !h.list[0].stale() {
			return h.list[0].at, true
		}
		heap.Pop(&h.list)
	}
	return 0, false
}

func (h *timerHeap) pop(now tier.Millis) (timer, bool) {
	at, ok := h.next()
	if !ok || at > now {
		return timer{}, false
	}
	return heap.Pop(&h.list).(timer), true
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

// Push is for container/heap.
func (l *timerList) Push(x any) { *l = append(*l, x.(timer)) }

// Pop is for container/heap.
func (l *timerList) Pop() any {
	last := len(*l) - 1
	t := (*l)[last]
	(*l)[last] = timer{}
	*l = (*l)[:last]
	return t
}

// expire fires the timers that are due.
func (d *Dispatcher) expire() {
	for {
		t, ok := d.timers.pop(d.now)
		if !ok {
			return
		}
		switch t.kind {
		case timerDeadline:
			d.deadlinePassed(t.part)
		case timerHedge:
			d.hedgeDue(t.call)
		case timerRetry:
			d.wantRetry(t.task)
		case timerGiveUp:
			d.giveUp(t.task)
		case timerServer:
			d.fillAround(t.server)
		case timerSupposed:
			d.endSupposed(t.server)
		case timerTakeover:
			d.applyShares()
			d.fillAll()
		}
	}
}
