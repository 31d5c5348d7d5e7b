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

// FaultMode is how a SimulatedLeaf fails.
type FaultMode int

// The fault modes of a simulated leaf.
const (
	Healthy        FaultMode = iota
	Slow                     // takes ten times as long
	FailAlternate            // fails every second request with status 500
	DropReply                // executes a request and closes the connection without a reply
	Overloaded               // replies that it is overloaded and has not executed the request
	TruncateReply            // sends only half of its reply
	WrongAttemptID           // replies with the ID of another attempt
	faultModeCount
)

// Fault modes that are not counted among the others, so that plans drawn by older seeds stay.
const (
	UnsignedReply FaultMode = 100 + iota // spoils the name of the header that signs its reply
	RepeatRefusal                        // refuses a request, and does so again, late, before its next reply
	AskForRest                           // refuses a request, and wants none of that VM for Rest
	SayLeaving                           // says in its replies that it leaves, and serves on
)

// FaultModeCount is the number of fault modes, including Healthy.
const FaultModeCount = int(faultModeCount)

// Rest is for how long a leaf in mode AskForRest wants no request.
const Rest = 1500 * tier.Millisecond

const (
	// slowFactor multiplies the service time of a leaf in mode Slow.
	slowFactor = 10
	// errorStatus is the status of failed requests in mode FailAlternate.
	errorStatus = http.StatusInternalServerError
	// spoiltSignature is the name of the header of signatures with one wrong byte.
	spoiltSignature = "Response-Signatuse"
	// recordsPerPart is the number of records in the reply of one service.
	recordsPerPart = 8
)

// Request is a request that a simulated leaf has received.
type Request struct {
	Leaf, Service, AttemptID, Method, Path string
	ReceivedAt                             time.Time
	TimeRemaining                          tier.Millis
	Organisation                           string // as the entry VM names it
	Headers                                string // the whole header, in the format of HTTP/1.1
	AsksForRest                            bool   // the leaf refuses it, and wants no further one for Rest
}

// SimulatedLeaf is a backend server that replies to each request with records of its
// own service after a service time. It is an http.Handler.
type SimulatedLeaf struct {
	id, service  string
	serviceTime  time.Duration
	faultMode    atomic.Int64
	requestCount atomic.Int64
	coldUntil    atomic.Int64 // Unix milliseconds, or 0
	onExecute    func(Request)
	onArrive     func(Request)
}

// NewSimulatedLeaf returns a healthy leaf. It calls onArrive for each request addressed
// to it and onExecute for each of them that it starts to execute.
func NewSimulatedLeaf(id, service string, serviceTime tier.Millis, onArrive, onExecute func(Request)) *SimulatedLeaf {
	return &SimulatedLeaf{id: id, service: service, serviceTime: serviceTime.Duration(), onArrive: onArrive, onExecute: onExecute}
}

// SetFaultMode sets how the leaf fails from now on.
func (l *SimulatedLeaf) SetFaultMode(m FaultMode) { l.faultMode.Store(int64(m)) }

// TurnCold makes the leaf's registrations say that it is cold until the given time.
func (l *SimulatedLeaf) TurnCold(until time.Time) { l.coldUntil.Store(until.UnixMilli()) }

// ID returns the ID of the leaf's instance.
func (l *SimulatedLeaf) ID() string { return l.id }

// Service returns the name of the service that the leaf serves.
func (l *SimulatedLeaf) Service() string { return l.service }

// Registration returns the entry with which the leaf registers in the store.
func (l *SimulatedLeaf) Registration(address, dataCentre string, draining bool, sequence int64) ([]byte, error) {
	state := "ready"
	if draining {
		state = "draining"
	}
	fields := map[string]any{
		"service": l.service, "address": address, "zone": dataCentre, "version": "v1",
		"slots": 4, "state": state, "sequence": sequence, "born": 1,
	}
	if remaining := l.coldUntil.Load() - time.Now().UnixMilli(); remaining > 0 {
		fields["coldRemainingMs"] = remaining
	}
	raw, err := json.Marshal(fields)
	return raw, errors.Wrap(err, "SimulatedLeaf.Registration")
}

