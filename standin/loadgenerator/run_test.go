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

const committed = "../deployment"

// fakeVM plays the API of a VM that answers every search from the records of
// version 1, after spoiling the answer.
type fakeVM struct {
	d       *deployer.Deployment
	records *recordgenerator.Generator
	spoil   func(answer map[string]any, records []tier.Record) []tier.Record
}

func (f *fakeVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q searchQuery
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set, _ := f.d.Set(q.Set)
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
	records := f.spoil(a, f.records.Records(q.Set, 1, q.Term))
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

// deployment is the Associação's with the API of every VM and the control
// port at other addresses.
func deployment(t *testing.T, api, control string) *deployer.Deployment {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(committed, "associacao.json"))
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
	if err := os.CopyFS(dir, os.DirFS(committed)); err != nil {
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

// TestRunSeesSpoiltAnswers runs a workload against VMs that answer rightly
// and against VMs that break a promise each.
func TestRunSeesSpoiltAnswers(t *testing.T) {
	refuse := func(a map[string]any, _ []tier.Record) []tier.Record {
		a["outcome"], a["reason"] = "refused-not-run", "overload"
		return nil
	}
	cases := []struct {
		name    string
		spoil   func(map[string]any, []tier.Record) []tier.Record
		started bool // the backend servers ran the searches
		kind    checker.Kind
	}{
		{"right", func(_ map[string]any, r []tier.Record) []tier.Record { return r }, true, ""},
		{"doubled", func(_ map[string]any, r []tier.Record) []tier.Record { return append(r[:1:1], r...) }, true, checker.Duplicate},
		{"truncated", func(_ map[string]any, r []tier.Record) []tier.Record { return r[1:] }, true, checker.Truncated},
		{"refused", refuse, false, ""},
		{"refused falsely", refuse, true, checker.FalseRefusal},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) { runCase(t, x.spoil, x.started, x.kind) })
	}
}

func runCase(t *testing.T, spoil func(map[string]any, []tier.Record) []tier.Record, started bool, kind checker.Kind) {
	control := httptest.NewServer(controlPort(started))
	defer control.Close()
	vm := &fakeVM{spoil: spoil}
	api := httptest.NewServer(vm)
	defer api.Close()
	vm.d = deployment(t, host(api), host(control))
	vm.records = recordgenerator.New(vm.d.RecordSeed())
	w, err := Read("testdata/short.json", vm.d)
	if err != nil {
		t.Fatal(err)
	}
	run, err := New(w, vm.d)
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

// controlPort answers as a fleet that ran every search, or none.
func controlPort(started bool) http.Handler {
	if !started {
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

func host(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// TestWorkloadsFit reads every committed workload for its deployment, and a
// bad one.
func TestWorkloadsFit(t *testing.T) {
	files, err := filepath.Glob("../workload/*-*.json")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		user, _, _ := strings.Cut(filepath.Base(f), "-")
		d, err := deployer.Read(filepath.Join(committed, user+".json"))
		if err != nil {
			continue // an experiment's file
		}
		if _, err := Read(f, d); err != nil {
			t.Error(err)
		}
	}
	d, err := deployer.Read(filepath.Join(committed, "associacao.json"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Read("testdata/bad.json", d)
	for _, path := range []string{"phases[0].streams[0].profile", "phases[0].streams[0].rate", "phases[0].orders[0].to"} {
		if err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s was not named: %v", path, err)
		}
	}
}

// TestBookingsHaveNoCoverage sums up an answered booking alone.
func TestBookingsHaveNoCoverage(t *testing.T) {
	a, err := checker.ParseAnswer([]byte(`{"outcome":"answered","receipt":"a-1"}`))
	if err != nil {
		t.Fatal(err)
	}
	l := newTally("order")
	l.add(ended{booking: true, inTime: true, answer: a})
	if r := l.finish(1); r.Answered != 1 || r.Coverage != 0 {
		t.Errorf("%+v", r)
	}
}
