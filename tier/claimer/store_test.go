package claimer_test

import (
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/claimer"
)

func (w *world) delay() tier.Millis {
	if w.slow {
		return w.upTo(200)
	}
	return w.upTo(4)
}

func (w *world) page(key string) stored {
	if h := w.pages[key]; len(h) > 0 {
		return h[len(h)-1]
	}
	return stored{}
}

// read may answer from the past.
func (w *world) read(a *claimer.Read, reply func(claimer.Event)) {
	if w.down || !w.off && w.chance(5) {
		reply(claimer.NewFailed(a.Call(), w.chance(50)))
		return
	}
	s := w.page(a.Key())
	if h := w.pages[a.Key()]; len(h) > 0 && !w.off && w.chance(20) {
		s = h[w.random.IntN(len(h))]
	}
	reply(claimer.NewReadDone(a.Call(), s.data, s.revision))
}

// write may fail, or lose its answer before, after or long before the write
// takes effect.
func (w *world) write(a *claimer.Write, reply func(claimer.Event)) {
	lost := func() { reply(claimer.NewFailed(a.Call(), true)) }
	switch {
	case w.down && w.chance(70):
		reply(claimer.NewFailed(a.Call(), false))
	case w.down || !w.off && w.chance(5):
		lost()
	case !w.off && w.chance(10):
		w.swap(a)
		lost()
	case !w.off && w.chance(5):
		w.after(w.upTo(100), func() { w.swap(a) })
		lost()
	default:
		if revision, ok := w.swap(a); ok {
			reply(claimer.NewWriteDone(a.Call(), revision))
			return
		}
		s := w.page(a.Key())
		reply(claimer.NewConflict(a.Call(), s.data, s.revision))
	}
}

func (w *world) swap(a *claimer.Write) (int64, bool) {
	if w.forgetful {
		w.last++
		return w.last, true
	}
	if w.page(a.Key()).revision != a.Expect() {
		return 0, false
	}
	w.last++
	w.pages[a.Key()] = append(w.pages[a.Key()], stored{a.Data(), w.last})
	return w.last, true
}

// disturb schedules outages, slowness, deaths and pauses until faultEnd.
func (w *world) disturb() {
	if w.off {
		return
	}
	w.after(w.upTo(faultEnd/2), func() { w.down = true })
	w.after(faultEnd/2+w.upTo(faultEnd/2), func() { w.down = false })
	w.after(w.upTo(faultEnd), func() { w.slow = true })
	w.after(faultEnd, func() { w.slow, w.down, w.off = false, false, true })
	for range 6 {
		v := w.vms[w.random.IntN(len(w.vms))]
		w.after(w.upTo(faultEnd), v.start)
	}
	for range 4 {
		v := w.vms[w.random.IntN(len(w.vms))]
		w.after(w.upTo(faultEnd), func() { v.paused = w.now + w.upTo(400) })
	}
}
