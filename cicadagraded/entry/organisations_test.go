package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	gatherv1 "cicadagrade.example/api/gather/v1"
	"cicadagrade.example/cicadagraded/eventlog"
	"cicadagrade.example/platform"
	"cicadagrade.example/standin/responder"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// record collects text from several goroutines.
type record struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *record) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(b)
}

func (r *record) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// recordedResponse also writes a response to a record.
type recordedResponse struct {
	http.ResponseWriter
	record *record
}

func (w recordedResponse) Write(b []byte) (int, error) {
	_, _ = w.record.Write(b)
	return w.ResponseWriter.Write(b)
}

func (w recordedResponse) Unwrap() http.ResponseWriter { return w.ResponseWriter }
func (w recordedResponse) Flush()                      { _ = http.NewResponseController(w.ResponseWriter).Flush() }

// recordCalls writes the calls of a handler to a record, without compression.
func (r *record) recordCalls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		q.Header.Del("Accept-Encoding")
		q.Header.Del("Connect-Accept-Encoding")
		raw, err := httputil.DumpRequest(q, true)
		if err != nil {
			panic(err)
		}
		_, _ = r.Write(raw)
		h.ServeHTTP(recordedResponse{w, r}, q)
	})
}

// recordLeafs puts a record in front of the leafs that have been started.
func (f *testFleet) recordLeafs() *record {
	r := &record{}
	for _, server := range f.servers {
		server.Config.Handler = r.recordCalls(server.Config.Handler)
	}
	return r
}

// sendWith sends a request with headers, which alternate between names and values.
func (f *testFleet) sendWith(e *Entry, method, path string, body io.Reader, headers ...string) *httptest.ResponseRecorder {
	f.nextID++
	r := httptest.NewRequest(method, path, body)
	r.Host = "search.example"
	responder.SetCallerHeaders(r.Header, fmt.Sprint("a", f.nextID), callerTimeoutMs)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

// age makes a VM's view older.
func (e *Entry) age(by tier.Millis) { e.storeAnsweredAt.Store(int64(e.clock.Now() - by)) }

// TestKeysOfCallers guards against callers that choose their organisation or reach leafs without
// a key, against a revoked key that is accepted again, and against a 401 for a key that a newer
// version may contain.
func TestKeysOfCallers(t *testing.T) {
	f := newTestFleet(t, 1)
	f.putConfiguration("organisations.json")
	f.addLeafs("orders", 1)
	leafs := f.recordLeafs()
	e := f.entries[0]
	check := func(path, key string, status int, organisation string) {
		t.Helper()
		headers := []string{"Tenant", "chosen"}
		if key != "" {
			headers = append(headers, "Authorization", "bearer \t"+key)
		}
		before := len(leafs.String())
		w := f.sendWith(e, http.MethodGet, path, nil, headers...)
		seen := leafs.String()[before:]
		got := ""
		if _, rest, found := strings.Cut(seen, "Tenant: "); found {
			got, _, _ = strings.Cut(rest, "\r\n")
		}
		if w.Code != status || got != organisation || (status == http.StatusUnauthorized) != (w.Header().Get("WWW-Authenticate") == "Bearer") ||
			(status == http.StatusServiceUnavailable) != (w.Header().Get("Retry-After") != "") || (status != http.StatusOK) != (seen == "") {
			t.Errorf("%s with %q: status %d, organisation %q, header %v, leafs got %q", path, key, w.Code, got, w.Header(), seen)
		}
	}
	check("/line/1", "secret-1", 200, "one") // also listed by two
	check("/line/1", "secret-3", 200, "two")
	check("/line/1", "", 401, "")
	check("/line/1", "secret", 401, "")
	check("/open/1", "", 200, "")
	check("/open/1", "secret", 200, "")
	check("/open/1", "secret-2", 200, "one")
	check("/none/1", "secret-2", 404, "")

	e.age(staleViewAge + 100)
	check("/line/1", "secret", 503, "")
	check("/line/1", "", 401, "")
	check("/line/1", "secret-3", 200, "two")
	e.age(tier.Hour)
	check("/line/1", "secret-3", 200, "two")

	raw, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	strict := strings.ReplaceAll(string(raw), "[platform]", "revocationMs = 5000\nrevokeWhenPartitioned = true\n[platform]")
	settings, err := platform.DecodeSettings([]byte(strings.ReplaceAll(strict, "STORE", f.address)))
	if err != nil {
		t.Fatal(err)
	}
	e.Reload(settings)
	check("/line/1", "secret-3", 503, "")
	check("/line/1", "secret", 503, "")
	check("/open/1", "secret-3", 200, "")
	e.age(4 * tier.Second)
	check("/line/1", "secret-3", 200, "two")

	e.age(0)
	configuration, err := os.ReadFile("testdata/organisations.json")
	if err != nil {
		t.Fatal(err)
	}
	newer := bytes.ReplaceAll(bytes.ReplaceAll(configuration, []byte(`"version": 8`), []byte(`"version": 9`)), []byte(`"secret-3", `), nil)
	for i, version := range [][]byte{newer, configuration} { // a copy from a peer with an older view comes last
		e.applyChange(storer.NewValue(platform.ConfigurationKey, version, int64(100+i)), int64(100+i), true)
		check("/line/1", "secret-3", 401, "")
		check("/line/1", "secret-2", 200, "one")
	}
}

// TestRefusalDoesNotWaitForTheBody guards against a refused caller that first has to send its
// body, and against a connection that its refusal closes.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	f := newTestFleet(t, 1)
	f.putConfiguration("organisations.json")
	f.addLeafs("ledger", 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callers := NewCallerServer(f.entries[0])
	var group sync.WaitGroup
	group.Go(func() { _ = callers.Serve(listener) })
	defer group.Wait()
	defer callers.Close()
	defer func() { _ = listener.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	reader := bufio.NewReader(c)
	exchange := func(text string) (int, bool) {
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("after %q: %v", text, err)
		}
		_ = response.Body.Close()
		return response.StatusCode, response.Close
	}
	const head = "POST /book/1 HTTP/1.1\r\nHost: search.example\r\nContent-Length: 7\r\nAuthorization: Bearer "
	if status, closed := exchange(head + "wrong\r\n\r\n"); status != http.StatusUnauthorized || closed {
		t.Errorf("status %d, closed %v", status, closed)
	}
	if status, _ := exchange("order 7" + head + "secret-1\r\n\r\norder 8"); status != http.StatusOK {
		t.Errorf("after the body: status %d", status)
	}
	const chunked = "POST /book/1 HTTP/1.1\r\nHost: search.example\r\nTransfer-Encoding: chunked\r\n\r\n"
	if status, closed := exchange(chunked); status != http.StatusUnauthorized || closed {
		t.Errorf("with a body of unknown length: status %d, closed %v", status, closed)
	}
	if status, _ := exchange("3\r\nabc\r\n0\r\n\r\n" + head + "secret-1\r\n\r\norder 9"); status != http.StatusOK {
		t.Errorf("after a body of unknown length: status %d", status)
	}
	if status, closed := exchange(strings.ReplaceAll(head, "Content-Length", "Expect: 100-continue\r\nContent-Length") + "wrong\r\n\r\n"); status != http.StatusUnauthorized || !closed {
		t.Errorf("a caller that waits for leave: status %d, closed %v", status, closed)
	}
}

// panickingBody is a body whose reader fails.
type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("the body can't be read") }

