package leafclient

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// server writes scripted replies on each connection and counts connections and requests.
type server struct {
	listener    net.Listener
	group       sync.WaitGroup
	connections atomic.Int64
	requests    atomic.Int64
}

// startServer starts a server that handles one step for each request on a connection. A
// step is a list separated by "|", of texts to write and the commands "close" and "reset",
// which end the connection.
func startServer(t *testing.T, steps ...string) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: l}
	s.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			s.group.Go(func() { s.serve(c, steps) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		s.group.Wait()
	})
	return s
}

func (s *server) serve(c net.Conn, steps []string) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(c)
	for _, step := range steps {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		s.requests.Add(1)
		for _, word := range strings.Split(step, "|") {
			switch word {
			case "close":
				return
			case "reset":
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			default:
				_, _ = c.Write([]byte(word))
			}
		}
	}
	// Wait until the client closes the connection.
	_, _ = r.ReadByte()
}

func (s *server) address() string { return s.listener.Addr().String() }

func newReply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newCall(id string) Call {
	call := NewTemplate(http.MethodGet, "/x", "h", http.Header{"Id": {id}}, nil).Call()
	call.ID, call.EchoedID = id, func(h http.Header) string { return h.Get("Id") }
	return call
}

func do(t *testing.T, c *Client, s *server, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := c.Do(ctx, s.address(), newCall(id))
	if err != nil {
		return "", err
	}
	return string(r.Body()), nil
}

func newTestClient(t *testing.T) *Client {
	c := New()
	t.Cleanup(c.Close)
	return c
}

func expectBody(t *testing.T, c *Client, s *server, id, want string) {
	t.Helper()
	if got, err := do(t, c, s, id); err != nil || got != want {
		t.Errorf("call %s: got %q, %v, expected %q", id, got, err, want)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	s := startServer(t, newReply("1", "one"), newReply("2", "two"))
	c := newTestClient(t)
	expectBody(t, c, s, "1", "one")
	expectBody(t, c, s, "2", "two")
	if n := s.connections.Load(); n != 1 {
		t.Errorf("%d connections, expected 1", n)
	}
}

// A duplicate reply to an earlier request precedes the reply to the next request.
func TestStaleRepliesAreSkipped(t *testing.T) {
	s := startServer(t, newReply("1", "one"), newReply("1", "again")+newReply("2", "two"))
	c := newTestClient(t)
	expectBody(t, c, s, "1", "one")
	expectBody(t, c, s, "2", "two")
	if n := c.Counts().StaleReplies; n != 1 {
		t.Errorf("%d stale replies, expected 1", n)
	}
}

// Bytes after a complete reply belong to no request. The connection must not be reused,
// whether they were received with the reply or while it was idle.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	s := startServer(t, newReply("1", "one")+newReply("1", "again"), newReply("x", "wrong"))
	c := newTestClient(t)
	expectBody(t, c, s, "1", "one")
	expectBody(t, c, s, "1", "one")
	if n := s.connections.Load(); n != 2 {
		t.Errorf("%d connections, expected 2", n)
	}
}

func TestReplyWithoutLengthEndsWithItsConnection(t *testing.T) {
	s := startServer(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it|close")
	c := newTestClient(t)
	expectBody(t, c, s, "1", "all of it")
}

func TestIncompleteRepliesAreErrors(t *testing.T) {
	for name, step := range map[string]string{
		"truncated body":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\ncut|close",
		"truncated header": "HTTP/1.1 200 OK\r\nId|close",
		"no reply":         "close",
		"not HTTP":         "what is this\r\n\r\n|close",
		"reset, no length": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf|reset",
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, step)
			_, err := do(t, newTestClient(t), s, "1")
			var lost *NoReplyError
			if !errors.As(err, &lost) {
				t.Errorf("got error %v, expected a *NoReplyError", err)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("%d requests, expected 1", n)
			}
		})
	}
}

func TestResetOfANewConnectionIsReported(t *testing.T) {
	s := startServer(t, "reset")
	_, err := do(t, newTestClient(t), s, "1")
	var lost *NoReplyError
	if !errors.As(err, &lost) || !lost.ConnectionRejected() {
		t.Errorf("got error %v, expected a *NoReplyError with ConnectionRejected", err)
	}
}

func TestNothingIsSentWithoutAConnection(t *testing.T) {
	s := startServer(t)
	_ = s.listener.Close()
	_, err := do(t, newTestClient(t), s, "1")
	var notSent *NotSentError
	if !errors.As(err, &notSent) || notSent.Connected() {
		t.Errorf("got error %v, expected a *NotSentError without Connected", err)
	}
}

// No request may be sent on an idle connection that the server has closed.
func TestClosedIdleConnectionsAreNotReused(t *testing.T) {
	s := startServer(t, newReply("1", "one")+"|close")
	c := newTestClient(t)
	for range 3 {
		expectBody(t, c, s, "1", "one")
		// Wait until the client can see the close. A request sent before that would be lost.
		for c.idleIsAlive(s.address()) {
			time.Sleep(time.Millisecond)
		}
	}
	if n := s.requests.Load(); n != 3 {
		t.Errorf("%d requests, expected 3", n)
	}
}

