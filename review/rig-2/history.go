package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	Attempt, Route, Method, URI, Body string
	Machine                           string
	Once                              bool
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
	copies   int // answers that servers have sent once more
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

// Once lists the requests that have run more often than once, or were refused and have run, though they may run
// once at most and a refusal promises that they have not.
func (h *History) Once() (twice, refused []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := map[string][]string{}
	for _, r := range h.runs {
		runs[r.Attempt] = append(runs[r.Attempt], fmt.Sprintf("%s at %.3f", r.Leaf, h.seconds(r.At)))
	}
	for _, q := range h.requests {
		list := runs[q.Attempt]
		if !q.Once || len(list) == 0 {
			continue
		}
		if len(list) > 1 {
			twice = append(twice, fmt.Sprintf("TWICE %s, answered %d: %s", q.Attempt, q.Status, strings.Join(list, ", ")))
		}
		switch q.Status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			refused = append(refused, fmt.Sprintf("REFUSED %s, answered %d: %s", q.Attempt, q.Status, strings.Join(list, ", ")))
		}
	}
	return twice, refused
}

// Foreign lists the requests that were answered with the success to another request.
func (h *History) Foreign() (foreign []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	bySignature := map[string]*Run{}
	for _, r := range h.runs {
		bySignature[r.Signature] = r
	}
	for _, q := range h.requests {
		if q.Status != http.StatusOK {
			continue
		}
		if r, ok := bySignature[q.Header.Get("Response-Signature")]; ok && r.Attempt != q.Attempt {
			foreign = append(foreign, fmt.Sprintf("MIXED %s, sent at %.3f, got the answer of %s to %s: %q", q.Attempt, h.seconds(q.Sent), r.Leaf, r.Attempt, q.Answer))
		}
	}
	return foreign
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
