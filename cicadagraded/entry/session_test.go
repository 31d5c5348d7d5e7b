package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier"
)

// TestSessions runs the scripts in testdata and compares the output with golden files.
// Callers, an entry VM, a stand-in of the store and leafs communicate over loopback.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no session scripts found: %v", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) {
			s := newSession(t)
			in, err := os.Open(f)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = in.Close() }()
			lines := bufio.NewScanner(in)
			for lines.Scan() {
				s.play(lines.Text())
			}
			goldie.New(t).Assert(t, name, []byte(s.out.String()))
		})
	}
}

// session is a deployment that a script controls. The script's commands, one a line:
//
//	configuration FILE              store FILE as the configuration, and wait until
//	                                the VM has applied it
//	leaf ID SERVICE ANSWER          start a leaf that gives ANSWER to all requests:
//	                                a letter for each record, or a status such as 500
//	                                or 503! (not executed), or mute (executes the
//	                                request and breaks the connection)
//	unreadable ID                   store a registration that can't be decoded
//	ask METHOD PATH [HEADER=VALUE]  send a request and print the response; expect=LEAF
//	                                sets the header that names the expected leaf
//	raw TEXT                        send bytes and print the response's status
//	header BYTES PATH               send a GET with a header of BYTES bytes and print
//	                                the response's status
//	idle PATH                       open three connections that go idle after a GET,
//	                                in the middle of a header, and without sending
//	                                anything, and print what came before the VM
//	                                closed them
//	limit ID [TEXT]                 make the leaf name a limit in its replies, or none
//	leaves ID                       make the leaf say in its replies that it leaves
//	rest ID TEXT                    make the leaf ask in its replies for a rest
//	reached ID                      print how many requests have reached the leaf
//	limits                          print the limits of leafs that the VM knows
//	seen ID                         print the requests that the leaf has executed
//	hold ID                         make the leaf delay its replies until release
//	begin METHOD PATH               send a request in the background, and wait until
//	                                the held leaf has received it
//	release                         let the held leaf reply, and print the response to
//	                                the request sent by begin
type session struct {
	t           *testing.T
	out         strings.Builder
	store       *platform.Store
	entry       *Entry
	listener    net.Listener
	leafs       map[string]*responder.FixedLeaf
	group       sync.WaitGroup
	heldLeaf    string      // id of the leaf that delays its replies
	releaseHeld func()      // lets the held leaf reply
	pending     chan string // response to the request sent by begin
}

// callerTimeoutMs is how long callers wait. It is longer than any session.
const callerTimeoutMs = 120_000

func newSession(t *testing.T) *session {
	t.Helper()
	s := &session{t: t, leafs: map[string]*responder.FixedLeaf{}}
	store := httptest.NewServer(storeserver.New(tier.NewClock()))
	s.store = platform.NewStore(store.URL)
	raw, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(string(raw), "STORE", store.Listener.Addr().String())
	settings, err := platform.DecodeSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	clock := tier.NewClock()
	s.entry, err = New(settings, clock, eventlog.New(io.Discard, clock))
	if err != nil {
		t.Fatal(err)
	}
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callers := NewCallerServer(s.entry)
	ctx, cancel := context.WithCancel(context.Background())
	s.group.Go(func() { _ = s.entry.RunRefresh(ctx) })
	s.group.Go(func() { _ = callers.Serve(s.listener) })
	t.Cleanup(func() {
		cancel()
		_ = s.listener.Close()
		callers.Close()
		s.group.Wait()
		s.entry.Close()
		s.store.Close()
		store.Close()
	})
	return s
}

