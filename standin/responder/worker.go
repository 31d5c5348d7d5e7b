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

// FaultMode is how a worker behaves.
type FaultMode int

// The moods of a worker.
const (
	Healthy        FaultMode = iota
	Slow                     // works ten times as long
	FailAlternate            // fails every second request
	DropReply                // runs a request and breaks the connection without an answer
	Overloaded               // says that it has no room
	TruncateReply            // cuts its answer short
	WrongAttemptID           // answers with another request's id
	moods
)

// FaultModeCount are all there are.
const FaultModeCount = int(moods)

const (
	// slowFactor is how much longer a slow worker works.
	slowFactor = 10
	// failureStatus is what a grey worker fails with.
	failureStatus = http.StatusInternalServerError
	// recordsOfPart is how many records a shard's part has.
	recordsOfPart = 8
)

// Request is a request that a worker began to work on.
type Request struct {
	Leaf, Service, AttemptID, Method, Path string
	ReceivedAt                             time.Time
	TimeRemaining                          tier.Millis
}

// SimulatedLeaf is a backend server that answers each request with records of its own
// service, after a time of work. It is an http.Handler.
type SimulatedLeaf struct {
	id, service string
	work        time.Duration
	mood        atomic.Int64
	count       atomic.Int64
	ran         func(Request)
	arrived     func(Request)
}

// NewSimulatedLeaf returns a sound worker. arrived is told of each request, and ran of
// each that it begins to work on.
func NewSimulatedLeaf(id, service string, work tier.Millis, arrived, ran func(Request)) *SimulatedLeaf {
	return &SimulatedLeaf{id: id, service: service, work: work.Duration(), arrived: arrived, ran: ran}
}

// SetFaultMode changes how it behaves.
func (l *SimulatedLeaf) SetFaultMode(m FaultMode) { l.mood.Store(int64(m)) }

// ID is its name.
func (l *SimulatedLeaf) ID() string { return l.id }

// Service is what it serves.
func (l *SimulatedLeaf) Service() string { return l.service }

// Registration is what it writes of itself to the store.
func (l *SimulatedLeaf) Registration(address, dataCentre string, draining bool, sequence int64) ([]byte, error) {
	state := "ready"
	if draining {
		state = "draining"
	}
	raw, err := json.Marshal(map[string]any{
		"service": l.service, "address": address, "zone": dataCentre,
		"slots": 4, "state": state, "sequence": sequence, "born": 1,
	})
	return raw, errors.Wrap(err, "Worker.Registration")
}

// ServeHTTP works on a request as the mood says.
func (l *SimulatedLeaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get(headerAttempt)
	left, _ := strconv.Atoi(r.Header.Get(headerTimeLeft))
	run := Request{
		Leaf: l.id, Service: l.service, AttemptID: attempt, Method: r.Method, Path: r.RequestURI,
		ReceivedAt: time.Now(), TimeRemaining: tier.Millis(left),
	}
	h := w.Header()
	if r.Header.Get(headerExpected) != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	l.arrived(run)
	mood := FaultMode(l.mood.Load())
	h.Set(headerAttempt, attempt)
	if mood == Overloaded {
		h.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	l.ran(run)
	work := l.work
	if mood == Slow {
		work *= slowFactor
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	l.answer(w, mood, attempt, r.RequestURI)
}

func (l *SimulatedLeaf) answer(w http.ResponseWriter, mood FaultMode, attempt, path string) {
	h, body := w.Header(), Records(l.service, path)
	switch {
	case mood == DropReply:
		panic(http.ErrAbortHandler)
	case mood == FailAlternate && l.count.Add(1)%2 == 0:
		h.Set(headerProof, proof(l.id, l.service, attempt))
		w.WriteHeader(failureStatus)
		return
	case mood == WrongAttemptID:
		h.Set(headerAttempt, "0"+attempt)
	}
	h.Set(headerProof, proof(l.id, l.service, attempt))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if mood == TruncateReply {
		body = body[:len(body)/2]
	}
	if _, err := w.Write(body); err != nil || mood == TruncateReply {
		panic(http.ErrAbortHandler)
	}
}

// Records are what a service holds for a path, in no order.
func Records(service, path string) []byte {
	b := make([]byte, 0, recordsOfPart*ranker.RecordBytes)
	for i := range recordsOfPart {
		h := fnv.New128a()
		_, _ = io.WriteString(h, service+" "+path+" "+strconv.Itoa(i)) // a hash takes all
		b = h.Sum(b)
	}
	return b
}

// TopRecords are the records that an answer from services must hold.
func TopRecords(top int, path string, services ...string) []byte {
	r := ranker.New(top)
	for _, s := range services {
		r.Add(Records(s, path))
	}
	return r.Bytes()
}

func proof(id, service, attempt string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, id+"/"+service+"/"+attempt)
	return strings.Join([]string{id, service, attempt, strconv.FormatUint(binary.BigEndian.Uint64(sum.Sum(nil)), 36)}, ".")
}

// VerifySignature is the service that a proof is from, if it is a proof for an attempt.
func VerifySignature(text, attempt string) (string, bool) {
	f := strings.Split(text, ".")
	if len(f) != 4 || f[2] != attempt || proof(f[0], f[1], attempt) != text {
		return "", false
	}
	return f[1], true
}

// Signatures are the proofs that an answer bears: one of a leaf, or those of parts.
func Signatures(h http.Header) []string {
	if p := h.Get(headerProof); p != "" {
		return []string{p}
	}
	var list []string
	for p := range strings.SplitSeq(h.Get(headerProofs), ",") {
		if p = strings.TrimSpace(p); p != "" {
			list = append(list, p)
		}
	}
	return list
}

// MissingParts is the number of parts that an answer says are missing.
func MissingParts(h http.Header) (int, error) {
	n, err := strconv.Atoi(h.Get("Missing-Parts"))
	return n, errors.Wrap(err, "Missing")
}

// Signature is the worker's for an attempt.
func (l *SimulatedLeaf) Signature(attempt string) string { return proof(l.id, l.service, attempt) }
