package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"cicadagrade.example/tier"
)

const (
	testTimeout = time.Minute
	bodyBytes   = 10_000
)

// testServer serves callers within limits. Its handler reads bodies, waits with those of /held, and answers with the
// number of bytes.
type testServer struct {
	t        *testing.T
	acceptor *Acceptor
	clock    *tier.ManualClock
	address  string
	held     chan struct{} // gets a value for each request to /held
	release  chan struct{} // closed when these are answered
}

func startTestServer(t *testing.T, limits Limits) *testServer {
	t.Helper()
	clock := tier.NewManualClock(0)
	s := &testServer{t: t, clock: clock, acceptor: New(clock.Clock(), limits), held: make(chan struct{}), release: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: s.acceptor.Handler(s), ConnContext: s.acceptor.ConnContext, ConnState: s.acceptor.ConnState}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(s.acceptor.Listener(l)) })
	t.Cleanup(func() {
		_ = server.Close()
		group.Wait()
	})
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, 2*bodyBytes, tier.Minute)
	var noRoom *NoRoomError
	switch {
	case errors.As(err, &noRoom):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/held" {
		s.held <- struct{}{}
		<-s.release
	}
	_, _ = fmt.Fprint(w, len(body))
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *caller {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

// send sends a request without the last missing bytes of its body.
func (c *caller) send(path string, body, missing int) {
	_, _ = io.WriteString(c, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, body, strings.Repeat("x", body-missing)))
}

// status returns the status of the next response, or 0 if the connection has ended.
func (c *caller) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// await waits until a condition holds.
func (s *testServer) await(what string, holds func(Counts) bool) {
	s.t.Helper()
	for start := time.Now(); !holds(s.acceptor.Counts()); time.Sleep(time.Millisecond) {
		if time.Since(start) > testTimeout {
			s.t.Fatalf("%s: %+v", what, s.acceptor.Counts())
		}
	}
}

func (s *testServer) expect(what string, c *caller, want int) {
	s.t.Helper()
	if got := c.status(); got != want {
		s.t.Errorf("%s: status %d, expected %d", what, got, want)
	}
}

// The memory of a body that does not come goes to one that comes.
func TestOverdueBodyGivesWay(t *testing.T) {
	s := startTestServer(t, Limits{connections: 10, bytes: 2 * bodyBytes})
	stalled, served := s.dial(), s.dial()
	stalled.send("/", 2*bodyBytes, 1)
	s.await("the first body has its memory", func(c Counts) bool { return c.Bytes > bodyBytes })
	early := s.dial()
	early.send("/", bodyBytes, 0)
	s.expect("while the first comes at a fair rate", early, http.StatusServiceUnavailable)
	s.clock.Advance(tier.Minute)
	served.send("/", bodyBytes, 0)
	s.expect("once it is overdue", served, http.StatusOK)
	s.expect("the first", stalled, http.StatusServiceUnavailable)
	s.await("all memory is back", func(c Counts) bool { return c.Bytes == 0 })
	if c := s.acceptor.Counts(); c.Evicted != 1 || c.Refused != 1 {
		t.Errorf("%+v", c)
	}
}

// A body that comes slowly is read to its end if nobody needs its memory.
func TestSlowBodyIsReadInCalm(t *testing.T) {
	s := startTestServer(t, Limits{connections: 10, bytes: 2 * bodyBytes})
	c := s.dial()
	c.send("/", bodyBytes, 1)
	s.await("the body has its memory", func(c Counts) bool { return c.Bytes > 0 })
	s.clock.Advance(tier.Minute)
	_, _ = io.WriteString(c, "x")
	s.expect("the body", c, http.StatusOK)
	c.send("/", bodyBytes, 0)
	s.expect("the next request of the connection", c, http.StatusOK)
}

// The place of a silent connection goes to a new one, but not that of a request that is being served.
func TestSilentConnectionGivesWay(t *testing.T) {
	s := startTestServer(t, Limits{connections: 2, bytes: 2 * bodyBytes})
	held, silent := s.dial(), s.dial()
	held.send("/held", 10, 0)
	<-s.held
	s.await("both connections are open", func(c Counts) bool { return c.Connections == 2 })
	s.clock.Advance(tier.Second)
	next := s.dial()
	s.expect("the silent connection", silent, 0)
	next.send("/held", 10, 0)
	<-s.held
	refused := s.dial()
	s.expect("a connection without a place", refused, 0)
	close(s.release)
	s.expect("the request that was being served", held, http.StatusOK)
	s.expect("that of the new connection", next, http.StatusOK)
}

// A body that ends early, and a caller that goes, give their memory back.
func TestMemoryComesBack(t *testing.T) {
	s := startTestServer(t, Limits{connections: 10, bytes: 2 * bodyBytes})
	for range 5 {
		c := s.dial()
		c.send("/", bodyBytes, 1)
		s.await("the body has its memory", func(c Counts) bool { return c.Bytes > 0 })
		_ = c.Close()
		s.await("the memory is back", func(c Counts) bool { return c.Bytes == 0 && c.Connections == 0 })
	}
}

// A body whose connection is evicted just as its last byte comes must not pass for an empty one.
func TestBodyOfAnEvictedConnectionIsNoBody(t *testing.T) {
	s := startTestServer(t, Limits{connections: 10, bytes: 2 * bodyBytes})
	raw, peer := net.Pipe()
	t.Cleanup(func() { _, _ = raw.Close(), peer.Close() })
	accepted, ok := s.acceptor.Accept(raw)
	if !ok {
		t.Fatal("the connection was not accepted")
	}
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
	r = r.WithContext(s.acceptor.ConnContext(r.Context(), accepted))
	// The acceptor has decided, and not yet ended the connection.
	s.acceptor.mu.Lock()
	s.acceptor.reserver.Close(accepted.(*conn).id)
	s.acceptor.mu.Unlock()
	body, err := ReadBody(httptest.NewRecorder(), r, bodyBytes, tier.Minute)
	var noRoom *NoRoomError
	if !errors.As(err, &noRoom) {
		t.Errorf("body %q, error %v", body, err)
	}
}
