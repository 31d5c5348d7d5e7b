package leafclient

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// server plays what it is told on each connection, one step for each request.
type server struct {
	listener    net.Listener
	group       sync.WaitGroup
	connections atomic.Int64
	requests    atomic.Int64
}

// play starts a server. steps are what it writes after each request on a
// connection; "close" ends the connection, "reset" resets it.
func play(t *testing.T, steps ...string) *server {
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
	// The client ends the connection.
	_, _ = r.ReadByte()
}

func (s *server) address() string { return s.listener.Addr().String() }

func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func call(id string) Call {
	m := NewTemplate(http.MethodGet, "/x", "h", http.Header{"Id": {id}}, nil)
	return Call{
		Method: http.MethodGet, Request: m.Render(),
		IsReply: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func do(t *testing.T, c *Client, s *server, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := c.Do(ctx, s.address(), call(id))
	if err != nil {
		return "", err
	}
	return string(r.Body()), nil
}

func newCourier(t *testing.T) *Client {
	c := New()
	t.Cleanup(c.Close)
	return c
}

func expect(t *testing.T, c *Client, s *server, id, want string) {
	t.Helper()
	if got, err := do(t, c, s, id); err != nil || got != want {
		t.Errorf("call %s: got %q, %v, expected %q", id, got, err, want)
	}
}

func TestConnectionsAreKept(t *testing.T) {
	s := play(t, reply("1", "one"), reply("2", "two"))
	c := newCourier(t)
	expect(t, c, s, "1", "one")
	expect(t, c, s, "2", "two")
	if n := s.connections.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// A second reply to an earlier request comes where the next reply is due.
func TestLateRepliesToOthersAreSkipped(t *testing.T) {
	s := play(t, reply("1", "one"), reply("1", "again")+reply("2", "two"))
	c := newCourier(t)
	expect(t, c, s, "1", "one")
	expect(t, c, s, "2", "two")
	if n := c.Counts().StaleReplies; n != 1 {
		t.Errorf("%d strays", n)
	}
}

// Bytes after a whole reply belong to no request: the connection is not used
// again, whether they came with the reply or while it was idle.
func TestExtraBytesSpoilAConnection(t *testing.T) {
	s := play(t, reply("1", "one")+reply("1", "again"), reply("x", "wrong"))
	c := newCourier(t)
	expect(t, c, s, "1", "one")
	expect(t, c, s, "1", "one")
	if n := s.connections.Load(); n != 2 {
		t.Errorf("%d connections, expected 2", n)
	}
}

func TestAnUnframedReplyEndsWithItsConnection(t *testing.T) {
	s := play(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it|close")
	c := newCourier(t)
	expect(t, c, s, "1", "all of it")
}

func TestBrokenRepliesAreLost(t *testing.T) {
	for name, step := range map[string]string{
		"cut body":      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\ncut|close",
		"cut head":      "HTTP/1.1 200 OK\r\nId|close",
		"no reply":      "close",
		"no HTTP":       "what is this\r\n\r\n|close",
		"reset unknown": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf|reset",
	} {
		t.Run(name, func(t *testing.T) {
			s := play(t, step)
			_, err := do(t, newCourier(t), s, "1")
			var lost *NoReplyError
			if !errors.As(err, &lost) {
				t.Errorf("got %v", err)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("%d requests were sent", n)
			}
		})
	}
}

func TestAResetOfANewConnectionIsTold(t *testing.T) {
	s := play(t, "reset")
	_, err := do(t, newCourier(t), s, "1")
	var lost *NoReplyError
	if !errors.As(err, &lost) || !lost.ConnectionRejected() {
		t.Errorf("got %v", err)
	}
}

func TestNothingIsSentWithoutAConnection(t *testing.T) {
	s := play(t)
	_ = s.listener.Close()
	_, err := do(t, newCourier(t), s, "1")
	var notSent *NotSentError
	if !errors.As(err, &notSent) || notSent.Connected() {
		t.Errorf("got %v", err)
	}
}

// A server that has closed an idle connection is not asked on it.
func TestClosedIdleConnectionsAreNotUsed(t *testing.T) {
	s := play(t, reply("1", "one")+"|close")
	c := newCourier(t)
	for range 3 {
		expect(t, c, s, "1", "one")
		// The close has to arrive; a byte on it would be lost otherwise.
		for c.idleAlive(s.address()) {
			time.Sleep(time.Millisecond)
		}
	}
	if n := s.requests.Load(); n != 3 {
		t.Errorf("%d requests, expected 3", n)
	}
}

// idleAlive looks at the idle connection to an address, if there is one.
func (c *Client) idleAlive(address string) bool {
	n := c.pop(address)
	if n == nil {
		return false
	}
	defer c.put(address, n)
	return c.alive(n)
}

func TestKeepAliveTimes(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=2":         1600 * time.Millisecond,
		"max=9, timeout=1":  800 * time.Millisecond,
		"timeout=0":         0,
		"":                  idleLimit.Duration(),
		"timeout=nonsense":  idleLimit.Duration(),
		"timeout=100000000": idleLimit.Duration(),
	} {
		if got := keepAlive(http.Header{"Keep-Alive": {text}}); got != want {
			t.Errorf("%q: %v, expected %v", text, got, want)
		}
	}
}

// Of a leaf call over loopback: time and allocations.
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
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := c.Do(ctx, l.Addr().String(), call("1")); err != nil {
			b.Fatal(err)
		}
		cancel()
	}
}
