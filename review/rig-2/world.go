package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// World is a small deployment: a store, servers, machines and clients.
type World struct {
	store    *Store
	history  *History
	machines []*Machine
	leafs    []*Leaf
	routes   []Route
	weights  int
	subnet   string
	dir      string
	stop     atomic.Bool
	clients  sync.WaitGroup
	version  int64
}

// beat is how often a server writes its entry, and maxAttempts that of all routes.
const (
	beat        = 1200 * time.Millisecond
	maxAttempts = 2
)

var zones = map[string]string{"serra-caxias": "serra", "litoral-itajai": "litoral", "oeste-chapeco": "oeste"}

var zoneNames = []string{"serra-caxias", "litoral-itajai", "oeste-chapeco"}

// freeSubnet finds a loopback network whose ports are free.
func freeSubnet() (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", subnet, frontPort))
		if err == nil {
			_ = l.Close()
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// NewWorld returns a deployment without machines and servers.
func NewWorld() (*World, error) {
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	return &World{store: NewStore(), history: NewHistory(), subnet: subnet, dir: dir, version: 7}, nil
}

// AddLeafs starts count servers of a service, in the zones in turn.
func (w *World) AddLeafs(service string, count, slots int, b Behaviour) error {
	for range count {
		n := len(w.leafs)
		f, err := NewLeaf(w.history, fmt.Sprintf("i-%d", n), service, zoneNames[n%len(zoneNames)], w.subnet+".200:0", slots, b)
		if err != nil {
			return err
		}
		f.Beat(w.store)
		w.leafs = append(w.leafs, f)
	}
	return nil
}

// AddRoute adds a route.
func (w *World) AddRoute(r Route) {
	w.routes = append(w.routes, r)
	w.weights += r.Weight
}

func (w *World) route() *Route {
	n := rand.IntN(w.weights)
	for k := range w.routes {
		if n -= w.routes[k].Weight; n < 0 {
			return &w.routes[k]
		}
	}
	return &w.routes[0]
}

// Configure writes a version of the configuration.
func (w *World) Configure() {
	routes, services := []map[string]any{}, []map[string]any{}
	for k, r := range w.routes {
		kind := "idempotent"
		if r.Once {
			kind = "non_idempotent"
		}
		routes = append(routes, map[string]any{
			"name": r.Name, "host": host, "pathPrefix": r.Prefix, "kind": kind, "timeoutMs": r.Limit.Milliseconds(),
			"targetLatencyMs": r.Target.Milliseconds(), "priority": k, "maxAttempts": maxAttempts, "service": r.Service,
		})
		services = append(services, map[string]any{"name": r.Service, "healthCheckPath": "/health", "connectionLimit": 100, "protocol": "h1", "tls": false})
	}
	w.version += 3
	raw, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
	if err == nil {
		w.store.Put("op/config", raw)
	}
}

// AddMachines starts machines, in the zones in turn.
func (w *World) AddMachines(program string, count int) error {
	for k := range count {
		zone := zoneNames[k%len(zoneNames)]
		m := &Machine{
			Name: fmt.Sprintf("front-%s-%d", zone, 1+k/len(zoneNames)), Zone: zone, Region: zones[zone], IP: fmt.Sprintf("%s.%d", w.subnet, 10+k),
			dir: w.dir, program: program, zones: zones, first: true,
		}
		for i := range min(3, count) {
			m.seeds = append(m.seeds, fmt.Sprintf("%s.%d:%d", w.subnet, 10+i, controlPort))
		}
		m.door = &Door{store: w.store}
		if err := m.door.Serve(m.at(storePort)); err != nil {
			return err
		}
		w.machines = append(w.machines, m)
	}
	for _, m := range w.machines {
		if err := m.Start(w.history); err != nil {
			return err
		}
	}
	go func() {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for !w.stop.Load() {
			var g sync.WaitGroup
			for _, m := range w.machines {
				g.Go(func() { m.probe(client) })
			}
			g.Wait()
			time.Sleep(time.Second)
		}
	}()
	for range 200 {
		all := true
		for _, m := range w.machines {
			all = all && m.ready.Load()
		}
		if all {
			time.Sleep(2 * time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the machines did not become ready")
}

// pick returns a machine that gets new connections.
func (w *World) pick() *Machine {
	var list []*Machine
	for _, m := range w.machines {
		if m.ready.Load() {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rand.IntN(len(list))]
}

// Load starts clients.
func (w *World) Load(count int, pause time.Duration) {
	for k := range count {
		c := &Client{world: w, number: k}
		w.clients.Go(func() { c.run(&w.stop, pause) })
	}
}

// Crash ends a server, which starts again after a while at the same address. The platform removes its
// entry after three intervals of silence.
func (w *World) Crash(f *Leaf, down time.Duration) error {
	w.history.Note("server %s of %s crashes", f.ID, f.Service)
	f.Stop()
	time.AfterFunc(3*beat, func() { w.store.Remove("servers/" + f.ID) })
	time.Sleep(down)
	again, err := NewLeaf(w.history, f.ID+"-again", f.Service, f.Zone, f.Address, f.Slots, f.behaviour)
	if err != nil {
		return err
	}
	again.Beat(w.store)
	w.history.Note("server %s of %s is up", again.ID, again.Service)
	return nil
}

// End ends the clients and all processes.
func (w *World) End() {
	w.stop.Store(true)
	w.clients.Wait()
	for _, m := range w.machines {
		if m.process != nil {
			<-m.Signal(syscall.SIGKILL)
		}
	}
	_ = os.RemoveAll(w.dir)
}