// ServeHTTP replies to a request according to the fault mode.
func (l *SimulatedLeaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.serveAs(w, r, FaultMode(l.faultMode.Load()))
}

// serveAs replies to a request according to a fault mode.
func (l *SimulatedLeaf) serveAs(w http.ResponseWriter, r *http.Request, mode FaultMode) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	attemptID := r.Header.Get(headerAttempt)
	timeRemaining, _ := strconv.Atoi(r.Header.Get(headerTimeRemaining))
	request := Request{
		Leaf: l.id, Service: l.service, AttemptID: attemptID, Method: r.Method, Path: r.RequestURI,
		ReceivedAt: time.Now(), TimeRemaining: tier.Millis(timeRemaining),
		Organisation: strings.Join(r.Header.Values(headerOrganisation), ","), Headers: headerText(r.Header),
	}
	h := w.Header()
	if r.Header.Get(headerExpected) != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	request.AsksForRest = mode == AskForRest
	l.onArrive(request)
	h.Set(headerAttempt, attemptID)
	switch mode {
	case SayLeaving:
		h.Set(headerServerLeaving, "1")
	case AskForRest:
		h.Set(headerRetryAfter, strconv.FormatFloat(float64(Rest)/float64(tier.Second), 'f', -1, 64))
		mode = Overloaded
	}
	if mode == RepeatRefusal {
		l.repeatRefusal(w, attemptID)
		return
	}
	if mode == Overloaded {
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

func headerText(h http.Header) string {
	var b strings.Builder
	_ = h.Write(&b) // writes to a strings.Builder never fail
	return b.String()
}

func (l *SimulatedLeaf) writeReply(w http.ResponseWriter, mode FaultMode, attemptID, path string) {
	h, body := w.Header(), Records(l.service, path)
	switch {
	case mode == DropReply:
		panic(http.ErrAbortHandler)
	case mode == FailAlternate && l.requestCount.Add(1)%2 == 0:
		h.Set(headerSignature, signature(l.id, l.service, attemptID))
		w.WriteHeader(errorStatus)
		return
	case mode == WrongAttemptID:
		h.Set(headerAttempt, "0"+attemptID)
	}
	name := headerSignature
	if mode == UnsignedReply {
		name = spoiltSignature
	}
	h.Set(name, signature(l.id, l.service, attemptID))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if mode == TruncateReply {
		body = body[:len(body)/2]
	}
	if _, err := w.Write(body); err != nil || mode == TruncateReply {
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

// TopRecords returns the greatest records of the services for a path: those that an
// answer from all these services must contain.
func TopRecords(top int, path string, services ...string) []byte {
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

// VerifySignature reports whether a signature is valid for an attempt, and returns the
// service that made it.
func VerifySignature(signed, attemptID string) (string, bool) {
	f := strings.Split(signed, ".")
	if len(f) != 4 || f[2] != attemptID || signature(f[0], f[1], attemptID) != signed {
		return "", false
	}
	return f[1], true
}

// Signatures returns the signatures in the headers of an answer: that of a single leaf,
// or those of its parts.
func Signatures(h http.Header) []string {
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

// MissingParts returns the number of parts that an answer says are missing.
func MissingParts(h http.Header) (int, error) {
	n, err := strconv.Atoi(h.Get("Missing-Parts"))
	return n, errors.Wrap(err, "MissingParts")
}

// Signature returns the leaf's signature for an attempt.
func (l *SimulatedLeaf) Signature(attemptID string) string {
	return signature(l.id, l.service, attemptID)
}

// SaysLeaving returns the id of the leaf that has sent an answer if it says there that it leaves, else "".
func SaysLeaving(h http.Header) string {
	if h.Get(headerServerLeaving) == "" {
		return ""
	}
	leaf, _, _ := strings.Cut(h.Get(headerSignature), ".")
	return leaf
}
