package relay

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// newEcho serves a link to a server that sends each line back; served counts
// the lines that reached it.
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

// receive gives the next line, or "" when the connection ends or is silent.
func (c *caller) receive(patience time.Duration) string {
	_ = c.c.SetReadDeadline(time.Now().Add(patience))
	line, err := c.r.ReadString('\n')
	if err != nil {
		return ""
	}
	return line[:len(line)-1]
}

const (
	ample = 10 * time.Second
	brief = 50 * time.Millisecond
)

// TestStallHoldsBytesUntilJoined cuts a link under a connection: nothing
// arrives while it is cut, and everything once it is joined.
func TestStallHoldsBytesUntilJoined(t *testing.T) {
	l, addr, served := newEcho(t)
	c := dial(t, addr)
	c.send("before")
	if got := c.receive(ample); got != "before" {
		t.Fatalf("got %q", got)
	}
	<-served
	l.SetCondition(NewCondition(CutStall, 0, false))
	c.send("during")
	if got := c.receive(brief); got != "" || len(served) != 0 {
		t.Errorf("%q crossed the cut, %d served", got, len(served))
	}
	l.SetCondition(NewCondition(CutNone, 0, false))
	if got := c.receive(ample); got != "during" {
		t.Errorf("after joining got %q", got)
	}
}

// TestResetClosesConnections checks connections old and new.
func TestResetClosesConnections(t *testing.T) {
	l, addr, served := newEcho(t)
	old := dial(t, addr)
	old.send("before")
	old.receive(ample)
	<-served
	l.SetCondition(NewCondition(CutReset, 0, false))
	if got := old.receive(ample); got != "" {
		t.Errorf("got %q", got)
	}
	late := dial(t, addr)
	late.send("during")
	if got := late.receive(ample); got != "" || len(served) != 0 {
		t.Errorf("%q crossed the cut, %d served", got, len(served))
	}
}

// TestLostAnswersHadTheirEffect checks that the request arrives and its
// answer does not, neither then nor later.
func TestLostAnswersHadTheirEffect(t *testing.T) {
	l, addr, served := newEcho(t)
	l.SetCondition(NewCondition(CutNone, 0, true))
	c := dial(t, addr)
	c.send("booking")
	if got := <-served; got != "booking" {
		t.Fatalf("served %q", got)
	}
	for l.lost.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	l.SetCondition(NewCondition(CutNone, 0, false))
	if got := c.receive(ample); got != "" {
		t.Errorf("the lost answer came: %q", got)
	}
}
