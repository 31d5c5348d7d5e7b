package leafclient

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// newSilentListener returns an address that leaves attempts to connect unanswered, as that of a
// machine without power does: the queue of a listener that accepts nothing is full.
func newSilentListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// A leaf that has ended may refuse connections or leave them unanswered; one that has only
// broken a connection accepts the next one.
func TestAccepts(t *testing.T) {
	c := New()
	defer c.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if !c.Accepts(t.Context(), listener.Addr().String()) {
		t.Error("a listener counts as ended")
	}
	_ = listener.Close()
	if c.Accepts(t.Context(), listener.Addr().String()) {
		t.Error("a closed listener counts as alive")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if c.Accepts(ctx, newSilentListener(t)) {
		t.Error("an address without an answer counts as alive")
	}
}
