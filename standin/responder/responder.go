// Package responder plays a backend server of the users' platform, and says how
// callers address an entry VM there.
package responder

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Names on the wire.
const (
	headerAttempt  = "Attempt-Id"
	headerTimeLeft = "Time-Remaining"
	headerExpected = "Expected-Instance"
	headerNotRun   = "Not-Executed"
	headerProof    = "Response-Signature"
	headerProofs   = "Part-Signatures"
)

// recordBytes is the size of a record.
const recordBytes = 16

// NoReply is the answer of a leaf that runs a request and breaks the connection.
const NoReply = "mute"

// FixedLeaf is a backend server that gives one answer to all. It is an http.Handler.
type FixedLeaf struct {
	id     string
	answer string

	mu   sync.Mutex
	seen []string
	held chan struct{} // closed when requests may go on, or nil
}

// NewFixedLeaf returns a leaf. Its answer is records, a letter for each, or a status such
// as 500, or 503! for one that says that it did not run the request, or Mute.
func NewFixedLeaf(id, answer string) *FixedLeaf { return &FixedLeaf{id: id, answer: answer} }

// Executed lists the requests that it has run.
func (l *FixedLeaf) Executed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.seen...)
}

// Hold has it keep requests that it runs, until the function is called.
func (l *FixedLeaf) Hold() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make(chan struct{})
	l.held = held
	return func() { close(held) }
}

// Registration is what it writes of itself to the store.
func (l *FixedLeaf) Registration(service, address, dataCentre string) ([]byte, error) {
	raw, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": dataCentre,
		"slots": 2, "state": "ready", "sequence": 1, "born": 1,
	})
	return raw, errors.Wrap(err, "Leaf.Registration")
}

// InvalidRegistration is a registration that names no leaf.
func InvalidRegistration() []byte { return []byte(`{"service": 7}`) }

// ServeHTTP answers as the leaf was told to.
func (l *FixedLeaf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get(headerExpected) != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h := w.Header()
	h.Set(headerAttempt, r.Header.Get(headerAttempt))
	text, notRun := strings.CutSuffix(l.answer, "!")
	status, notStatus := strconv.Atoi(text)
	if notRun {
		h.Set(headerNotRun, "1")
		w.WriteHeader(status)
		return
	}
	l.mu.Lock()
	l.seen = append(l.seen, fmt.Sprintf("%s %s %q", r.Method, r.RequestURI, body))
	held := l.held
	l.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-r.Context().Done():
			return
		}
	}
	if l.answer == NoReply {
		panic(http.ErrAbortHandler)
	}
	h.Set(headerProof, "proof-"+l.id)
	if notStatus == nil {
		w.WriteHeader(status)
		return
	}
	h.Set("Connection", "close")
	for _, letter := range l.answer {
		if _, err := io.WriteString(w, strings.Repeat(string(letter), recordBytes)); err != nil {
			return
		}
	}
}

// SetCallerHeaders gives a caller's request its id and the time that the caller waits, in
// milliseconds.
func SetCallerHeaders(h http.Header, attempt string, timeLeft int) {
	h.Set(headerAttempt, attempt)
	h.Set(headerTimeLeft, strconv.Itoa(timeLeft))
}

// SetExpectedInstance has a caller name the leaf that it wants, which is not for it to say.
func SetExpectedInstance(h http.Header, leaf string) { h.Set(headerExpected, leaf) }

// IsPartSignatures reports whether a header of an answer lists the proofs of its parts.
func IsPartSignatures(header string) bool { return header == headerProofs }
