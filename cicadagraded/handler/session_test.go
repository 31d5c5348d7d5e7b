package handler

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	"cicadagrade.example/cicadagraded/coordinator"
	"cicadagrade.example/cicadagraded/owner"
	"cicadagrade.example/tier"
	"cicadagrade.example/tier/merger"
	"cicadagrade.example/tier/parser"
)

// session is a scripted session: documents, what the VM believes, and steps.
type session struct {
	Home      string                               `json:"home"`
	Profiles  json.RawMessage                      `json:"profiles"`
	Set       json.RawMessage                      `json:"set"`
	Reachable []string                             `json:"reachable"`
	Versions  map[string]map[string][]tier.Version `json:"versions"`
	Steps     []sessionStep                        `json:"steps"`
}

// sessionStep is one request with what the owners of each data centre do.
type sessionStep struct {
	About    string                 `json:"about"`
	Path     string                 `json:"path"`
	Body     string                 `json:"body"`
	Admit    *tier.Millis           `json:"refuse-admission-ms"`
	Busy     bool                   `json:"busy"`
	Unloaded bool                   `json:"no-configuration"`
	Owners   map[string]ownerScript `json:"owners"`
}

// ownerScript is what the owners in a data centre answer.
type ownerScript struct {
	Takes       tier.Millis                  `json:"takes-ms"`
	Unreachable bool                         `json:"unreachable"`
	Lost        bool                         `json:"lost"`
	Refuse      string                       `json:"refuse"`
	RetryAfter  tier.Millis                  `json:"retry-after-ms"`
	Records     map[string]map[string]string `json:"records"`
	Misses      map[string]tier.MissReason   `json:"misses"`
	Receipt     string                       `json:"receipt"`
	Repeated    bool                         `json:"repeated"`
	Unknown     string                       `json:"unknown"`
	Reused      bool                         `json:"reused"`
}

// world plays everything around the handlers of one VM.
type world struct {
	mu    sync.Mutex
	s     *session
	step  sessionStep
	clock *tier.ManualClock
	docs  *parser.ProfilesDocument
	set   *tier.ShardSet
	asked []string
}

func (w *world) Profile(name string) (*tier.Profile, bool) { return w.docs.Profile(name) }

func (w *world) Set(name string) (*tier.ShardSet, bool) { return w.set, name == w.set.Name() }

func (w *world) Ready() bool { return !w.step.Unloaded }

func (w *world) Versions(_, dataCentre, shard string) (tier.Epoch, []tier.Version) {
	return w.set.Epoch(), w.s.Versions[dataCentre][shard]
}

func (w *world) Reachable(dataCentre string) bool {
	for _, d := range w.s.Reachable {
		if d == dataCentre {
			return true
		}
	}
	return false
}

func (w *world) Owners(_, dataCentre string, _ uint64) []tier.VM {
	return []tier.VM{tier.NewVM(dataCentre+"-1", dataCentre, "127.0.0.1:1")}
}

func (w *world) MarkFailed(string) {}

func (w *world) MarkAnswered(string) {}

func (w *world) Admit(string, tier.Rank) (tier.Millis, bool) {
	if w.step.Admit != nil {
		return *w.step.Admit, false
	}
	return 0, true
}

func (w *world) Begin(string) (func(), bool) { return func() {}, !w.step.Busy }

func (w *world) Ask(_ context.Context, vm tier.VM, _ string, s owner.Search) (owner.PartResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.step.Owners[vm.DataCentre()]
	w.asked = append(w.asked, fmt.Sprintf("ask %s at %s: %s", vm.Name(), s.Snapshot(), strings.Join(s.Shards(), " ")))
	w.clock.Advance(o.Takes)
	switch {
	case o.Unreachable:
		return nil, coordinator.NewNotSentError(errors.New("refused"))
	case o.Lost:
		return nil, errors.New("connection reset")
	case o.Refuse != "":
		return owner.NewNotRun(tier.RefuseReason(o.Refuse), o.RetryAfter), nil
	}
	var results []merger.ShardResult
	for _, shard := range s.Shards() {
		results = append(results, o.result(shard))
	}
	return owner.NewDone(results, nil, len(s.Shards()), 0), nil
}

