package handler

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
)

const shortBodyTimeout = 50 * tier.Millis(1)

// slowFront takes longer than the body's timeout, and tells whether the
// caller was taken for gone meanwhile.
type slowFront struct{ gone chan bool }

func (f slowFront) Search(ctx context.Context, _ coordinator.Search) coordinator.SearchResult {
	select {
	case <-ctx.Done():
		f.gone <- true
	case <-time.After(3 * shortBodyTimeout.Duration()):
		f.gone <- false
	}
	return coordinator.SearchResult{}
}

func (f slowFront) Book(context.Context, coordinator.Booking) (coordinator.BookingResult, error) {
	return coordinator.BookingResult{}, nil
}

func startSlow(t *testing.T) (*httptest.Server, slowFront) {
	t.Helper()
	docs, err := parser.ParseProfiles([]byte(`{"profiles":[{"name":"gate"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	set, err := tier.NewShardSet("portao",
		tier.WithServers(tier.NewBackend("a", "127.0.0.1:1", "here")),
		tier.WithShards(tier.NewShard("s0", 0, 1<<64-1, "a")))
	if err != nil {
		t.Fatal(err)
	}
	w := &world{s: &session{}, clock: tier.NewManualClock(0), docs: docs, set: set}
	f := slowFront{gone: make(chan bool, 1)}
	s := httptest.NewServer(New("vm-1", tier.NewClock(), w, f, w, nil, WithBodyTimeout(shortBodyTimeout)).Routes())
	t.Cleanup(s.Close)
	return s, f
}

func TestLongRequestOutlivesTheBodyTimeout(t *testing.T) {
	s, f := startSlow(t)
	body := `{"request-id":"r","profile":"gate","set":"portao","term":"t"}`
	reply, err := http.Post(s.URL+"/v1/search", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = reply.Body.Close()
	if <-f.gone {
		t.Error("the caller was taken for gone")
	}
}

func TestSlowBodyIsGivenUp(t *testing.T) {
	s, _ := startSlow(t)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fmt.Fprint(c, "POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, "408") {
		t.Errorf("got %q, %v", line, err)
	}
}

func TestBadFramingIsMalformed(t *testing.T) {
	s, _ := startSlow(t)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fmt.Fprint(c, "POST /v1/search HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n")
	if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, "400") {
		t.Errorf("got %q, %v", line, err)
	}
}
