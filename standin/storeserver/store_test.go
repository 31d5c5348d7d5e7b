package storeserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
	"golang.org/x/sync/errgroup"

	"cicadagrade.example/platform"
	"cicadagrade.example/standin/storeserver"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/storer"
)

// session runs one script against a store through its client.
type session struct {
	t      *testing.T
	clock  *tier.ManualClock
	server *storeserver.Server
	store  storer.Store
	group  errgroup.Group
	seen   chan storer.Value
	broken chan error
	cancel context.CancelFunc
}

func newSession(t *testing.T) *session {
	s := &session{t: t, clock: tier.NewManualClock(0), cancel: func() {}}
	s.server = storeserver.New(s.clock.Clock())
	h := httptest.NewServer(s.server)
	g := platform.NewStore(h.URL)
	s.store = g
	t.Cleanup(func() {
		s.cancel()
		_ = s.group.Wait()
		g.Close()
		h.Close()
	})
	return s
}

// TestSessions runs each script; the golden file holds what every line gave.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/golden"))
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) {
			script, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			s := newSession(t)
			var out strings.Builder
			for line := range strings.Lines(string(script)) {
				line = strings.TrimSpace(line)
				if line != "" && line[0] != '#' {
					fmt.Fprintf(&out, "%s\n  %s\n", line, s.step(strings.Fields(line)))
				}
			}
			g.Assert(t, name, []byte(out.String()))
		})
	}
}

func (s *session) step(w []string) string {
	ctx := context.Background()
	switch w[0] {
	case "get":
		v, err := s.store.Get(ctx, w[1])
		return outcome(text(v), err)
	case "list":
		all, err := s.store.List(ctx, w[1], 0)
		var out []string
		for _, v := range all {
			out = append(out, text(v))
		}
		return outcome(strings.Join(out, ", "), err)
	case "swap":
		lease := int64(0)
		if len(w) > 4 {
			lease = s.number(w[4])
		}
		r, err := s.store.CompareAndSwap(ctx, w[1], []byte(w[2]), s.number(w[3]), storer.LeaseID(lease))
		return outcome(fmt.Sprintf("revision %d", r), err)
	case "delete":
		return outcome("deleted", s.store.Delete(ctx, w[1], s.number(w[2])))
	case "grant":
		id, err := s.store.Grant(ctx, tier.Millis(s.number(w[1])))
		return outcome(fmt.Sprintf("lease %d", id), err)
	case "keep-alive":
		left, err := s.store.KeepAlive(ctx, storer.LeaseID(s.number(w[1])))
		return outcome(fmt.Sprintf("%d ms left", left), err)
	default:
		return s.control(w)
	}
}

// control changes or observes what is around the store.
func (s *session) control(w []string) string {
	switch w[0] {
	case "advance":
		s.clock.Advance(tier.Millis(s.number(w[1])))
		return "advanced"
	case "faults":
		var f storeserver.Faults
		if err := json.Unmarshal([]byte(strings.Join(w[1:], " ")), &f); err != nil {
			s.t.Fatal(err)
		}
		s.server.SetFaults(f)
		return "set"
	case "save":
		s.server.Save(w[1])
		return "saved"
	case "restart":
		return outcome("restarted", s.server.Restart(strings.Join(w[1:], "")))
	case "watch":
		s.watch(w[1])
		return "watching"
	case "seen":
		return "seen " + text(<-s.seen)
	case "broken":
		return outcome("", <-s.broken)
	default:
		s.t.Fatalf("unknown line %v", w)
		return ""
	}
}

// watch starts to watch a prefix from its beginning.
func (s *session) watch(prefix string) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	seen, broken := make(chan storer.Value, 16), make(chan error, 1)
	s.seen, s.broken = seen, broken
	s.group.Go(func() error {
		broken <- s.store.Watch(ctx, prefix, 1, func(v storer.Value) { seen <- v })
		return nil
	})
}

func (s *session) number(w string) int64 {
	n, err := strconv.ParseInt(w, 10, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func text(v storer.Value) string {
	if !v.Present() {
		return v.Key() + " is absent"
	}
	return fmt.Sprintf("%s = %s at %d", v.Key(), v.Data(), v.Revision())
}

// outcome names the kind of an error, without its changing parts.
func outcome(good string, err error) string {
	var conflict *storer.ConflictError
	var unsure *storer.IndeterminateError
	var unavailable *storer.UnavailableError
	switch {
	case err == nil:
		return good
	case errors.As(err, &conflict):
		return "conflict: " + text(conflict.Current())
	case errors.As(err, &unsure):
		return "unsure of " + unsure.Call()
	case errors.As(err, &unavailable):
		return "unavailable for " + unavailable.Call()
	default:
		return err.Error()
	}
}

// TestRefusedConnection: a write that never left is not unsure.
func TestRefusedConnection(t *testing.T) {
	h := httptest.NewServer(nil)
	h.Close()
	_, err := platform.NewStore(h.URL).CompareAndSwap(context.Background(), "a", nil, 0, 0)
	if got := outcome("done", err); got != "unavailable for swap" {
		t.Error(got)
	}
}

// TestSlowWriteIsUnsure: a write that outlasts the timeout may take effect.
func TestSlowWriteIsUnsure(t *testing.T) {
	server := storeserver.New(tier.NewClock())
	h := httptest.NewServer(server)
	defer h.Close()
	server.SetFaults(storeserver.Faults{Delay: 2 * tier.Second})
	_, err := platform.NewStore(h.URL, platform.WithTimeout(20)).CompareAndSwap(context.Background(), "a", nil, 0, 0)
	if got := outcome("done", err); got != "unsure of swap" {
		t.Error(got)
	}
}

// TestCallsAreCounted: a call that waits for changes is one call, however long it
// lasts; a watch makes the next one after each answer.
func TestCallsAreCounted(t *testing.T) {
	s := newSession(t)
	s.step([]string{"watch", "a"})
	s.step([]string{"swap", "a", "one", "0"})
	s.step([]string{"seen"})
	s.step([]string{"get", "a"})
	calls := s.server.CallCounts()
	for calls.ByKind["watch"] < 2 {
		calls = s.server.CallCounts()
	}
	if calls.ByKind["watch"] != 2 || calls.ByKind["txn"] != 1 || calls.ByKind["key"] != 1 || calls.Total != 4 || calls.OpenWatches > 1 {
		t.Errorf("calls %+v", calls)
	}
}
