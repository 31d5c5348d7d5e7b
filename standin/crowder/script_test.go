package crowder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cicadagrade.example/platform"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier"
)

const (
	host = "search.example"
	// answerTimeout bounds the wait for the answer of an ordinary caller, and for a VM to become ready.
	answerTimeout = time.Minute
	// windowBytes is the receive buffer of leafs' connections.
	windowBytes = 16 << 10
)

// script is a deployment of entry VMs as processes on loopback, with stand-ins of the store and of leafs in
// the test's process, that a file in testdata controls. Its commands, one a line:
//
//	vm NAME ZONE memory-mb=N file-descriptors=N
//	                        start an entry VM with these limits, and wait until it is ready
//	serve NAME memory-mb=N file-descriptors=N
//	                        start a VM with the product's own interface and these limits, with a profile, a set and
//	                        its backend servers
//	leaf ID SERVICE ZONE [records=N] [small-window=1]
//	                        start a leaf, whose replies have one or N records, and whose connections take few
//	                        bytes that it has not read
//	leafs N PREFIX ZONE ... start a leaf for each of the services PREFIX0 to PREFIX(N-1)
//	pause-ms N              wait
//	hold, release           let all leafs keep requests unanswered, and answer them
//	hold-unread             the same, without reading the requests' bodies
//	crowd N VM METHOD PATH [body=BYTES] [chunk=BYTES] [piece=BYTES] [pause-ms=N] [short=BYTES] [whole-every=N]
//	      [time-left-ms=N] [header-lines=N] [header-short=1] [returns=N] [unread=REQUESTS]
//	                        N callers send a request each, as the options of package crowder say, and stay
//	silent N VM             N callers open a connection and send nothing
//	await-answers           wait until each caller of the last crowd has been answered or cut off
//	served N                wait as await-answers does, and check that N callers were answered with 200
//	json-crowd N VM [body=BYTES] [chunk=BYTES] [short=BYTES]
//	                        N callers of a VM that serve has started send a search each, and stay
//	search VM               an ordinary caller of such a VM searches, which must be answered with 200
//	ask VM METHOD PATH [body=BYTES]
//	                        an ordinary caller sends a request, which must be answered with 200
//
// At the end all processes must be running, and must never have held more memory and descriptors than their
// limits. A caller that was answered 408, 429 or 503 must not have reached a leaf.
type script struct {
	t       *testing.T
	store   *platform.Store
	address string // of the store
	vms     map[string]*vm
	leafs   []*responder.FixedLeaf
	release []func()
	crowds  []*Crowd
	unread  atomic.Pointer[chan struct{}] // closed when leafs may read bodies, or nil
	next    int
}

