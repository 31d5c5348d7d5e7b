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

// TestSessions plays whole sessions: callers, an entry VM, the store's stand-in
// and leafs, over loopback.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no sessions: %v", err)
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

// session is one deployment. Its words:
//
//	configuration FILE              the operator writes it, the VM takes it
//	leaf ID SERVICE ANSWER          a leaf that gives one answer to all: records
//	                                as letters, or a status such as 500 or 503!
//	                                (not run), or mute
//	unreadable ID                   an entry that can't be read
//	ask METHOD PATH [HEADER=VALUE]  what a caller gets; expect=LEAF has it name one
//	raw TEXT                        bytes from a caller, and the answer's status
//	header BYTES PATH               the status of a GET with a header that long
//	idle PATH                       a connection is kept silent: after a GET,
//	                                after half of a header, and before any byte
//	seen ID                         requests that the leaf has run
//	hold ID                         the leaf keeps what it runs
//	begin METHOD PATH               a caller asks, while the session goes on once
//	                                the leaf that holds has got its part
//	release                         the leaf goes on; what the caller gets
type session struct {
	t     *testing.T
	out   strings.Builder
	store *platform.Store
	entry *Entry
	front net.Listener
	leafs map[string]*responder.Leaf
	group sync.WaitGroup
	holds string      // the leaf that keeps what it runs
	free  func()      // has it go on
	begun chan string // what the caller gets
}

// patience is how long callers wait, in milliseconds: longer than any session.
const patience = 120_000

func newSession(t *testing.T) *session {
	t.Helper()
	s := &session{t: t, leafs: map[string]*responder.Leaf{}}
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
	s.front, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callers := NewCallerServer(s.entry)
	ctx, cancel := context.WithCancel(context.Background())
	s.group.Go(func() { _ = s.entry.RunRefresh(ctx) })
	s.group.Go(func() { _ = callers.Serve(s.front) })
	t.Cleanup(func() {
		cancel()
		_ = s.front.Close()
		callers.Close()
		s.group.Wait()
		s.entry.Close()
		s.store.Close()
		store.Close()
	})
	return s
}

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
		s.settled()
	case "leaf":
		s.leaf(words[1], words[2], words[3])
	case "unreadable":
		s.put(platform.LeafsPrefix+words[1], responder.Unreadable())
		s.settled()
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
		s.holds, s.free = words[1], s.leafs[words[1]].Hold()
	case "begin":
		s.begun = make(chan string, 1)
		s.group.Go(func() { s.begun <- s.get(words[1], words[2], nil) })
		for len(s.leafs[s.holds].Seen()) == 0 {
			time.Sleep(time.Millisecond)
		}
	case "release":
		s.free()
		s.out.WriteString(<-s.begun)
	case "seen":
		fmt.Fprintf(&s.out, "  %s\n", strings.Join(s.leafs[words[1]].Seen(), ", "))
	default:
		s.t.Fatalf("no word %q", words[0])
	}
}

func (s *session) put(key string, raw []byte) {
	if _, err := s.store.Put(context.Background(), key, raw, 0); err != nil {
		s.t.Fatal(err)
	}
}

// settled waits until the VM has read everything that is in the store.
func (s *session) settled() {
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

func (s *session) leaf(id, service, answer string) {
	l := responder.New(id, answer)
	s.leafs[id] = l
	server := httptest.NewServer(l)
	s.t.Cleanup(server.Close)
	raw, err := l.Registration(service, server.Listener.Addr().String(), "depot-a")
	if err != nil {
		s.t.Fatal(err)
	}
	s.put(platform.LeafsPrefix+id, raw)
	s.settled()
}

func (s *session) ask(method, path string, headers []string) {
	s.out.WriteString(s.get(method, path, headers))
}

// get asks, and tells what comes.
func (s *session) get(method, path string, headers []string) string {
	var out strings.Builder
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order 7")
	}
	q, err := http.NewRequest(method, "http://"+s.front.Addr().String()+path, body)
	if err != nil {
		s.t.Fatal(err)
	}
	q.Host = "search.example"
	responder.Address(q.Header, "a1", patience)
	for _, h := range headers {
		k, v, _ := strings.Cut(h, "=")
		if k == "expect" {
			responder.Expect(q.Header, v)
			continue
		}
		q.Header.Set(k, v)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	got, err := io.ReadAll(p.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	fmt.Fprintf(&out, "  %d", p.StatusCode)
	var names []string
	for k := range p.Header {
		switch k {
		case "Date", "Content-Length", "Content-Type":
		case "Retry-After":
			names = append(names, k+": set")
		default:
			value := p.Header.Get(k)
			if responder.IsProofs(k) {
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

// idle sends a text and then nothing, until the VM closes the connection. It
// notes the bytes that come before that.
func (s *session) idle(text string) {
	c, err := net.Dial("tcp", s.front.Addr().String())
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

// raw sends bytes as they are; \r\n stands for the ends of lines.
func (s *session) raw(text string) {
	c, err := net.Dial("tcp", s.front.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte(strings.ReplaceAll(text, `\r\n`, "\r\n"))); err != nil {
		s.t.Fatal(err)
	}
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = p.Body.Close()
	fmt.Fprintf(&s.out, "  %d\n", p.StatusCode)
}
