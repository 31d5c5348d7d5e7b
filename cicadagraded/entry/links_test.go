package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"cicadagrade.example/cicadagraded/leafclient"
	"cicadagrade.example/tier"
)

// cutMode is how the links of a VM to the leafs fail.
type cutMode int

const (
	sound       cutMode = iota
	silent              // no bytes pass, connections stay open
	resetAll            // connections are reset, new ones refused
	refusedAnew         // open connections live on, new ones are refused
)

// cutLinks opens connections to leafs, and cuts them.
type cutLinks struct {
	dialer net.Dialer

	mu    sync.Mutex
	mode  cutMode
	ended chan struct{} // closed when the cut ends
	open  []net.Conn
}

// set begins a cut, or ends it.
func (c *cutLinks) set(mode cutMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		close(c.ended)
		c.ended = nil
	}
	if c.mode = mode; mode != sound {
		c.ended = make(chan struct{})
	}
	if mode == resetAll {
		for _, connection := range c.open {
			_ = connection.Close()
		}
	}
}

func (c *cutLinks) state() (cutMode, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode, c.ended
}

func (c *cutLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch mode, ended := c.state(); mode {
	case resetAll, refusedAnew:
		return nil, syscall.ECONNREFUSED
	case silent:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ended:
		}
	}
	connection, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open = append(c.open, connection)
	return &cutConnection{Conn: connection, links: c}, nil
}

// cutConnection loses what is written during a silent cut, and reports a reset as such.
type cutConnection struct {
	net.Conn
	links *cutLinks
}