func newScript(t *testing.T) *script {
	t.Helper()
	server := httptest.NewServer(storeserver.New(tier.NewClock()))
	s := &script{t: t, store: platform.NewStore(server.URL), address: server.Listener.Addr().String(), vms: map[string]*vm{}}
	t.Cleanup(func() {
		for _, c := range s.crowds {
			c.Leave()
		}
		for _, v := range s.vms {
			v.kill()
		}
		s.store.Close()
		server.CloseClientConnections()
		server.Close()
	})
	raw, err := os.ReadFile("testdata/configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	s.put(platform.ConfigurationKey, raw)
	return s
}

func (s *script) put(key string, raw []byte) {
	if _, err := s.store.Put(context.Background(), key, raw, 0); err != nil {
		s.t.Fatal(err)
	}
}

// play plays a file of testdata and checks the processes.
func play(t *testing.T, file string) {
	s := newScript(t)
	raw, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for lines.Scan() {
		if words := strings.Fields(lines.Text()); len(words) > 0 && !strings.HasPrefix(words[0], "#") {
			s.run(words[0], words[1:])
		}
	}
	s.check()
}

// run runs one command.
func (s *script) run(command string, words []string) {
	var plain []string
	named := map[string]int{}
	for _, w := range words {
		name, value, ok := strings.Cut(w, "=")
		if !ok {
			plain = append(plain, w)
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil {
			s.t.Fatalf("%s: %q is not a number", command, w)
		}
		named[name] = n
	}
	switch command {
	case "vm":
		v := newVM(plain[0], len(s.vms), named["memory-mb"], named["file-descriptors"])
		s.vms[v.name] = v
		v.startFront(s.t, plain[1], s.address)
	case "serve":
		v := newVM(plain[0], len(s.vms), named["memory-mb"], named["file-descriptors"])
		s.vms[v.name] = v
		s.serve(v)
	case "json-crowd":
		n, _ := strconv.Atoi(plain[0])
		s.send(s.newCrowd(plain[1], http.MethodPost, "/v1/search?", n, WithBodyStart(`{"request-id":"r","term":"`),
			WithBody(named["body"]), InChunks(named["chunk"]), ShortBy(named["short"], 0)))
	case "search":
		s.search(plain[0])
	case "leaf":
		s.addLeaf(plain[0], plain[1], plain[2], named)
	case "leafs":
		n, _ := strconv.Atoi(plain[0])
		for i := range n {
			s.addLeaf(fmt.Sprintf("leaf-%s%d", plain[1], i), fmt.Sprint(plain[1], i), plain[2], named)
		}
	case "pause-ms":
		n, _ := strconv.Atoi(plain[0])
		time.Sleep(time.Duration(n) * time.Millisecond)
	case "hold":
		for _, l := range s.leafs {
			s.release = append(s.release, l.Hold())
		}
	case "hold-unread":
		unread := make(chan struct{})
		s.unread.Store(&unread)
		s.release = append(s.release, func() { close(unread) })
	case "release":
		for _, release := range s.release {
			release()
		}
		s.release = nil
	case "crowd":
		n, _ := strconv.Atoi(plain[0])
		s.send(s.newCrowd(plain[1], plain[2], plain[3], n,
			WithBody(named["body"]), InChunks(named["chunk"]), InPieces(named["piece"], tier.Millis(named["pause-ms"])),
			ShortBy(named["short"], named["whole-every"]), WaitingFor(tier.Millis(named["time-left-ms"])),
			Returning(named["returns"]), NotReading(named["unread"]),
			WithHeaderLines(named["header-lines"], named["header-short"] > 0)))
	case "silent":
		n, _ := strconv.Atoi(plain[0])
		s.send(s.newCrowd(plain[1], "", "", n, Silent()))
	case "await-answers":
		s.crowds[len(s.crowds)-1].awaitAnswers(s.t)
	case "served":
		n, _ := strconv.Atoi(plain[0])
		s.checkServed(s.crowds[len(s.crowds)-1], n)
	case "ask":
		s.ask(plain[0], plain[1], plain[2], named["body"])
	default:
		s.t.Fatalf("unknown command %q", command)
	}
}

// newCrowd returns a crowd at a VM.
func (s *script) newCrowd(vm, method, path string, members int, options ...Option) *Crowd {
	return New(s.vms[vm].endpoint(callerPort), host, method, path, fmt.Sprint("crowd-", len(s.crowds)), members, options...)
}

func (s *script) send(c *Crowd) {
	s.crowds = append(s.crowds, c)
	c.Send()
}

// addLeaf starts a leaf with the options of the commands leaf and leafs.
func (s *script) addLeaf(id, service, zone string, options map[string]int) {
	answer := strings.Repeat("a", max(options["records"], 1))
	leaf := responder.NewFixedLeaf(id, answer)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if unread := s.unread.Load(); unread != nil {
			<-*unread
		}
		leaf.ServeHTTP(w, r)
	}))
	if options["small-window"] > 0 {
		server.Listener = smallWindows{server.Listener}
	}
	server.Start()
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	raw, err := leaf.Registration(service, server.Listener.Addr().String(), zone)
	if err != nil {
		s.t.Fatal(err)
	}
	s.leafs = append(s.leafs, leaf)
	s.put(platform.LeafsPrefix+id, raw)
}

// smallWindows accepts connections that take few bytes that nobody has read.
type smallWindows struct{ net.Listener }

func (l smallWindows) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetReadBuffer(windowBytes)
	}
	return conn, err
}

// ask sends the request of an ordinary caller on a connection of its own.
func (s *script) ask(vm, method, path string, body int) {
	s.t.Helper()
	s.next++
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.vms[vm].endpoint(callerPort)+path, bytes.NewReader(bytes.Repeat([]byte{'y'}, body)))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = host
	responder.SetCallerHeaders(request.Header, fmt.Sprint("ordinary-", s.next), int(defaultTimeLeft))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		s.t.Errorf("an ordinary caller of %s got no answer: %v", path, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || len(answer) == 0 {
		s.t.Errorf("an ordinary caller of %s got status %d and %d bytes, error %v", path, response.StatusCode, len(answer), err)
	}
}

// checkServed checks how many callers of a crowd are answered with 200.
func (s *script) checkServed(c *Crowd, want int) {
	s.t.Helper()
	c.awaitAnswers(s.t)
	served := 0
	for _, status := range c.Statuses() {
		if status == http.StatusOK {
			served++
		}
	}
	if served != want {
		s.t.Errorf("%d callers were served, not %d: %v", served, want, c.Statuses())
	}
}

// awaitAnswers waits until each caller has been answered or has lost its connection.
func (c *Crowd) awaitAnswers(t *testing.T) {
	t.Helper()
	answered := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.ended
	}
	for start := time.Now(); answered() < c.members; time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > answerTimeout {
			t.Errorf("%d of %d callers have been answered or cut off", answered(), c.members)
			return
		}
	}
}

// check checks the processes and what the crowds were told.
func (s *script) check() {
	for _, v := range s.vms {
		v.check(s.t)
	}
	executed := map[string]bool{}
	for _, l := range s.leafs {
		for _, e := range l.Executed() {
			executed[strings.Fields(e)[1]] = true
		}
	}
	for _, c := range s.crowds {
		counts := map[int]int{}
		for path, status := range c.Statuses() {
			counts[status]++
			promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
			if promised && executed[path] {
				s.t.Errorf("%s was answered %d and has run", path, status)
			}
		}
		s.t.Logf("responses by status: %v of %d callers", counts, c.members)
	}
}
