package responder

import (
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
	"cicadagrade.example/tier/ranker"
)

// Mood is how a SimulatedLeaf fails.
type Mood int

// The fault modes of a simulated leaf.
const (
	Sound   Mood = iota
	Slow         // takes ten times as long
	Grey         // fails every second request with status 500
	Silent       // executes a request and closes the connection without a reply
	Crowded      // replies that it is overloaded and has not executed the request
	Rotten       // sends only half of its reply
	Mistook      // replies with the ID of another attempt
	faultModeCount
)

// Moods is the number of fault modes, including Healthy.
const Moods = int(faultModeCount)

const (
	// slowFactor multiplies the service time of a leaf in mode Slow.
	slowFactor = 10
	// errorStatus is the status of failed requests in mode FailAlternate.
	errorStatus = http.StatusInternalServerError
	// recordsPerPart is the number of records in the reply of one service.
	recordsPerPart = 8
)

// Run is a request that a simulated leaf has received.
type Run struct {
	Leaf, Service, Attempt, Method, Path string
	At                                   time.Time
	TimeLeft                             tier.Millis
}

// Worker is a backend server that replies to each request with records of its
// own service after a service time. It is an http.Handler.
type Worker struct {
	id, service  string
	serviceTime  time.Duration
	faultMode    atomic.Int64
	requestCount atomic.Int64
	onExecute    func(Run)
	onArrive     func(Run)
}

// NewWorker returns a healthy leaf. It calls onArrive for each request addressed
// to it and onExecute for each of them that it starts to execute.
func NewWorker(id, service string, serviceTime tier.Millis, onArrive, onExecute func(Run)) *Worker {
	return &Worker{id: id, service: service, serviceTime: serviceTime.Duration(), onArrive: onArrive, onExecute: onExecute}
}

// SetMood sets how the leaf fails from now on.
func (l *Worker) SetMood(m Mood) { l.faultMode.Store(int64(m)) }

// ID returns the ID of the leaf's instance.
func (l *Worker) ID() string { return l.id }

// Service returns the name of the service that the leaf serves.
func (l *Worker) Service() string { return l.service }

// Registration returns the entry with which the leaf registers in the store.
func (l *Worker) Registration(address, dataCentre string, draining bool, sequence int64) ([]byte, error) {
	state := "ready"
	if draining {
		state = "draining"
	}
	raw, err := json.Marshal(map[string]any{
		"service": l.service, "address": address, "zone": dataCentre,
		"slots": 4, "state": state, "sequence": sequence, "born": 1,
	})
	return raw, errors.Wrap(err, "SimulatedLeaf.Registration")
}

// ServeHTTP replies to a request according to the fault mode.
func (l *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	attemptID := r.Header.Get(headerAttempt)
	timeRemaining, _ := strconv.Atoi(r.Header.Get(headerTimeRemaining))
	request := Run{
		Leaf: l.id, Service: l.service, Attempt: attemptID, Method: r.Method, Path: r.RequestURI,
		At: time.Now(), TimeLeft: tier.Millis(timeRemaining),
	}
	h := w.Header()
	if r.Header.Get(headerExpected) != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.onArrive(request)
	mode := Mood(l.faultMode.Load())
	h.Set(headerAttempt, attemptID)
	if mode == Crowded {
		h.Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.onExecute(request)
	serviceTime := l.serviceTime
	if mode == Slow {
		serviceTime *= slowFactor
	}
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done():
		return
	}
	l.writeReply(w, mode, attemptID, r.RequestURI)
}

func (l *Worker) writeReply(w http.ResponseWriter, mode Mood, attemptID, path string) {
	h, body := w.Header(), Records(l.service, path)
	switch {
	case mode == Silent:
		panic(http.ErrAbortHandler)
	case mode == Grey && l.requestCount.Add(1)%2 == 0:
		h.Set(headerSignature, signature(l.id, l.service, attemptID))
		w.WriteHeader(errorStatus)
		return
	case mode == Mistook:
		h.Set(headerAttempt, "0"+attemptID)
	}
	h.Set(headerSignature, signature(l.id, l.service, attemptID))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if mode == Rotten {
		body = body[:len(body)/2]
	}
	if _, err := w.Write(body); err != nil || mode == Rotten {
		panic(http.ErrAbortHandler)
	}
}

// Records returns the records of a service for a path, in no particular order.
func Records(service, path string) []byte {
	b := make([]byte, 0, recordsPerPart*ranker.RecordBytes)
	for i := range recordsPerPart {
		h := fnv.New128a()
		_, _ = io.WriteString(h, service+" "+path+" "+strconv.Itoa(i)) // writes to a hash never fail
		b = h.Sum(b)
	}
	return b
}

// Greatest returns the greatest records of the services for a path: those that an
// answer from all these services must contain.
func Greatest(top int, path string, services ...string) []byte {
	r := ranker.New(top)
	for _, s := range services {
		r.Add(Records(s, path))
	}
	return r.Bytes()
}

func signature(id, service, attemptID string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, id+"/"+service+"/"+attemptID)
	return strings.Join([]string{id, service, attemptID, strconv.FormatUint(binary.BigEndian.Uint64(sum.Sum(nil)), 36)}, ".")
}

// ServiceOf reports whether a signature is valid for an attempt, and returns the
// service that made it.
func ServiceOf(signed, attemptID string) (string, bool) {
	f := strings.Split(signed, ".")
	if len(f) != 4 || f[2] != attemptID || signature(f[0], f[1], attemptID) != signed {
		return "", false
	}
	return f[1], true
}

// Proofs returns the signatures in the headers of an answer: that of a single leaf,
// or those of its parts.
func Proofs(h http.Header) []string {
	if p := h.Get(headerSignature); p != "" {
		return []string{p}
	}
	var list []string
	for p := range strings.SplitSeq(h.Get(headerPartSignatures), ",") {
		if p = strings.TrimSpace(p); p != "" {
			list = append(list, p)
		}
	}
	return list
}

// Missing returns the number of parts that an answer says are missing.
func Missing(h http.Header) (int, error) {
	n, err := strconv.Atoi(h.Get("Missing-Parts"))
	return n, errors.Wrap(err, "MissingParts")
}

// Proof returns the leaf's signature for an attempt.
func (l *Worker) Proof(attemptID string) string { return signature(l.id, l.service, attemptID) }
