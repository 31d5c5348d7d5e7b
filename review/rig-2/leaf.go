package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Run is a request that a server has begun to work on.
type Run struct {
	At, Ended     time.Time
	Leaf, Service string
	Attempt       string
	Method, URI   string
	Body          string // its hash
	Signature     string
	Status        int    // 0 if its caller has closed the connection, or the server has crashed
	Answer        string // hash of the body of the answer
}

// Behaviour is how long a server works on a request.
type Behaviour struct {
	Work   time.Duration
	Spread float64 // the part of Work by which it varies either way
	Queue  int     // how many requests wait before it rejects further ones
	Double *Double // sends some refusals twice; nil: none
}

// Double is a fault of a server: it spoils some answers and sends a second copy of them, late, before its next
// answer on the same connection. One byte of the name of the header Attempt-Id is wrong.
type Double struct {
	mu      sync.Mutex
	on      bool
	share   float64 // of its answers
	success bool    // it picks successes, and not refusals
	answers int     // since it is on
	copies  int
}

// Set begins or ends the fault.
func (d *Double) Set(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.on, d.answers, d.copies = on, 0, 0
}

// answered counts an answer, and reports whether it is to be sent twice, if it may be.
func (d *Double) answered(success, may bool) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.on {
		return false
	}
	d.answers++
	if !may || success != d.success || float64(d.copies+1) > d.share*float64(d.answers) {
		return false
	}
	d.copies++
	return true
}

// Leaf is a stand-in of a server.
type Leaf struct {
	ID, Service, Zone string
	Address           string
	Slots             int
	history           *History
	behaviour         Behaviour
	born              int64
	sequence          atomic.Int64
	quiet             atomic.Bool // it has crashed
	slots             chan struct{}
	waiting           atomic.Int64
	mu                sync.Mutex
	conns             map[net.Conn]bool
	listener          net.Listener
}

// NewLeaf starts a server.
func NewLeaf(h *History, id, service, zone, address string, slots int, b Behaviour) (*Leaf, error) {
	f := &Leaf{ID: id, Service: service, Zone: zone, Slots: slots, history: h, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), conns: map[net.Conn]bool{}, behaviour: b}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f.listener, f.Address = l, l.Addr().String()
	go f.accept()
	return f, nil
}

// Entry is the server's entry in the store.
func (f *Leaf) Entry() []byte {
	raw, _ := json.Marshal(map[string]any{
		"service": f.Service, "address": f.Address, "zone": f.Zone, "version": "v1", "slots": f.Slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": f.sequence.Add(1), "born": f.born,
	})
	return raw
}

// Beat writes the server's entry until it crashes.
func (f *Leaf) Beat(s *Store) {
	go func() {
		for !f.quiet.Load() {
			s.Put("servers/"+f.ID, f.Entry())
			time.Sleep(beat)
		}
	}()
}

func (f *Leaf) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
		go f.serve(c)
	}
}

// Stop ends the server: its connections are reset.
func (f *Leaf) Stop() {
	f.quiet.Store(true)
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func hashOf(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:6])
}

// serve answers the requests of one connection, one at a time. It drops a request when its connection closes.
func (f *Leaf) serve(c net.Conn) {
	defer func() {
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	b := f.behaviour
	named := false    // an answer on this connection has had an Attempt-Id
	again := []byte{} // to be sent once more
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if len(again) > 0 {
			f.history.update(func() { f.history.copies++ })
			if _, err := c.Write(again); err != nil {
				return
			}
			again = nil
		}
		attempt := r.Header.Get("Attempt-Id")
		head := fmt.Sprintf("Attempt-Id: %s\r\n", attempt)
		switch {
		case r.URL.Path == "/health":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", f.ID)
			continue
		case r.Header.Get("Expected-Instance") != f.ID:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", f.ID)
			continue
		case f.waiting.Load() >= int64(f.Slots+b.Queue):
			refusal := fmt.Sprintf(notExecuted, head)
			if b.Double.answered(false, !named) {
				refusal = fmt.Sprintf(notExecuted, fmt.Sprintf("%s: %s\r\n", spoiltName, attempt))
				again = []byte(refusal)
			} else {
				named = true
			}
			if _, err := io.WriteString(c, refusal); err != nil {
				return
			}
			continue
		}
		gone, peeked := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := br.Peek(1); err != nil {
				close(gone)
			}
		}()
		remaining, _ := strconv.ParseFloat(r.Header.Get("Time-Remaining"), 64)
		timeout := time.After(time.Duration(remaining) * time.Millisecond)
		f.waiting.Add(1)
		select {
		case f.slots <- struct{}{}:
		case <-gone:
			f.waiting.Add(-1)
			return
		case <-timeout:
			f.waiting.Add(-1)
			_, _ = fmt.Fprintf(c, notExecuted, head)
			named = true
			<-peeked
			continue
		}
		run := &Run{At: time.Now(), Leaf: f.ID, Service: f.Service, Attempt: attempt, Method: r.Method, URI: r.RequestURI, Body: hashOf(body)}
		f.history.addRun(run)
		work := time.Duration(float64(b.Work) * (1 + b.Spread*(2*rand.Float64()-1)))
		status := http.StatusOK
		select {
		case <-time.After(work):
		case <-timeout:
			status = http.StatusGatewayTimeout
		case <-gone:
			status = 0
		}
		<-f.slots
		f.waiting.Add(-1)
		f.history.update(func() { run.Ended, run.Status = time.Now(), status })
		if status == 0 {
			return
		}
		answer := fmt.Appendf(nil, "%s %s %s\n", f.Service, attempt, f.ID)
		signature := fmt.Sprintf("%s.%s.%s", f.ID, f.Service, attempt)
		f.history.update(func() { run.Signature, run.Answer = signature, hashOf(answer) })
		name := "Attempt-Id"
		if b.Double.answered(true, !named) {
			name = spoiltName
		}
		out := fmt.Appendf(nil, "HTTP/1.1 %d X\r\n%s: %s\r\nResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", status, name, attempt, signature, len(answer), answer)
		if _, err := c.Write(out); err != nil {
			return
		}
		if name == spoiltName {
			again = out
		} else {
			named = true
		}
		<-peeked
	}
}

// spoiltName is the name of the header Attempt-Id with a wrong byte.
const spoiltName = "Attempt-Ie"

// notExecuted is a refusal, with its further headers left out.
const notExecuted = "HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
