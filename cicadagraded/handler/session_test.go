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

// session is a scripted session: configuration, reachable data centres, versions of the shards
// and steps.
type session struct {
	LocalDataCentre string                               `json:"home"`
	Profiles        json.RawMessage                      `json:"profiles"`
	Set             json.RawMessage                      `json:"set"`
	Reachable       []string                             `json:"reachable"`
	Versions        map[string]map[string][]tier.Version `json:"versions"`
	Steps           []sessionStep                        `json:"steps"`
}

// sessionStep is one request, with the behaviour of the owners by data centre.
type sessionStep struct {
	About             string                 `json:"about"`
	Path              string                 `json:"path"`
	Body              string                 `json:"body"`
	RefuseAdmissionMs *tier.Millis           `json:"refuse-admission-ms"`
	Busy              bool                   `json:"busy"`
	NoConfiguration   bool                   `json:"no-configuration"`
	Owners            map[string]ownerScript `json:"owners"`
}

// ownerScript is the behaviour of the owners in a data centre.
type ownerScript struct {
	Latency       tier.Millis                  `json:"takes-ms"`
	Unreachable   bool                         `json:"unreachable"`
	ReplyLost     bool                         `json:"lost"`
	RefuseReason  string                       `json:"refuse"`
	RetryAfter    tier.Millis                  `json:"retry-after-ms"`
	Records       map[string]map[string]string `json:"records"`
	Misses        map[string]tier.MissReason   `json:"misses"`
	Receipt       string                       `json:"receipt"`
	Repeated      bool                         `json:"repeated"`
	UnknownReason string                       `json:"unknown"`
	KeyReused     bool                         `json:"reused"`
}

// fakeCluster fakes everything that the handlers of one VM depend on.
type fakeCluster struct {
	mu       sync.Mutex
	session  *session
	step     sessionStep
	clock    *tier.ManualClock
	profiles *parser.ProfilesDocument
	set      *tier.ShardSet
	calls    []string
}

func (c *fakeCluster) Profile(name string) (*tier.Profile, bool) { return c.profiles.Profile(name) }

func (c *fakeCluster) Set(name string) (*tier.ShardSet, bool) { return c.set, name == c.set.Name() }

func (c *fakeCluster) Ready() bool { return !c.step.NoConfiguration }

func (c *fakeCluster) Versions(_, dataCentre, shard string) (tier.Epoch, []tier.Version) {
	return c.set.Epoch(), c.session.Versions[dataCentre][shard]
}

func (c *fakeCluster) Reachable(dataCentre string) bool {
	for _, d := range c.session.Reachable {
		if d == dataCentre {
			return true
		}
	}
	return false
}

func (c *fakeCluster) Owners(_, dataCentre string, _ uint64) []tier.VM {
	return []tier.VM{tier.NewVM(dataCentre+"-1", dataCentre, "127.0.0.1:1")}
}

func (c *fakeCluster) MarkFailed(string) {}

func (c *fakeCluster) MarkAnswered(string) {}

func (c *fakeCluster) Admit(string, tier.Rank) (tier.Millis, bool) {
	if c.step.RefuseAdmissionMs != nil {
		return *c.step.RefuseAdmissionMs, false
	}
	return 0, true
}

func (c *fakeCluster) Begin(string) (func(), bool) { return func() {}, !c.step.Busy }

func (c *fakeCluster) Ask(_ context.Context, vm tier.VM, _ string, s owner.Search) (owner.PartResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.step.Owners[vm.DataCentre()]
	c.calls = append(c.calls, fmt.Sprintf("ask %s at %s: %s", vm.Name(), s.Snapshot(), strings.Join(s.Shards(), " ")))
	c.clock.Advance(o.Latency)
	switch {
	case o.Unreachable:
		return nil, coordinator.NewNotSentError(errors.New("refused"))
	case o.ReplyLost:
		return nil, errors.New("connection reset")
	case o.RefuseReason != "":
		return owner.NewNotRun(tier.RefuseReason(o.RefuseReason), o.RetryAfter), nil
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

func (c *fakeCluster) Book(_ context.Context, vm tier.VM, b coordinator.ForwardedBooking) (tier.Outcome, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.step.Owners[vm.DataCentre()]
	c.calls = append(c.calls, fmt.Sprintf("book %s on %s key %s minted %t", vm.Name(), b.Shard(), b.IdempotencyKey(), b.Minted()))
	switch {
	case o.Unreachable:
		return nil, coordinator.NewNotSentError(errors.New("refused"))
	case o.ReplyLost:
		return nil, errors.New("connection reset")
	case o.KeyReused:
		return nil, coordinator.NewKeyReusedError(b.IdempotencyKey())
	case o.RefuseReason != "":
		return tier.NewRefused(tier.RefuseReason(o.RefuseReason), o.RetryAfter), nil
	case o.UnknownReason != "":
		return tier.NewUnknown(tier.UnknownReason(o.UnknownReason)), nil
	}
	return tier.NewBooked(o.Receipt, o.Repeated), nil
}

// fakeClaims fakes the claims of this VM: every minted key is new.
type fakeClaims struct{}

func (fakeClaims) Mint(context.Context) string { return "minted/vm-1/5/1" }

func (fakeClaims) Book(ctx context.Context, _ coordinator.Booking, send func(context.Context) tier.Outcome) (tier.Outcome, error) {
	return send(ctx), nil
}

// TestSessions runs each script of testdata/sessions against the real handlers, coordinator,
// planner and merger, and compares requests and responses with a golden file.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/sessions/*.json")
	if err != nil || len(files) < 5 {
		t.Fatalf("%d sessions, %v", len(files), err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".json")
		t.Run(name, func(t *testing.T) {
			golden := goldie.New(t, goldie.WithFixtureDir("testdata/sessions"))
			golden.Assert(t, name, runSession(t, f))
		})
	}
}

func runSession(t *testing.T, file string) []byte {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	c := &fakeCluster{session: &session{}, clock: tier.NewManualClock(0)}
	if err := json.Unmarshal(b, c.session); err != nil {
		t.Fatal(err)
	}
	if c.profiles, err = parser.ParseProfiles(c.session.Profiles); err != nil {
		t.Fatal(err)
	}
	d, err := parser.ParseSet(c.session.Set)
	if err != nil {
		t.Fatal(err)
	}
	c.set = d.Set()
	coord := coordinator.New(c.session.LocalDataCentre, c.clock.Clock(), c, c, fakeClaims{})
	routes := New("vm-1", c.clock.Clock(), c, coord, c, nil, WithMaxBodyBytes(2048)).Routes()
	var out bytes.Buffer
	for _, step := range c.session.Steps {
		c.step, c.calls = step, nil
		c.runStep(routes, &out)
	}
	return out.Bytes()
}

// runStep sends the request of the current step and writes the calls to owners and the
// response.
func (c *fakeCluster) runStep(routes http.Handler, out *bytes.Buffer) {
	body := c.step.Body
	fmt.Fprintf(out, "# %s\nPOST %s\n%s\n", c.step.About, c.step.Path, truncate(body))
	reply := httptest.NewRecorder()
	routes.ServeHTTP(reply, httptest.NewRequest(http.MethodPost, c.step.Path, strings.NewReader(body)))
	sort.Strings(c.calls)
	for _, a := range c.calls {
		fmt.Fprintf(out, "  %s\n", a)
	}
	fmt.Fprintf(out, "%d", reply.Code)
	if after := reply.Header().Get("Retry-After"); after != "" {
		fmt.Fprintf(out, " Retry-After %s", after)
	}
	fmt.Fprintf(out, "\n%s\n", reply.Body.String())
}
