package relay

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// newEcho serves a link to a server that echoes each line. The server sends the lines that
// reach it to served.
func newEcho(t *testing.T) (l *Link, addr string, served chan string) {
	t.Helper()
	served = make(chan string, 16)
	target := listen(t)
	front := listen(t)
	l = NewLink("caxias-itajai", "serra-caxias", "litoral-itajai", "", target.Addr().String(), NewCondition(CutNone, 1, false))
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return l.ServeOn(ctx, front) })
	g.Go(func() error {
		for {
			c, err := target.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error { echoLines(c, served); return nil })
		}
	})
	t.Cleanup(func() {
		stop()
		_ = target.Close()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	return l, front.Addr().String(), served
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func echoLines(c net.Conn, served chan<- string) {
	s := bufio.NewScanner(c)
	for s.Scan() {
		served <- s.Text()
		_, _ = c.Write(append(s.Bytes(), '\n'))
	}
	_ = c.Close()
}

// caller is a caller's connection over the link.
type caller struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &caller{t: t, c: c, r: bufio.NewReader(c)}
}

func (c *caller) send(line string) {
	if _, err := c.c.Write([]byte(line + "\n")); err != nil {
		c.t.Log("send:", err)
	}
}

// receive returns the next line, or "" if the connection ends or the timeout passes.
func (c *caller) receive(timeout time.Duration) string {
	_ = c.c.SetReadDeadline(time.Now().Add(timeout))
	line, err := c.r.ReadString('\n')
	if err != nil {
		return ""
	}
	return line[:len(line)-1]
}

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 50 * time.Millisecond
)

// TestStallHoldsBytesUntilRestored stalls a link with an open connection: nothing arrives
// while it is stalled, and everything once it is restored.
func TestStallHoldsBytesUntilRestored(t *testing.T) {
	l, addr, served := newEcho(t)
	c := dial(t, addr)
	c.send("before")
	if got := c.receive(longTimeout); got != "before" {
		t.Fatalf("got %q", got)
	}
	<-served
	l.SetCondition(NewCondition(CutStall, 0, false))
	c.send("during")
	if got := c.receive(shortTimeout); got != "" || len(served) != 0 {
		t.Errorf("%q crossed the cut, %d served", got, len(served))
	}
	l.SetCondition(NewCondition(CutNone, 0, false))
	if got := c.receive(longTimeout); got != "during" {
		t.Errorf("after the link was restored got %q", got)
	}
}

// TestResetClosesConnections checks that a reset closes open connections and new ones.
func TestResetClosesConnections(t *testing.T) {
	l, addr, served := newEcho(t)
	old := dial(t, addr)
	old.send("before")
	old.receive(longTimeout)
	<-served
	l.SetCondition(NewCondition(CutReset, 0, false))
	if got := old.receive(longTimeout); got != "" {
		t.Errorf("got %q", got)
	}
	late := dial(t, addr)
	late.send("during")
	if got := late.receive(longTimeout); got != "" || len(served) != 0 {
		t.Errorf("%q crossed the cut, %d served", got, len(served))
	}
}

// TestLostRepliesFollowServedRequests checks that a request arrives while its reply is lost,
// and that the reply does not arrive once the link stops losing replies.
func TestLostRepliesFollowServedRequests(t *testing.T) {
	l, addr, served := newEcho(t)
	l.SetCondition(NewCondition(CutNone, 0, true))
	c := dial(t, addr)
	c.send("booking")
	if got := <-served; got != "booking" {
		t.Fatalf("served %q", got)
	}
	for l.lostBytes.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	l.SetCondition(NewCondition(CutNone, 0, false))
	if got := c.receive(longTimeout); got != "" {
		t.Errorf("the lost reply arrived: %q", got)
	}
}