// TestKeysAppearNowhere searches all that VMs send, log and show for keys.
func TestKeysAppearNowhere(t *testing.T) {
	vms, logs, shown := &record{}, &record{}, &record{}
	f := newWrappedLinkFleet(t, vms.recordCalls, "depot-a", "depot-c")
	leafs := f.recordLeafs()
	ended, end := context.WithCancel(context.Background())
	end()
	for _, e := range f.entries {
		e.log = eventlog.New(logs, e.clock)
	}
	f.putConfiguration("organisations.json")
	f.readStores()
	ask := func(want int, method, path string, body io.Reader, keys ...string) {
		t.Helper()
		f.readStores()
		var headers []string
		for _, key := range keys {
			headers = append(headers, "Authorization", key)
		}
		w := f.sendWith(f.entries[0], method, path, body, headers...)
		fmt.Fprintln(shown, w.Code, w.Header(), w.Body)
		if w.Code != want {
			t.Errorf("%s %s: status %d, want %d", method, path, w.Code, want)
		}
	}
	ask(200, http.MethodGet, "/line/1", nil, "Bearer secret-1")
	ask(200, http.MethodGet, "/sweep/1", nil, "Bearer secret-1")
	ask(200, http.MethodGet, "/open/1", nil, "Basic secret-1")
	ask(502, http.MethodPost, "/book/mute", nil, "Bearer secret-1")
	ask(401, http.MethodGet, "/line/1", nil, "Bearer secret-x")
	ask(401, http.MethodGet, "/line/1", nil, "Bearer secret-1", "Bearer secret-2")
	ask(401, http.MethodGet, "/line/1", nil, "secret-1")
	ask(401, http.MethodGet, "/line/1", nil, "Bearer secret-"+strings.Repeat("x", 1000))
	ask(413, http.MethodPost, "/book/1", strings.NewReader(strings.Repeat("x", 100)), "Bearer secret-1")
	func() {
		defer func() { fmt.Fprintln(shown, recover(), string(debug.Stack())) }()
		ask(0, http.MethodPost, "/book/1", panickingBody{}, "Bearer secret-1")
	}()
	f.links[f.entries[0]].set(resetAll)
	for !f.entries[0].linksLost.Load() {
		f.sendWith(f.entries[0], http.MethodGet, "/line/1", nil, "Authorization", "Bearer secret-1")
		time.Sleep(time.Millisecond)
	}
	ask(200, http.MethodGet, "/line/1", nil, "Bearer secret-1")
	if !strings.Contains(vms.String(), "/Relay") {
		t.Error("no request was relayed")
	}
	peers := f.entries[0].scheduler.Partitioner().HealthyPeers()
	if _, err := f.entries[0].peers.clientOf(peers[0].VM().Address()).Fetch(t.Context(), connect.NewRequest(&gatherv1.FetchRequest{})); err != nil {
		t.Fatal(err)
	}
	f.put(platform.ConfigurationKey, []byte(`{"version": 9, "tenants": [{"apiKeys": ["secret-1"]}, 7]}`))
	f.readStores()
	for _, e := range f.entries {
		e.background.Wait()
		_ = e.log.Run(ended)
		w := httptest.NewRecorder()
		e.MetricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, MetricsPath, nil))
		_, _ = shown.Write(w.Body.Bytes())
	}
	for name, r := range map[string]*record{"leafs": leafs, "VMs": vms, "log": logs, "responses and metrics": shown} {
		text := r.String()
		if at := strings.Index(text, "secret"); at >= 0 {
			t.Errorf("%s: %q", name, text[max(0, at-200):min(len(text), at+20)])
		}
		if len(text) < 1000 {
			t.Errorf("%s: only %q was recorded", name, text)
		}
	}
}
