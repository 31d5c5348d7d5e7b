// Package responder simulates backend servers (leafs) of the platform's HTTP protocol.
// It also sets the headers with which callers address an entry VM and reads those of
// its answers.
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

	"cicadagrade.example/tier"
)

// Header names of the protocol between callers, entry VMs and leafs.
const (
	headerAttempt        = "Attempt-Id"
	headerTimeRemaining  = "Time-Remaining"
	headerExpected       = "Expected-Instance"
	headerNotExecuted    = "Not-Executed"
	headerSignature      = "Response-Signature"
	headerPartSignatures = "Part-Signatures"
	headerServerLimit    = "Server-Limit"
	headerServerLeaving  = "Server-Leaving"
	headerRetryAfter     = "Retry-After"
	headerAuthorization  = "Authorization"
	headerOrganisation   = "Tenant"
)

// recordBytes is the size of a record in bytes.
const recordBytes = 16

// NoReply is the answer of a leaf that executes a request and closes the connection
// without a reply.
const NoReply = "mute"

// FixedLeaf is a backend server that gives the same answer to every request. It is an
// http.Handler.
type FixedLeaf struct {
	id     string
	answer string

	mu       sync.Mutex
	executed []string
	received int           // requests, also those that it has not executed
	said     http.Header   // what its replies say of the leaf
	released chan struct{} // closed when held requests may continue; nil if none are held
}

// NewFixedLeaf returns a leaf. The answer is one of: letters, each sent as one record
// of that letter repeated; a status such as 500; a status with "!", such as 503!, which
// also says that the request was not executed; or NoReply.
func NewFixedLeaf(id, answer string) *FixedLeaf {
	return &FixedLeaf{id: id, answer: answer, said: http.Header{}}
}

// Received returns how many requests have reached the leaf, also those that it has not executed.
func (l *FixedLeaf) Received() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received
}

// Executed returns the requests that the leaf has executed.
func (l *FixedLeaf) Executed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.executed...)
}

// Hold makes the leaf keep the requests that it executes unanswered until release is
// called.
func (l *FixedLeaf) Hold() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	released := make(chan struct{})
	l.released = released
	return func() { close(released) }
}

// NameLimit makes the leaf name a limit of requests a second in its replies, or none if text
// is empty. It does not hold callers to it.
func (l *FixedLeaf) NameLimit(text string) { l.say(headerServerLimit, text) }

// SayLeaving makes the leaf say in its replies that it leaves. It serves on.
func (l *FixedLeaf) SayLeaving() { l.say(headerServerLeaving, "1") }

// AskForRest makes the leaf ask in its replies for no request for a time, in seconds.
func (l *FixedLeaf) AskForRest(text string) { l.say(headerRetryAfter, text) }

// say adds a header to the replies, or none if text is empty.
func (l *FixedLeaf) say(header, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.said, header)
	if text != "" {
		l.said[header] = []string{text}
	}
}

// Registration returns the entry with which the leaf registers in the store.
func (l *FixedLeaf) Registration(service, address, dataCentre string) ([]byte, error) {
	return l.ColdRegistration(service, address, dataCentre, 1, 0)
}

// ColdRegistration returns an entry that says how much longer the leaf is cold.
func (l *FixedLeaf) ColdRegistration(service, address, dataCentre string, sequence int64, remaining tier.Millis) ([]byte, error) {
	fields := map[string]any{
		"service": service, "address": address, "zone": dataCentre, "version": "v1",
		"slots": 2, "state": "ready", "sequence": sequence, "born": 1,
	}
	if remaining > 0 {
		fields["coldRemainingMs"] = remaining
	}
	raw, err := json.Marshal(fields)
	return raw, errors.Wrap(err, "FixedLeaf.ColdRegistration")
}

// InvalidRegistration returns a registration that can't be parsed: its service is a
// number.
func InvalidRegistration() []byte { return []byte(`{"service": 7}`) }

// ServeHTTP gives the leaf's fixed answer.
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
	l.mu.Lock()
	l.received++
	for name, values := range l.said {
		h[name] = values
	}
	l.mu.Unlock()
	text, notExecuted := strings.CutSuffix(l.answer, "!")
	status, notStatus := strconv.Atoi(text)
	if notExecuted {
		h.Set(headerNotExecuted, "1")
		w.WriteHeader(status)
		return
	}
	l.mu.Lock()
	l.executed = append(l.executed, fmt.Sprintf("%s %s %q", r.Method, r.RequestURI, body))
	released := l.released
	l.mu.Unlock()
	if released != nil {
		select {
		case <-released:
		case <-r.Context().Done():
			return
		}
	}
	if l.answer == NoReply {
		panic(http.ErrAbortHandler)
	}
	h.Set(headerSignature, "proof-"+l.id)
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

// SetCallerHeaders sets the attempt ID of a caller's request and the remaining time in
// milliseconds that the caller waits.
func SetCallerHeaders(h http.Header, attemptID string, timeRemaining int) {
	h.Set(headerAttempt, attemptID)
	h.Set(headerTimeRemaining, strconv.Itoa(timeRemaining))
}

// SetKey sets the key of the organisation for which a caller sends a request.
func SetKey(h http.Header, key string) { h.Set(headerAuthorization, "Bearer "+key) }

// SetOrganisation sets the header with which an entry VM names the organisation to a leaf.
// Tests use it to check that the header has no effect in a caller's request.
func SetOrganisation(h http.Header, name string) { h.Set(headerOrganisation, name) }

// SetExpectedInstance sets the header with which an entry VM names the leaf that it
// calls. Tests use it to check that the header has no effect in a caller's request.
func SetExpectedInstance(h http.Header, leaf string) { h.Set(headerExpected, leaf) }

// IsPartSignatures reports whether a header of an answer lists the signatures of its
// parts.
func IsPartSignatures(header string) bool { return header == headerPartSignatures }
