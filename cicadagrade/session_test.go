package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/sebdah/goldie/v2"
	"github.com/spf13/cobra"

	"cicadagrade.example/platform"
	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/parser"
	"cicadagrade.example/tier/replicator"

	peerv1 "cicadagrade.example/api/peer/v1"
	"cicadagrade.example/api/peer/v1/peerv1connect"
)

// fakeVM is a VM that reports one document in its status and serves fetches of it.
type fakeVM struct {
	peerv1connect.UnimplementedPeerServiceHandler
	name   string
	server *httptest.Server
	state  *replicator.State
}

func newFakeVM(name string) *fakeVM {
	v := &fakeVM{name: name}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(v))
	mux.HandleFunc("/v1/status", v.status)
	v.server = httptest.NewServer(mux)
	return v
}

func (v *fakeVM) address() string { return v.server.Listener.Addr().String() }

func (v *fakeVM) status(w http.ResponseWriter, _ *http.Request) {
	body := map[string]any{
		"vm":      v.name,
		"members": []map[string]string{{"vm": v.name, "address": v.address(), "state": "live"}, {"vm": "c", "state": "live"}},
	}
	if v.state != nil {
		body["configuration"] = []refBody{newRefBody(v.state.Ref())}
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (v *fakeVM) Fetch(context.Context, *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchReply], error) {
	u := &peerv1.DocumentUpdate{Whole: v.state.Encode()}
	return connect.NewResponse(&peerv1.FetchReply{Updates: []*peerv1.DocumentUpdate{u}}), nil
}

// session runs commands against a fake store and the fake VMs that the script has created.
type session struct {
	t       *testing.T
	server  *storeserver.Server
	store   string
	vms     map[string]*fakeVM
	vmNames []string
	files   string // directory of the files that the script has written
}

// TestSessions runs each script of testdata/sessions and compares the output of its commands
// with a golden file.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/golden"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) {
			script, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			g.Assert(t, name, []byte(newSession(t).run(string(script))))
		})
	}
}

func newSession(t *testing.T) *session {
	s := &session{t: t, vms: map[string]*fakeVM{}, files: t.TempDir()}
	s.server = storeserver.New(tier.NewClock())
	h := httptest.NewServer(s.server)
	s.store = h.Listener.Addr().String()
	t.Cleanup(func() {
		h.Close()
		for _, v := range s.vms {
			v.server.Close()
		}
	})
	return s
}

// Patterns of what differs between runs.
var (
	addressPattern = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	causePattern   = regexp.MustCompile(`((?:Get|Post) "[^"]*"): [^;\n]*`)
	timePattern    = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`)
)

func (s *session) run(script string) string {
	var out strings.Builder
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		fmt.Fprintln(&out, line)
		if command, ok := strings.CutPrefix(line, ">> "); ok { // as text and as JSON
			out.WriteString(s.runCommand(command) + s.runCommand(command+" --json"))
		} else if command, ok := strings.CutPrefix(line, "> "); ok {
			text := addressPattern.ReplaceAllString(s.runCommand(command), "ADDRESS")
			text = causePattern.ReplaceAllString(text, "$1: CAUSE")
			out.WriteString(timePattern.ReplaceAllString(text, "TIME"))
		} else {
			s.runControl(strings.Fields(line))
		}
	}
	return out.String()
}

// splitArgs splits a line into arguments. Double quotes group words.
func splitArgs(line string) []string {
	var out []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			out = append(out, part)
			continue
		}
		out = append(out, strings.Fields(part)...)
	}
	return out
}

func (s *session) runCommand(line string) string {
	args := splitArgs(line)
	for i, a := range args {
		if written := filepath.Join(s.files, a); isFile(written) {
			args[i] = written
		} else if strings.HasSuffix(a, ".json") {
			args[i] = "testdata/files/" + a
		}
	}
	var addresses []string
	for _, name := range s.vmNames {
		addresses = append(addresses, s.vms[name].address())
	}
	if args[0] != "check" {
		args = append(args, "--store", s.store, "--vms", strings.Join(addresses, ","))
	}
	var out bytes.Buffer
	root := &cobra.Command{Use: "cicadagrade", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newCheckCommand(), profileCommand(tier.NewClock()), setCommand(tier.NewClock()))
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(&out)
	code := 0
	if err := root.Execute(); err != nil {
		fmt.Fprintln(&out, "cicadagrade:", err)
		code = exitCode(err)
	}
	fmt.Fprintf(&out, "exit code %d\n\n", code)
	return strings.ReplaceAll(out.String(), s.files+"/", "")
}

func isFile(name string) bool {
	info, err := os.Stat(name)
	return err == nil && !info.IsDir()
}

// write writes a file of the script. STORE stands for the store's address, \n for a new line.
func (s *session) write(name, text string) {
	text = strings.NewReplacer("STORE", s.store, `\n`, "\n").Replace(text)
	if err := os.WriteFile(filepath.Join(s.files, name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// put writes a file of the script to the store.
func (s *session) put(key, name string) {
	raw, err := os.ReadFile(filepath.Join(s.files, name))
	if err != nil {
		s.t.Fatal(err)
	}
	store := platform.NewStore(s.store)
	defer store.Close()
	if _, err := store.Put(context.Background(), key, raw, 0); err != nil {
		s.t.Fatal(err)
	}
}

func (s *session) runControl(w []string) {
	switch w[0] {
	case "file":
		s.write(w[1], strings.Join(w[2:], " "))
	case "put":
		s.put(w[1], w[2])
	case "faults":
		var f storeserver.Faults
		if err := json.Unmarshal([]byte(strings.Join(w[1:], " ")), &f); err != nil {
			s.t.Fatal(err)
		}
		s.server.SetFaults(f)
	case "save":
		s.server.Save(w[1])
	case "restart":
		if err := s.server.Restart(w[1]); err != nil {
			s.t.Fatal(err)
		}
	case "vm":
		s.serveStored(w[1])
	default:
		s.t.Fatalf("unknown line %v", w)
	}
}

// serveStored makes a VM, created if needed, serve the document that the store holds now.
func (s *session) serveStored(name string) {
	if s.vms[name] == nil {
		s.vms[name] = newFakeVM(name)
		s.vmNames = append(s.vmNames, name)
	}
	store := platform.NewStore(s.store)
	defer store.Close()
	state, err := loadDocument(context.Background(), store, replicator.Key(parser.KindProfiles, ""))
	if err != nil {
		s.t.Fatal(err)
	}
	s.vms[name].state = state
}
