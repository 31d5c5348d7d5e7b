package claimer_test

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/claimer"
)

func (si *sim) storeDelay() tier.Millis {
	if si.slow {
		return si.upTo(200)
	}
	return si.upTo(4)
}

func (si *sim) currentPage(key string) pageState {
	if h := si.pages[key]; len(h) > 0 {
		return h[len(h)-1]
	}
	return pageState{}
}

// readPage answers a Read, sometimes with an earlier state of the page.
func (si *sim) readPage(a *claimer.Read, reply func(claimer.Event)) {
	if si.down || !si.disabled && si.chance(5) {
		reply(claimer.NewFailed(a.Call(), si.chance(50)))
		return
	}
	s := si.currentPage(a.Key())
	if h := si.pages[a.Key()]; len(h) > 0 && !si.disabled && si.chance(20) {
		s = h[si.random.IntN(len(h))]
	}
	reply(claimer.NewReadDone(a.Call(), s.data, s.revision))
}

// writePage answers a Write. It may fail, or its reply may get lost, in which case the
// write has had no effect, has taken effect, or takes effect later.
func (si *sim) writePage(a *claimer.Write, reply func(claimer.Event)) {
	lost := func() { reply(claimer.NewFailed(a.Call(), true)) }
	switch {
	case si.down && si.chance(70):
		reply(claimer.NewFailed(a.Call(), false))
	case si.down || !si.disabled && si.chance(5):
		lost()
	case !si.disabled && si.chance(10):
		si.compareAndSwap(a)
		lost()
	case !si.disabled && si.chance(5):
		si.after(si.upTo(100), func() { si.compareAndSwap(a) })
		lost()
	default:
		if revision, ok := si.compareAndSwap(a); ok {
			reply(claimer.NewWriteDone(a.Call(), revision))
			return
		}
		s := si.currentPage(a.Key())
		reply(claimer.NewConflict(a.Call(), s.data, s.revision))
	}
}

func (si *sim) compareAndSwap(a *claimer.Write) (int64, bool) {
	if si.losesClaims {
		si.lastRevision++
		return si.lastRevision, true
	}
	if si.currentPage(a.Key()).revision != a.Expect() {
		return 0, false
	}
	si.lastRevision++
	si.pages[a.Key()] = append(si.pages[a.Key()], pageState{a.Data(), si.lastRevision})
	return si.lastRevision, true
}

// scheduleFaults schedules outages, slowness, restarts and pauses until faultEnd.
func (si *sim) scheduleFaults() {
	if si.disabled {
		return
	}
	si.after(si.upTo(faultEnd/2), func() { si.down = true })
	si.after(faultEnd/2+si.upTo(faultEnd/2), func() { si.down = false })
	si.after(si.upTo(faultEnd), func() { si.slow = true })
	si.after(faultEnd, func() { si.slow, si.down, si.disabled = false, false, true })
	for range 6 {
		v := si.vms[si.random.IntN(len(si.vms))]
		si.after(si.upTo(faultEnd), v.start)
	}
	for range 4 {
		v := si.vms[si.random.IntN(len(si.vms))]
		si.after(si.upTo(faultEnd), func() { v.pausedUntil = si.now + si.upTo(400) })
	}
}
