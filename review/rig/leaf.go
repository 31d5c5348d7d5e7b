package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Leaf is a stand-in of one server of a service. It registers in the store as a leaf does.
type Leaf struct {
	ID      string
	Service string
	Address string
	Zone    string
	Work    time.Duration
	Slots   int
	// Answer may replace the sound answer of a call: it writes to the connection itself and
	// returns true.
	Answer func(c net.Conn, attempt string) bool
	// Serve replaces the serving of a connection.
	Serve func(c net.Conn)

	rig      *Rig
	listener net.Listener
	born     int64
	sequence int64
	cold     int64
}

// StartLeaf starts a leaf at a free port and registers it as ready.
func (r *Rig) StartLeaf(service, zone string, work time.Duration) *Leaf {
	l := r.NewLeaf(service, zone, work)
	l.Register("ready")
	return l
}

// NewLeaf starts a leaf that has not registered yet.
func (r *Rig) NewLeaf(service, zone string, work time.Duration) *Leaf {
	listener, err := net.Listen("tcp", r.leafIP+":0")
	r.must(err)
	r.nextLeaf++
	l := &Leaf{
		ID: fmt.Sprintf("i-%s-%d", service, r.nextLeaf), Service: service, Address: listener.Addr().String(), Zone: zone, Work: work, Slots: 4,
		rig: r, listener: listener, born: time.Now().UnixMilli(),
	}
	background.Go(l.accept)
	return l
}

// Register writes the leaf's entry. The store's entry changes when more than the sequence does.
func (l *Leaf) Register(state string) {
	l.sequence++
	l.rig.store.Put("servers/"+l.ID, map[string]any{
		"service": l.Service, "address": l.Address, "zone": l.Zone, "version": "v1", "slots": l.Slots,
		"state": state, "coldRemainingMs": l.cold, "sequence": l.sequence, "born": l.born,
	})
}

// RegisterCold registers the leaf as ready and slow for some more milliseconds.
func (l *Leaf) RegisterCold(remaining int64) {
	l.cold = remaining
	l.Register("ready")
}

func (l *Leaf) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		background.Go(func() { l.serve(c) })
	}
}

func (l *Leaf) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if l.Serve != nil {
		l.Serve(c)
		return
	}
	reader := bufio.NewReader(c)
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
		head := "Attempt-Id: " + attempt + "\r\nKeep-Alive: timeout=5\r\n"
		if want := request.Header.Get("Expected-Instance"); want != "" && want != l.ID {
			l.rig.Recordf("leaf %s answers %s with 421 (wants %s)", l.ID, attempt, want)
			writeAnswer(c, "421 Misdirected Request", head+"Not-Executed: 1\r\n", nil)
			continue
		}
		if request.URL.Path == healthPath {
			writeAnswer(c, "200 OK", "Instance-Id: "+l.ID+"\r\n", nil)
			continue
		}
		run := l.rig.began(l, request, body)
		time.Sleep(l.Work)
		if l.Answer != nil && l.Answer(c, attempt) {
			continue
		}
		text := fmt.Sprintf("service=%s leaf=%s attempt=%s", l.Service, l.ID, attempt)
		l.rig.Recordf("leaf %s answers %s with 200 (run %d)", l.ID, attempt, run)
		writeAnswer(c, "200 OK", head+"Response-Signature: "+signature(l, attempt)+"\r\n", []byte(text))
	}
}

// signature is the proof that the leaf puts into its answers.
func signature(l *Leaf, attempt string) string {
	return strings.ReplaceAll(l.ID, "-", "") + "." + attempt
}

// writeAnswer writes an answer with a length.
func writeAnswer(c net.Conn, status, head string, body []byte) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
}
