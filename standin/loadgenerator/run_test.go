package loadgenerator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cicadagrade.example/standin/checker"
	"cicadagrade.example/standin/deployer"
	"cicadagrade.example/standin/leafserver"
	"cicadagrade.example/standin/recordgenerator"
	"cicadagrade.example/tier"
)

const deploymentDir = "../deployment"

// fakeVM simulates the API of an entry VM. It answers every search with the records of
// version 1 after corrupt has altered the answer.
type fakeVM struct {
	deployment *deployer.Deployment
	records    *recordgenerator.Generator
	corrupt    func(answer map[string]any, records []tier.Record) []tier.Record
}

func (f *fakeVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q searchQuery
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set, _ := f.deployment.Set(q.Set)
	var covered []string
	for _, s := range set.Shards() {
		covered = append(covered, s.ID())
	}
	a := map[string]any{
		"request-id": q.RequestID,
		"outcome":    "answered",
		"rank":       "urgent",
		"snapshot":   map[string]any{"epoch": 1, "version": 1},
		"coverage":   map[string]any{"covered": covered, "missing": []any{}, "fraction": 1},
		"leaf-calls": len(covered),
	}
	records := f.corrupt(a, f.records.Records(q.Set, 1, q.Term))
	rows := []any{}
	for _, x := range records {
		rows = append(rows, map[string]any{"key": x.Key(), "value": x.Value()})
	}
	a["records"], a["count"], a["digest"] = rows, len(records), tier.Digest(records)
	_ = json.NewEncoder(w).Encode(a)
}

type searchQuery struct {
	RequestID string `json:"request-id"`
	Set       string `json:"set"`
	Term      string `json:"term"`
}

// testDeployment returns the Associação deployment with the given addresses for the API
// of every VM and for the control port of the backend servers.
func testDeployment(t *testing.T, api, control string) *deployer.Deployment {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(deploymentDir, "associacao.json"))
	if err != nil {
		t.Fatal(err)
	}
	var doc map[string]any
	if err := json.Unmarshal(b, &doc); err != nil {
		t.Fatal(err)
	}
	for _, v := range doc["vms"].([]any) {
		v.(map[string]any)["api"] = api
	}
	doc["control"] = control
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(deploymentDir)); err != nil {
		t.Fatal(err)
	}
	if b, err = json.Marshal(doc); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "changed.json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := deployer.Read(path)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestRunDetectsViolations runs a workload against VMs that answer correctly and
// against VMs that each violate one guarantee.
func TestRunDetectsViolations(t *testing.T) {
	refuse := func(a map[string]any, _ []tier.Record) []tier.Record {
		a["outcome"], a["reason"] = "refused-not-run", "overload"
		return nil
	}
	cases := []struct {
		name     string
		corrupt  func(map[string]any, []tier.Record) []tier.Record
		executed bool // the backend servers executed the searches
		kind     checker.Kind
	}{
		{"correct", func(_ map[string]any, r []tier.Record) []tier.Record { return r }, true, ""},
		{"duplicate", func(_ map[string]any, r []tier.Record) []tier.Record { return append(r[:1:1], r...) }, true, checker.Duplicate},
		{"truncated", func(_ map[string]any, r []tier.Record) []tier.Record { return r[1:] }, true, checker.Truncated},
		{"refused", refuse, false, ""},
		{"false refusal", refuse, true, checker.FalseRefusal},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) { runCase(t, x.corrupt, x.executed, x.kind) })
	}
}

func runCase(t *testing.T, corrupt func(map[string]any, []tier.Record) []tier.Record, executed bool, kind checker.Kind) {
	control := httptest.NewServer(fakeControlPort(executed))
	defer control.Close()
	vm := &fakeVM{corrupt: corrupt}
	api := httptest.NewServer(vm)
	defer api.Close()
	vm.deployment = testDeployment(t, hostPort(api), hostPort(control))
	vm.records = recordgenerator.New(vm.deployment.RecordSeed())
	w, err := Read("testdata/short.json", vm.deployment)
	if err != nil {
		t.Fatal(err)
	}
	run, err := New(w, vm.deployment)
	if err != nil {
		t.Fatal(err)
	}
	r, err := run.Execute(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	row := r.Phases[0].Streams[0]
	if row.Offered == 0 || row.Answered+row.Refused != row.Offered || len(r.Unchecked) > 0 {
		t.Errorf("%+v, unchecked %v", row, r.Unchecked)
	}
	if (kind == "") != (r.ViolationCount == 0) {
		t.Fatalf("%d violations: %+v", r.ViolationCount, r.Violations)
	}
	for _, v := range r.Violations {
		if v.Kind != kind {
			t.Errorf("unexpected %+v", v)
		}
	}
}

// fakeControlPort returns the handler of a control port that reports every search as
// executed, or none.
func fakeControlPort(executed bool) http.Handler {
	if !executed {
		return leafserver.NewFleet(nil, recordgenerator.New(1)).ControlHandler()
	}
	m := http.NewServeMux()
	m.Handle("/", leafserver.NewFleet(nil, recordgenerator.New(1)).ControlHandler())
	m.HandleFunc("POST /started", func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Tags []string `json:"tags"`
		}
		_ = json.NewDecoder(r.Body).Decode(&q)
		_ = json.NewEncoder(w).Encode(map[string]any{"started": q.Tags})
	})
	return m
}

func hostPort(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// TestCommittedWorkloadsAreValid reads every workload in the repository for its
// deployment, and checks that an invalid one is rejected with all its bad fields.
func TestCommittedWorkloadsAreValid(t *testing.T) {
	files, err := filepath.Glob("../workload/*-*.json")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		organisation, _, _ := strings.Cut(filepath.Base(f), "-")
		d, err := deployer.Read(filepath.Join(deploymentDir, organisation+".json"))
		if err != nil {
			continue // an experiment file, which belongs to no deployment
		}
		if _, err := Read(f, d); err != nil {
			t.Error(err)
		}
	}
	d, err := deployer.Read(filepath.Join(deploymentDir, "associacao.json"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Read("testdata/bad.json", d)
	for _, path := range []string{"phases[0].streams[0].profile", "phases[0].streams[0].rate", "phases[0].orders[0].to"} {
		if err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("the error does not name %s: %v", path, err)
		}
	}
}

// TestBookingsHaveNoCoverage checks that answered bookings don't count towards the mean
// coverage.
func TestBookingsHaveNoCoverage(t *testing.T) {
	a, err := checker.ParseAnswer([]byte(`{"outcome":"answered","receipt":"a-1"}`))
	if err != nil {
		t.Fatal(err)
	}
	l := newTally("order")
	l.add(requestResult{booking: true, inTime: true, answer: a})
	if r := l.buildRow(1); r.Answered != 1 || r.Coverage != 0 {
		t.Errorf("%+v", r)
	}
}