func (o ownerScript) result(shard string) merger.ShardResult {
	if reason, ok := o.Misses[shard]; ok {
		return merger.NewMissingShard(shard, reason)
	}
	var records []tier.Record
	for k, v := range o.Records[shard] {
		records = append(records, tier.NewRecord(k, v))
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key() < records[j].Key() })
	return merger.NewShardResult(shard, records)
}

func (w *world) Book(_ context.Context, vm tier.VM, b coordinator.ForwardedBooking) (tier.Outcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.step.Owners[vm.DataCentre()]
	w.asked = append(w.asked, fmt.Sprintf("book %s on %s key %s minted %t", vm.Name(), b.Shard(), b.IdempotencyKey(), b.Minted()))
	switch {
	case o.Unreachable:
		return nil, coordinator.NewNotSentError(errors.New("refused"))
	case o.Lost:
		return nil, errors.New("connection reset")
	case o.Reused:
		return nil, coordinator.NewKeyReusedError(b.IdempotencyKey())
	case o.Refuse != "":
		return tier.NewRefused(tier.RefuseReason(o.Refuse), o.RetryAfter), nil
	case o.Unknown != "":
		return tier.NewUnknown(tier.UnknownReason(o.Unknown)), nil
	}
	return tier.NewBooked(o.Receipt, o.Repeated), nil
}

// minter plays the claims of this VM: every minted key is new.
type minter struct{}

func (minter) Mint(context.Context) string { return "minted/vm-1/5/1" }

func (minter) Book(ctx context.Context, _ coordinator.Booking, send func(context.Context) tier.Outcome) (tier.Outcome, error) {
	return send(ctx), nil
}

// TestSessions plays each script of testdata/sessions through the real
// handlers, front, planner and merger and compares the whole session.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.json")
	if err != nil || len(files) < 5 {
		t.Fatalf("%d sessions, %v", len(files), err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".json")
		t.Run(name, func(t *testing.T) {
			golden := goldie.New(t, goldie.WithFixtureDir("testdata/sessions"))
			golden.Assert(t, name, play(t, f))
		})
	}
}

func play(t *testing.T, file string) []byte {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{s: &session{}, clock: tier.NewManualClock(0)}
	if err := json.Unmarshal(b, w.s); err != nil {
		t.Fatal(err)
	}
	if w.docs, err = parser.ParseProfiles(w.s.Profiles); err != nil {
		t.Fatal(err)
	}
	d, err := parser.ParseSet(w.s.Set)
	if err != nil {
		t.Fatal(err)
	}
	w.set = d.Set()
	front := coordinator.New(w.s.Home, w.clock.Clock(), w, w, minter{})
	routes := New("vm-1", w.clock.Clock(), w, front, w, nil, WithMaxBodyBytes(2048)).Routes()
	var out bytes.Buffer
	for _, step := range w.s.Steps {
		w.step, w.asked = step, nil
		w.request(routes, &out)
	}
	return out.Bytes()
}

// request sends one step's request and writes down the whole exchange.
func (w *world) request(routes http.Handler, out *bytes.Buffer) {
	body := w.step.Body
	fmt.Fprintf(out, "# %s\nPOST %s\n%s\n", w.step.About, w.step.Path, shorten(body))
	reply := httptest.NewRecorder()
	routes.ServeHTTP(reply, httptest.NewRequest(http.MethodPost, w.step.Path, strings.NewReader(body)))
	sort.Strings(w.asked)
	for _, a := range w.asked {
		fmt.Fprintf(out, "  %s\n", a)
	}
	fmt.Fprintf(out, "%d", reply.Code)
	if after := reply.Header().Get("Retry-After"); after != "" {
		fmt.Fprintf(out, " Retry-After %s", after)
	}
	fmt.Fprintf(out, "\n%s\n", reply.Body.String())
}
