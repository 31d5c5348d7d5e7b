package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["large-changes"] = largeChanges }

const (
	addedRoutes  = 350 // of one big_config
	growths      = 8
	stormChanges = 25
	stormGap     = 80 * time.Millisecond
)

// largeChanges lets the configuration grow by many routes and then change in quick succession.
func largeChanges(r *Rig) {
	services := []string{"contas", "frota"}
	for z := range zones {
		r.StartLeaf("contas", zones[z], 2*time.Millisecond)
		r.StartLeaf("frota", zones[z], 2*time.Millisecond)
	}
	consult := func(service string, aim int) route {
		return singleRoute("consulta", "/consulta/", service, "idempotent", 4000, aim, 2)
	}
	var more []route
	version := int64(1)
	configure := func(first route) time.Time {
		version++
		return r.Configure(version, services, append([]route{first}, more...)...)
	}
	configure(consult("contas", 300))
	for k := range 3 {
		r.StartVM(k)
	}
	r.WaitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	for g := range growths {
		for k := range addedRoutes {
			n := g*addedRoutes + k
			more = append(more, route{
				"name": fmt.Sprintf("r-%07x", n*2654435761%(1<<28)), "host": "pupu76.example", "pathPrefix": fmt.Sprintf("/bapu561/no%d/", n),
				"kind": "idempotent", "timeoutMs": 12000, "targetLatencyMs": 1500, "priority": 2, "maxAttempts": 2,
				"trafficSplit": []any{map[string]any{"service": "contas", "weight": 0.5}, map[string]any{"service": "frota", "weight": 0.5}},
			})
		}
		configure(consult("contas", 300))
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		for k := range stormChanges {
			configure(consult("contas", 301+k))
			time.Sleep(stormGap)
		}
	}
	confirmed := configure(consult("frota", 300))
	time.Sleep(time.Until(confirmed.Add(propagation + 500*time.Millisecond)))
	var group sync.WaitGroup
	for range 40 {
		for _, v := range r.vms {
			group.Go(func() {
				a := r.Send(v, "GET", "/consulta/1", "", 4*time.Second)
				if a.status == 200 && strings.HasPrefix(a.body, "service=contas ") {
					r.Brokenf("CONFIG: %s was sent %.1f s after version %d was confirmed, and %s had it run by contas, as only older versions allow",
						a.attempt, a.sentAt.Sub(confirmed).Seconds(), version, v.Name)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
}
