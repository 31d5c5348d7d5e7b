package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["server-leaving"] = serverLeaving }

const (
	drainTimeout   = 4 * time.Second
	storeDownFor   = 4500 * time.Millisecond
	bookingPause   = 25 * time.Millisecond
	reportCheckGap = 300 * time.Millisecond
)

// serverLeaving lets a leaf leave while the store is down: it says so in its answers, and can report
// it to the store only later.
func serverLeaving(r *Rig) {
	for z := range zones {
		r.StartLeaf("frota", zones[z], 20*time.Millisecond)
	}
	leaver := r.NewLeaf("frota", zones[0], 20*time.Millisecond)
	var leaving atomic.Bool
	leaver.Answer = func(c net.Conn, attempt string) bool {
		if !leaving.Load() {
			return false
		}
		r.Recordf("leaf %s answers %s with 200 and Server-Leaving", leaver.ID, attempt)
		writeAnswer(c, "200 OK", "Attempt-Id: "+attempt+"\r\nServer-Leaving: 1\r\nKeep-Alive: timeout=5\r\nResponse-Signature: "+signature(leaver, attempt)+"\r\n",
			[]byte(fmt.Sprintf("service=%s leaf=%s attempt=%s", leaver.Service, leaver.ID, attempt)))
		return true
	}
	leaver.Register("ready")
	r.Configure(1, []string{"frota"}, singleRoute("relatorio", "/relatorio/", "frota", "non_idempotent", 12000, 1500, 2))
	for z := range zones {
		r.StartVM(z)
	}
	r.WaitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	told := map[*VM]time.Time{} // when the VM first passed on an answer with Server-Leaving
	var answers []answer
	stop := time.Now().Add(10 * time.Second)
	began := time.Now().Add(time.Second)
	background.Go(func() {
		time.Sleep(time.Until(began))
		if r.trouble {
			r.Recordf("the store is down")
			r.store.SetDown(true)
		}
		leaving.Store(true)
		r.Recordf("leaf %s leaves", leaver.ID)
		if r.trouble {
			time.Sleep(storeDownFor)
			r.store.SetDown(false)
			r.Recordf("the store is back")
			time.Sleep(reportCheckGap)
		}
		leaver.Register("draining")
		r.Recordf("leaf %s has reported that it drains", leaver.ID)
	})
	for k := 0; time.Now().Before(stop); k++ {
		v := r.vms[k%len(r.vms)]
		group.Go(func() {
			a := r.Send(v, "POST", "/relatorio/1", "pedido", 12*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
			if a.header.Get("Server-Leaving") != "" {
				if at, ok := told[v]; !ok || time.Now().Before(at) {
					told[v] = time.Now()
				}
			}
		})
		time.Sleep(bookingPause)
	}
	group.Wait()
	for _, a := range answers {
		at, ok := told[a.vm]
		if !ok || a.sentAt.Sub(at) <= drainTimeout {
			continue
		}
		for _, one := range r.runsOf(a.attempt) {
			if one.leaf == leaver {
				r.Brokenf("DRAIN: %s was sent %.2f s after %s had passed on an answer of %s with Server-Leaving, and reached that leaf", a.attempt, a.sentAt.Sub(at).Seconds(), a.vm.Name, leaver.ID)
			}
		}
	}
}
