package entry

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cicadagrade.example/standin/responder"
)

// Guards against an empty success for a caller that gives up by ending its sending side and reads on.
func TestCallerThatEndsItsSendingSideGetsNoSuccess(t *testing.T) {
	for _, path := range []string{"/line/hold", "/sweep/hold"} {
		t.Run(path, func(t *testing.T) {
			f := newTestFleet(t, 1)
			for _, service := range []string{"orders", "s1", "s2", "s3"} {
				f.addLeafs(service, 1)
			}
			server := httptest.NewServer(f.entries[0])
			t.Cleanup(server.Close)
			t.Cleanup(func() { close(f.release) })
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(time.Minute))
			request, err := http.NewRequest(http.MethodGet, "http://search.example"+path, nil)
			if err != nil {
				t.Fatal(err)
			}
			responder.SetCallerHeaders(request.Header, "a1", callerTimeoutMs)
			if err := request.Write(c); err != nil {
				t.Fatal(err)
			}
			for f.heldCount() == 0 {
				time.Sleep(time.Millisecond)
			}
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil {
				_ = response.Body.Close()
				t.Errorf("the caller got status %d", response.StatusCode)
			}
		})
	}
}
