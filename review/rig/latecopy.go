package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-copy"] = lateCopy }

// spoiler picks the answers that leafs send twice: refusals, up to one of copiedOneIn answers that
// these leafs give while it is on.
type spoiler struct {
	mu              sync.Mutex
	on              bool
	answers, copies int
}

func (s *spoiler) set(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = on
}

// copyDue counts an answer, and reports whether it is to be sent a second time.
func (s *spoiler) copyDue(refusal bool) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.on {
		return false
	}
	s.answers++
	if !refusal || (s.copies+1)*copiedOneIn > s.answers {
		return false
	}
	s.copies++
	return true
}

// fullLeaf is a leaf with a few slots and a short queue. It refuses what it has no room for, and
// sends the answers that its spoiler picks a second time, late.
type fullLeaf struct {
	*Leaf
	slots, queue int
	spoiler      *spoiler // or nil

	mu       sync.Mutex
	admitted int
	free     chan struct{}
}

func (r *Rig) startFullLeaf(service, zone string, slots, queue int, work time.Duration, s *spoiler) *fullLeaf {
	f := &fullLeaf{Leaf: r.NewLeaf(service, zone, work), slots: slots, queue: queue, spoiler: s, free: make(chan struct{}, slots)}
	for range slots {
		f.free <- struct{}{}
	}
	f.Serve, f.Slots = f.serve, slots
	f.Register("ready")
	return f
}

func (f *fullLeaf) admit() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.admitted >= f.slots+f.queue {
		return false
	}
	f.admitted++
	return true
}

func (f *fullLeaf) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted--
}

func (f *fullLeaf) serve(c net.Conn) {
	r := f.rig
	reader := bufio.NewReader(c)
	var late []byte // the second copy of the last answer, if one is due
	var last string // the attempt that it answered
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		attempt := request.Header.Get("Attempt-Id")
		if late != nil {
			r.Recordf("leaf %s sends the second copy of its answer to %s where the one to %s is due", f.ID, last, attempt)
			_, _ = c.Write(late)
			late = nil
		}
		head := "Attempt-Id: " + attempt + "\r\nKeep-Alive: timeout=5\r\n"
		if want := request.Header.Get("Expected-Instance"); want != "" && want != f.ID {
			writeAnswer(c, "421 Misdirected Request", head+"Not-Executed: 1\r\n", nil)
			continue
		}
		if !f.admit() {
			answer := []byte("HTTP/1.1 503 Service Unavailable\r\n" + head + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			r.Recordf("leaf %s is full and answers %s with 503 and Not-Executed", f.ID, attempt)
			if f.spoiler.copyDue(true) {
				late, last = answer, attempt
			}
			_, _ = c.Write(answer)
			continue
		}
		<-f.free
		run := r.began(f.Leaf, request, body)
		time.Sleep(f.Work)
		f.free <- struct{}{}
		f.leave()
		f.spoiler.copyDue(false)
		r.Recordf("leaf %s answers %s with 200 (run %d)", f.ID, attempt, run)
		writeAnswer(c, "200 OK", head+"Response-Signature: "+signature(f.Leaf, attempt)+"\r\n", []byte(fmt.Sprintf("service=%s leaf=%s attempt=%s", f.Service, f.ID, attempt)))
	}
}

// others keeps a leaf busy with the requests of other callers: about perSecond of them, at random.
func (f *fullLeaf) others(perSecond float64, random *rand.Rand, stop time.Time) {
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if !f.admit() {
			continue
		}
		background.Go(func() {
			<-f.free
			time.Sleep(f.Work)
			f.free <- struct{}{}
			f.leave()
		})
	}
}

const (
	otherCallers   = 25.0 // requests a second at each leaf
	bookedServices = 40
	bookedPerS     = 2  // requests a second to each service
	copiedOneIn    = 25 // answers of a leaf: x = 0.04
	spoilWindows   = 4
	spoilFor       = 5 * time.Second
	spoilPause     = 8 * time.Second
)

// lateCopy lets consumers book at leafs that are often full. At times, one of the two leafs of each
// service sends some of its refusals twice, the second time where its next answer on the connection
// is due.
func lateCopy(r *Rig) {
	var spoils spoiler
	stop := time.Now().Add(spoilWindows*(spoilFor+spoilPause) + 20*time.Second)
	var services []string
	var routes []route
	for k := range bookedServices {
		name := fmt.Sprintf("frota%d", k+1)
		services = append(services, name)
		routes = append(routes, singleRoute("relatorio"+name, "/"+name+"/", name, "non_idempotent", 12000, 1500, 2))
		for z := range 2 {
			var s *spoiler
			if z == k%2 { // one of two leafs, a share of 0.5
				s = &spoils
			}
			f := r.startFullLeaf(name, zones[z], 2, 2, 160*time.Millisecond, s)
			background.Go(func() { f.others(otherCallers, rand.New(rand.NewPCG(uint64(k), uint64(z))), stop) })
		}
	}
	r.Configure(1, services, routes...)
	r.StartVM(0)
	r.WaitReady(15 * time.Second)
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for range spoilWindows {
		spoils.set(r.trouble)
		r.Recordf("the leafs begin to send answers twice: %v", r.trouble)
		for end := time.Now().Add(spoilFor); time.Now().Before(end); {
			for _, name := range services {
				group.Go(func() {
					a := r.Send(r.vms[0], "POST", "/"+name+"/1", "pedido", 12*time.Second)
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
				})
				time.Sleep(time.Second / (bookedServices * bookedPerS))
			}
		}
		spoils.set(false)
		r.Recordf("the leafs end that")
		time.Sleep(spoilPause)
	}
	group.Wait()
	time.Sleep(time.Second)
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
		runs := len(r.runsOf(a.attempt))
		if runs > 1 {
			r.Brokenf("TWICE: %s is not idempotent and ran %d times, its consumer got %d", a.attempt, runs, a.status)
		}
		if runs > 0 && (a.status == 503 || a.status == 429) {
			r.Brokenf("REFUSED: %s was answered %d and has run %d times", a.attempt, a.status, runs)
		}
	}
	r.Recordf("answers by status: %v; the leafs that spoil gave %d answers meanwhile and sent %d of them twice", counts, spoils.answers, spoils.copies)
}