func (c *cutConnection) Write(b []byte) (int, error) {
	if mode, _ := c.links.state(); mode == silent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *cutConnection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if mode, _ := c.links.state(); mode == resetAll && errors.Is(err, net.ErrClosed) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// linkFleet is a number of entry VMs that give each other shares, each with links to the leafs
// that can be cut.
type linkFleet struct {
	*testFleet
	links map[*Entry]*cutLinks
}

// newLinkFleet starts VMs, one in each of the data centres that are named.
func newLinkFleet(t *testing.T, dataCentres ...string) *linkFleet {
	t.Helper()
	return newWrappedLinkFleet(t, func(h http.Handler) http.Handler { return h }, dataCentres...)
}

// newWrappedLinkFleet starts VMs whose handlers of calls from other VMs are wrapped.
func newWrappedLinkFleet(t *testing.T, wrap func(http.Handler) http.Handler, dataCentres ...string) *linkFleet {
	t.Helper()
	f := &linkFleet{testFleet: newTestFleet(t, 0), links: map[*Entry]*cutLinks{}}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	for _, dataCentre := range dataCentres {
		e := f.addVMIn(dataCentre)
		links := &cutLinks{}
		f.links[e] = links
		e.leafClient = leafclient.New(leafclient.WithDial(links.dial))
		peers := httptest.NewUnstartedServer(wrap(e.PeerHandler()))
		peers.Config.Protocols = PeerProtocols()
		peers.Start()
		t.Cleanup(peers.Close)
		s := e.settings.Load()
		f.put(vmsPrefix+s.Name(), fmt.Appendf(nil, `{"address":%q,"data-centre":%q,"region":%q,"cores":1}`,
			peers.Listener.Addr().String(), dataCentre, s.Region(dataCentre)))
		group.Go(func() { _ = e.RunLinkSurveys(ctx) })
		group.Go(func() { _ = e.RunProbes(ctx) })
	}
	for _, service := range []string{"orders", "ledger", "s1", "s2", "s3"} {
		f.addLeafsIn("depot-a", service, 1)
		f.addLeafsIn("depot-c", service, 1)
	}
	f.readStores()
	return f
}

// ask sends a request to a VM and returns the response. It does not wait for what other VMs still do
// for it, as settle does.
func (f *linkFleet) ask(e *Entry, path string) *httptest.ResponseRecorder {
	f.nextID++
	response := f.send(e, path, f.nextID)
	f.settleReports()
	return response
}

// waitForLinks sends requests to a VM until it knows whether its links are lost.
func (f *linkFleet) waitForLinks(e *Entry, lost bool) {
	f.t.Helper()
	for deadline := time.Now().Add(time.Minute); ; {
		e.mu.Lock()
		known := e.scheduler.Balancer().LinksLost() == lost
		e.mu.Unlock()
		if known {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s does not know that its links are lost = %v", e.settings.Load().Name(), lost)
		}
		f.ask(e, "/sweep/1") // others may query the leafs for it
		f.ask(e, "/line/1")
		time.Sleep(10 * time.Millisecond)
	}
}

// TestCallersOfVMsWithoutLinksToLeafsAreServed guards against VMs that have lost their links to all
// leafs and fail their callers' requests, though other VMs reach the leafs.
func TestCallersOfVMsWithoutLinksToLeafsAreServed(t *testing.T) {
	modes := map[string]cutMode{"silent": silent, "reset": resetAll, "refused": refusedAnew}
	cuts := map[string][]int{"one": {0}, "data-centre": {0, 1}, "region": {0, 1, 2}, "most": {0, 1, 3}}
	for modeName, mode := range modes {
		for cutName, cut := range cuts {
			t.Run(modeName+"/"+cutName, func(t *testing.T) {
				t.Parallel()
				f := newLinkFleet(t, "depot-a", "depot-a", "depot-b", "depot-c", "depot-c")
				for _, e := range f.entries {
					f.ask(e, "/sweep/1")
				}
				for _, k := range cut {
					f.links[f.entries[k]].set(mode)
				}
				for _, server := range f.servers {
					// Leafs close a connection now and then; a new one takes its place.
					server.CloseClientConnections()
				}
				for _, k := range cut {
					f.waitForLinks(f.entries[k], true)
				}
				for range 3 {
					for k, e := range f.entries {
						for _, path := range []string{"/sweep/1", "/line/1", "/book/1"} {
							if response := f.ask(e, path); response.Code != http.StatusOK {
								t.Errorf("VM %d, %s: status %d", k, path, response.Code)
							}
						}
					}
				}
				for _, k := range cut {
					f.links[f.entries[k]].set(sound)
				}
				for _, k := range cut {
					f.waitForLinks(f.entries[k], false)
					if response := f.ask(f.entries[k], "/sweep/1"); response.Code != http.StatusOK {
						t.Errorf("VM %d, after the cut: status %d", k, response.Code)
					}
				}
			})
		}
	}
}

// TestRequestsThatNoVMCanServeAreRefusedAtOnce guards against requests that are held to their
// deadline by VMs that all have lost their links to the leafs.
func TestRequestsThatNoVMCanServeAreRefusedAtOnce(t *testing.T) {
	f := newLinkFleet(t, "depot-a", "depot-c")
	for _, e := range f.entries {
		f.ask(e, "/sweep/1")
		f.links[e].set(silent)
	}
	for _, e := range f.entries {
		f.waitForLinks(e, true)
	}
	for _, e := range f.entries {
		f.ask(e, "/sweep/1") // by now both know that the other declines
	}
	for k, e := range f.entries {
		for _, path := range []string{"/sweep/1", "/line/1", "/book/1"} {
			before := e.leafClient.Counts()
			response := f.ask(e, path)
			if response.Code != http.StatusServiceUnavailable || response.Header().Get("Retry-After") == "" {
				t.Errorf("VM %d, %s: status %d, Retry-After %q; want 503 with a time", k, path, response.Code, response.Header().Get("Retry-After"))
			}
			if after := e.leafClient.Counts(); after.Requests != before.Requests {
				t.Errorf("VM %d, %s: sent to a leaf", k, path)
			}
		}
		if e.Ready() {
			t.Errorf("VM %d is ready, though it can't serve", k)
		}
	}
}

// TestLeafsThatAVMCannotReachHaveNotEnded guards against VMs that lose their links while they have
// requests at leafs, take these leafs for ended, and have all VMs refuse the requests.
func TestLeafsThatAVMCannotReachHaveNotEnded(t *testing.T) {
	const perVM = 8
	modes := map[string]cutMode{"silent": silent, "reset": resetAll, "refused": refusedAnew}
	cuts := map[string][]int{"one": {0}, "region": {0, 1}}
	for modeName, mode := range modes {
		for cutName, cut := range cuts {
			t.Run(modeName+"/"+cutName, func(t *testing.T) {
				t.Parallel()
				f := newLinkFleet(t, "depot-a", "depot-a", "depot-c")
				f.addLeafsIn("depot-a", "orders", 7)
				f.readStores()
				var group sync.WaitGroup
				for _, k := range cut {
					for range perVM {
						f.nextID++
						id := f.nextID
						group.Go(func() { f.send(f.entries[k], "/line/hold", id) })
					}
				}
				for f.heldCount() < perVM*len(cut) {
					time.Sleep(time.Millisecond)
				}
				for _, k := range cut {
					f.links[f.entries[k]].set(mode)
				}
				if mode == refusedAnew {
					for _, server := range f.servers {
						server.CloseClientConnections()
					}
				}
				// What ends now is reported, before a leaf answers.
				time.Sleep((2 * endedLeafTimeout).Duration())
				f.settleReports()
				time.Sleep((2 * tier.Second).Duration())
				for _, k := range cut {
					f.links[f.entries[k]].set(sound)
				}
				f.settleReports()
				for k, e := range f.entries {
					if left, refused := e.quarantined(f.newRequest("/line/hold")); refused {
						t.Errorf("VM %d refuses the request for %d ms", k, left)
					}
				}
				close(f.release)
				group.Wait()
			})
		}
	}
}

// TestCutLinksFailCalls guards against a fixture that cuts nothing: a cut must fail calls
// that go through it.
func TestCutLinksFailCalls(t *testing.T) {
	for _, mode := range []cutMode{silent, resetAll, refusedAnew} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		links := &cutLinks{}
		links.set(mode)
		ctx, cancel := context.WithTimeout(t.Context(), (20 * tier.Millisecond).Duration())
		if _, err := links.dial(ctx, "tcp", listener.Addr().String()); err == nil {
			t.Errorf("mode %d: connected", mode)
		}
		cancel()
		links.set(sound)
		connection, err := links.dial(t.Context(), "tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		links.set(mode)
		_, err = connection.Write([]byte("x"))
		if failed := err != nil; failed != (mode == resetAll) {
			t.Errorf("mode %d: written with %v", mode, err)
		}
		_ = connection.Close()
		got, err := io.ReadAll(accepted)
		if err != nil {
			t.Fatal(err)
		}
		if arrived := string(got) == "x"; arrived != (mode == refusedAnew) {
			t.Errorf("mode %d: %q arrives on a connection from before the cut", mode, got)
		}
		_ = accepted.Close()
		_ = listener.Close()
	}
}
