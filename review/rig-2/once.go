package main

import (
	"fmt"
	"time"
)

// Figures of both cases.
const (
	doubleShare = 0.04
	doubleTime  = 5 * time.Second
	doublePause = 3 * time.Second
	doubleTimes = 6
	// At most as many requests as there are clients run or wait at the servers, which take 56: they are often full.
	onceClients = 60
	oncePause   = 60 * time.Millisecond
	// So many use half of the servers.
	mixedClients = 30
	mixedPause   = 250 * time.Millisecond
)

// playOnce has half of a service's servers spoil some refusals and send a second, late copy of them, for some
// seconds and several times. It reports whether a request that may run once at most ran twice, or was refused
// and has run.
func playOnce(w *World, program string, trouble bool) (verdict []string, broken bool, err error) {
	if err := w.playDoubles(program, trouble, false, onceClients, oncePause); err != nil {
		return nil, false, err
	}
	twice, refused := w.history.Once()
	verdict = append(verdict, w.counts())
	verdict = append(verdict, fmt.Sprintf("TWICE: %d requests ran more often than once", len(twice)))
	verdict = append(verdict, fmt.Sprintf("REFUSED: %d requests were refused and have run", len(refused)))
	verdict = append(verdict, twice...)
	return append(verdict, refused...), len(twice)+len(refused) > 0, nil
}

// playMixed is the same for successes. It reports whether a client got the answer to another request.
func playMixed(w *World, program string, trouble bool) (verdict []string, broken bool, err error) {
	if err := w.playDoubles(program, trouble, true, mixedClients, mixedPause); err != nil {
		return nil, false, err
	}
	foreign := w.history.Foreign()
	verdict = append(verdict, w.counts(), fmt.Sprintf("MIXED: %d requests got the answer to another one", len(foreign)))
	return append(verdict, foreign...), len(foreign) > 0, nil
}

func (w *World) counts() string {
	return fmt.Sprintf("%d requests, %d runs, %d late copies", len(w.history.requests), len(w.history.runs), w.history.copies)
}

func (w *World) playDoubles(program string, trouble, success bool, clients int, pause time.Duration) error {
	faulty := &Double{share: doubleShare, success: success}
	work := Behaviour{Work: 160 * time.Millisecond, Spread: 0.5, Queue: 4}
	spoilt := work
	spoilt.Double = faulty
	for _, b := range []Behaviour{work, spoilt, work, spoilt, work, spoilt, work} {
		if err := w.AddLeafs("contas", 1, 4, b); err != nil {
			return err
		}
	}
	w.AddRoute(Route{Name: "booking", Prefix: "/book/", Service: "contas", Limit: 4 * time.Second, Target: 1500 * time.Millisecond, Weight: 1, Contents: 4096, Once: !success})
	w.Configure()
	if err := w.AddMachines(program, machineCount); err != nil {
		return err
	}
	w.Load(clients, pause)
	time.Sleep(warmUp)
	for range doubleTimes {
		if trouble {
			w.history.Note("servers send copies of refusals")
			faulty.Set(true)
		}
		time.Sleep(doubleTime)
		faulty.Set(false)
		time.Sleep(doublePause)
	}
	w.stop.Store(true)
	w.clients.Wait()
	time.Sleep(time.Second)
	return nil
}