// play runs one line of a script and records it with its output.
func (s *session) play(line string) {
	s.out.WriteString(line + "\n")
	words := strings.Fields(line)
	if len(words) == 0 || words[0] == "#" {
		return
	}
	switch words[0] {
	case "configuration":
		raw, err := os.ReadFile(filepath.Join("testdata", words[1]))
		if err != nil {
			s.t.Fatal(err)
		}
		s.put(platform.ConfigurationKey, raw)
		s.waitForView()
	case "leaf":
		s.addLeaf(words[1], words[2], words[3])
	case "unreadable":
		s.put(platform.LeafsPrefix+words[1], responder.InvalidRegistration())
		s.waitForView()
	case "ask":
		s.ask(words[1], words[2], words[3:])
	case "raw":
		s.raw(strings.TrimPrefix(line, "raw "))
	case "header":
		n, err := strconv.Atoi(words[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.raw("GET " + words[2] + " HTTP/1.1\r\nHost: search.example\r\nX-Long: " + strings.Repeat("x", n) + "\r\n\r\n")
	case "idle":
		s.idle("GET " + words[1] + " HTTP/1.1\r\nHost: search.example\r\n\r\n")
		s.idle("GET " + words[1] + " HTTP/1.1\r\nHost:")
		s.idle("")
	case "hold":
		s.heldLeaf, s.releaseHeld = words[1], s.leafs[words[1]].Hold()
	case "begin":
		s.pending = make(chan string, 1)
		s.group.Go(func() { s.pending <- s.sendRequest(words[1], words[2], nil) })
		for len(s.leafs[s.heldLeaf].Executed()) == 0 {
			time.Sleep(time.Millisecond)
		}
	case "release":
		s.releaseHeld()
		s.out.WriteString(<-s.pending)
	case "limit":
		s.leafs[words[1]].NameLimit(strings.Join(words[2:], " "))
	case "leaves":
		s.leafs[words[1]].SayLeaving()
	case "rest":
		s.leafs[words[1]].AskForRest(words[2])
	case "reached":
		fmt.Fprintf(&s.out, "  %d\n", s.leafs[words[1]].Received())
	case "limits":
		s.printLimits()
	case "seen":
		fmt.Fprintf(&s.out, "  %s\n", strings.Join(s.leafs[words[1]].Executed(), ", "))
	default:
		s.t.Fatalf("unknown command %q", words[0])
	}
}

func (s *session) printLimits() {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	uses := s.entry.scheduler.Balancer().TakeLimitUse()
	for _, u := range uses {
		fmt.Fprintf(&s.out, "  %s takes %g a second\n", u.Leaf().ID(), u.PerSecond())
	}
	fmt.Fprintf(&s.out, "  %d in all\n", len(uses))
}

func (s *session) put(key string, raw []byte) {
	if _, err := s.store.Put(context.Background(), key, raw, 0); err != nil {
		s.t.Fatal(err)
	}
}

// waitForView waits until the VM has read the store's present revision.
func (s *session) waitForView() {
	_, at, err := s.store.GetWithRevision(context.Background(), "none")
	if err != nil {
		s.t.Fatal(err)
	}
	for {
		s.entry.mu.Lock()
		read := s.entry.relayer.Revision()
		s.entry.mu.Unlock()
		if read >= at {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *session) addLeaf(id, service, answer string) {
	l := responder.NewFixedLeaf(id, answer)
	s.leafs[id] = l
	server := httptest.NewServer(l)
	s.t.Cleanup(server.Close)
	raw, err := l.Registration(service, server.Listener.Addr().String(), "depot-a")
	if err != nil {
		s.t.Fatal(err)
	}
	s.put(platform.LeafsPrefix+id, raw)
	s.waitForView()
}

func (s *session) ask(method, path string, headers []string) {
	s.out.WriteString(s.sendRequest(method, path, headers))
}

// sendRequest sends a request and returns a line that describes the response.
func (s *session) sendRequest(method, path string, headers []string) string {
	var out strings.Builder
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order 7")
	}
	request, err := http.NewRequest(method, "http://"+s.listener.Addr().String()+path, body)
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "search.example"
	responder.SetCallerHeaders(request.Header, "a1", callerTimeoutMs)
	for _, h := range headers {
		k, v, _ := strings.Cut(h, "=")
		if k == "expect" {
			responder.SetExpectedInstance(request.Header, v)
			continue
		}
		request.Header.Set(k, v)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	fmt.Fprintf(&out, "  %d", response.StatusCode)
	var names []string
	for k := range response.Header {
		switch k {
		case "Date", "Content-Length", "Content-Type":
		case "Retry-After":
			names = append(names, k+": set")
		default:
			value := response.Header.Get(k)
			if responder.IsPartSignatures(k) {
				list := strings.Split(value, ", ")
				sort.Strings(list)
				value = strings.Join(list, ", ")
			}
			names = append(names, k+": "+value)
		}
	}
	sort.Strings(names)
	for _, n := range names {
		out.WriteString("; " + n)
	}
	var letters []byte
	for i := 0; i+platform.RecordBytes <= len(got); i += platform.RecordBytes {
		letters = append(letters, got[i])
	}
	fmt.Fprintf(&out, "; records %q\n", letters)
	return out.String()
}

// idle sends a text, waits until the VM closes the connection, and records the first line
// received until then.
func (s *session) idle(text string) {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte(text)); err != nil {
		s.t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if err != nil {
		s.t.Fatal(err)
	}
	first, _, _ := strings.Cut(string(got), "\r\n")
	fmt.Fprintf(&s.out, "  closed after %q\n", first)
}

// raw sends a text, in which \r\n stands for a line break, and records the status of the
// response.
func (s *session) raw(text string) {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte(strings.ReplaceAll(text, `\r\n`, "\r\n"))); err != nil {
		s.t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = response.Body.Close()
	fmt.Fprintf(&s.out, "  %d\n", response.StatusCode)
}