// idleIsAlive reports whether there is an idle connection to an address that is alive.
func (c *Client) idleIsAlive(address string) bool {
	n := c.popIdle(address, "")
	if n == nil {
		return false
	}
	defer c.release(address, n)
	return c.isAlive(n)
}

func TestKeepAliveTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=2":         1600 * time.Millisecond,
		"max=9, timeout=1":  800 * time.Millisecond,
		"timeout=0":         0,
		"":                  maxIdleTime.Duration(),
		"timeout=nonsense":  maxIdleTime.Duration(),
		"timeout=100000000": maxIdleTime.Duration(),
	} {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: %v, expected %v", text, got, want)
		}
	}
}

// BenchmarkLeafCall measures the time and allocations of a call over loopback.
func BenchmarkLeafCall(b *testing.B) {
	body := strings.Repeat("0123456789abcdef", 62)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		_, _ = w.Write([]byte(body))
	}), ReadHeaderTimeout: time.Second}
	var group sync.WaitGroup
	group.Go(func() { _ = h.Serve(l) })
	defer func() {
		_ = h.Close()
		group.Wait()
	}()
	c := New()
	defer c.Close()
	b.ReportAllocs()
	for k := 0; b.Loop(); k++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		// A request that is sent again takes another connection.
		if _, err := c.Do(ctx, l.Addr().String(), newCall(strconv.Itoa(k))); err != nil {
			b.Fatal(err)
		}
		cancel()
	}
}

// TestEndlessRepliesAreCutOff guards against a leaf in trouble that sends bytes without end,
// which would fill the VM's memory: the client closes the connection, and the call fails long
// before its deadline.
func TestEndlessRepliesAreCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, text := range map[string][2]string{
		"status line":         {"", "HTTP/1.1 200 "},
		"header line":         {head + "X-Long: ", "long "},
		"header lines":        {head, "X-Line: one of many\r\n"},
		"no reply at all":     {"", "\x00\x01\x02\x03"},
		"interim replies":     {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body without length": {head + "\r\n", "body "},
		"chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		"chunk size":          {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":     {head + "Transfer-Encoding: chunked\r\n\r\n4;x=", "extension"},
		"trailer":             {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Line: one of many\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			const most = 64 << 20 // bytes that the server sends if it is not stopped
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var group sync.WaitGroup
			sentAll := false
			group.Go(func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				piece := []byte(strings.Repeat(text[1], 4096))
				if _, err := c.Write([]byte(text[0])); err != nil {
					return
				}
				for sent := 0; sent < most; sent += len(piece) {
					if _, err := c.Write(piece); err != nil {
						return
					}
				}
				sentAll = true
			})
			c := New()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err = c.Do(ctx, l.Addr().String(), Call{Method: http.MethodGet, Request: []byte("GET / HTTP/1.1\r\nHost: leaf\r\n\r\n")})
			var noReply *NoReplyError
			if !errors.As(err, &noReply) {
				t.Errorf("got error %v, expected a NoReplyError", err)
			}
			_ = l.Close()
			group.Wait()
			if sentAll {
				t.Errorf("the client took all of %d bytes", most)
			}
			if n := c.bodyBytes.Load(); n != 0 {
				t.Errorf("%d bytes are still counted as being read", n)
			}
		})
	}
}

// TestLargeBodiesShareALimit guards against many leafs that send large bodies at once.
func TestLargeBodiesShareALimit(t *testing.T) {
	large := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 300<<10, strings.Repeat("b", 300<<10))
	s := startServer(t, large)
	call := Call{Method: http.MethodGet, Request: []byte("GET / HTTP/1.1\r\nHost: leaf\r\n\r\n")}
	below, above := New(WithBodyMemory(100<<10)), New(WithBodyMemory(400<<10))
	defer below.Close()
	defer above.Close()
	if _, err := below.Do(t.Context(), s.listener.Addr().String(), call); err == nil {
		t.Error("a body above the limit was read")
	}
	reply, err := above.Do(t.Context(), s.listener.Addr().String(), call)
	if err != nil || len(reply.Body()) != 300<<10 {
		t.Errorf("a body below the limit was not read: %v", err)
	}
}

// TestDrippedReplyEndsWithItsDeadline guards against a leaf that sends a byte now and then,
// so that no pause is long: the call ends with its deadline, and the connection is closed.
func TestDrippedReplyEndsWithItsDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for err == nil { // until the client closes the connection
			time.Sleep(5 * time.Millisecond)
			_, err = c.Write([]byte("H"))
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = New().Do(ctx, l.Addr().String(), Call{Method: http.MethodGet, Request: []byte("GET / HTTP/1.1\r\nHost: leaf\r\n\r\n")})
	var noReply *NoReplyError
	if !errors.As(err, &noReply) || noReply.ConnectionRejected() {
		t.Errorf("got error %v, expected a NoReplyError of the deadline", err)
	}
	_ = l.Close()
	group.Wait()
}
