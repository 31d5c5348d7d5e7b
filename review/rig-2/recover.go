package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case.
const (
	machineCount = 7
	clientCount  = 24
	meanPause    = 150 * time.Millisecond
	warmUp       = 2 * time.Second
	beforeFault  = 8 * time.Second
	crashGap     = 80 * time.Millisecond // between the crashes of two servers
	crashTime    = 4500 * time.Millisecond
	faultAfter   = 700 * time.Millisecond // from the last crash to the final fault
	downTime     = 900 * time.Millisecond // of the machines' processes
	afterRecover = 20 * time.Second
	leastShare   = 0.25
)

// playRecover has all servers of a service crash, one right after the other, and then the final fault: all
// processes of the machines are killed after a configuration was acknowledged. It reports whether RECOVER
// is broken. Without trouble, neither happens; with finalOnly, only the final fault does.
func playRecover(w *World, program string, trouble, finalOnly bool) (verdict []string, broken bool, err error) {
	work := Behaviour{Work: 160 * time.Millisecond, Spread: 0.5, Queue: 16}
	if err := w.AddLeafs("frota", 3, 4, work); err != nil {
		return nil, false, err
	}
	if err := w.AddLeafs("contas", 7, 4, work); err != nil {
		return nil, false, err
	}
	w.AddRoute(Route{Name: "fleet-state", Prefix: "/timi402/", Service: "frota", Limit: 12 * time.Second, Target: 1500 * time.Millisecond, Weight: 8, Contents: 1})
	w.AddRoute(Route{Name: "accounts", Prefix: "/pura132/", Service: "contas", Limit: 12 * time.Second, Target: 1500 * time.Millisecond, Weight: 1, Contents: 256})
	w.Configure()
	if err := w.AddMachines(program, machineCount); err != nil {
		return nil, false, err
	}
	w.Load(clientCount, meanPause)
	time.Sleep(warmUp)
	from := time.Now()
	time.Sleep(beforeFault)
	fault := time.Now()
	var crashes sync.WaitGroup
	if trouble {
		for _, f := range w.leafs[:3] {
			crashes.Go(func() {
				if err := w.Crash(f, crashTime); err != nil {
					w.history.Note("server %s does not start again: %v", f.ID, err)
				}
			})
			time.Sleep(crashGap)
		}
		time.Sleep(faultAfter)
	}
	w.Configure()
	w.history.Note("configuration %d is acknowledged", w.version)
	if trouble || finalOnly {
		var kills sync.WaitGroup
		for _, m := range w.machines {
			kills.Go(func() {
				if err := m.Kill(w.history, downTime); err != nil {
					w.history.Note("%s does not start again: %v", m.Name, err)
				}
			})
		}
		kills.Wait()
	}
	w.history.Note("all machines are back")
	back := time.Now()
	crashes.Wait()
	time.Sleep(time.Until(back.Add(recoverySeconds*time.Second + afterRecover)))
	end := time.Now()
	sent, served := w.history.Share(from, fault)
	sentAfter, servedAfter := w.history.Share(back.Add(recoverySeconds*time.Second), end.Add(-time.Second))
	share := func(served, sent int) float64 { return float64(served) / float64(max(1, sent)) }
	broken = share(served, sent) >= leastShare && share(servedAfter, sentAfter) < leastShare
	return []string{
		fmt.Sprintf("before the fault: %d of %d requests served", served, sent),
		fmt.Sprintf("later than %d s after the machines are back: %d of %d requests served", recoverySeconds, servedAfter, sentAfter),
		fmt.Sprintf("RECOVER broken: %v", broken),
	}, broken, nil
}
