package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	Attempt, Route, Method, URI, Body string
	Machine                           string
	Sent, Ended                       time.Time
	Status                            int // 0 without an answer
	Header                            http.Header
	Answer                            []byte
	Err                               string
}

// History is what clients and servers have seen.
type History struct {
	mu       sync.Mutex
	requests []*Request
	runs     []*Run
	notes    []string
	start    time.Time
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{start: time.Now()} }

func (h *History) update(do func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do()
}

func (h *History) addRun(r *Run) { h.update(func() { h.runs = append(h.runs, r) }) }

func (h *History) addRequest(q *Request) { h.update(func() { h.requests = append(h.requests, q) }) }

// seconds is a time since the start.
func (h *History) seconds(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return t.Sub(h.start).Seconds()
}

// Note records an event of the case.
func (h *History) Note(format string, args ...any) {
	h.update(func() {
		h.notes = append(h.notes, fmt.Sprintf("%7.3f %s", time.Since(h.start).Seconds(), fmt.Sprintf(format, args...)))
	})
}

// served reports whether a request was answered with the success of the server that ran it.
func (h *History) served(q *Request, bySignature map[string]*Run) bool {
	r, ok := bySignature[q.Header.Get("Response-Signature")]
	return q.Status == http.StatusOK && ok && r.Attempt == q.Attempt && r.Answer == hashOf(q.Answer)
}

// Share returns how many requests were sent in a span, and how many of them were served.
func (h *History) Share(from, to time.Time) (sent, served int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	bySignature := map[string]*Run{}
	for _, r := range h.runs {
		bySignature[r.Signature] = r
	}
	for _, q := range h.requests {
		if q.Sent.Before(from) || !q.Sent.Before(to) {
			continue
		}
		sent++
		if h.served(q, bySignature) {
			served++
		}
	}
	return sent, served
}

// Write writes all that was seen to a file.
func (h *History) Write(path string, verdict []string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, line := range verdict {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintln(w, "\nevents (seconds since the start)")
	for _, n := range h.notes {
		fmt.Fprintln(w, n)
	}
	fmt.Fprintln(w, "\nrequests: sent, ended, id, route, path, machine, answer")
	for _, q := range h.requests {
		answer := fmt.Sprint(q.Status)
		if q.Status == 0 {
			answer = "none"
		}
		if after := q.Header.Get("Retry-After"); after != "" {
			answer += ", Retry-After " + after
		}
		fmt.Fprintf(w, "%7.3f %7.3f %s %s %s %s %s\n", h.seconds(q.Sent), h.seconds(q.Ended), q.Attempt, q.Route, q.URI, q.Machine, answer)
	}
	fmt.Fprintln(w, "\nruns: begun, ended, id, service, server, status (0: cut)")
	for _, r := range h.runs {
		fmt.Fprintf(w, "%7.3f %7.3f %s %s %s %d\n", h.seconds(r.At), h.seconds(r.Ended), r.Attempt, r.Service, r.Leaf, r.Status)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}
